#pragma once

#include "utils/processclock.h"

namespace gateway {

/// Returns the time of the clock that the I/O code of this library uses. Thread safe.
inline utils::time_point now()
{
    return utils::processNow();
}

} // namespace gateway

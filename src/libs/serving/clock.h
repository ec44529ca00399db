#pragma once

#include "utils/time.h"

#include <chrono>

namespace serving {

/// The monotonic clock of this process. Only code that does I/O reads it; it hands the time on. Thread safe.
inline utils::time_point now()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return utils::time_point(std::chrono::duration_cast<utils::duration>(sinceEpoch));
}

/// The same instant on Asio's timers. Thread safe.
inline std::chrono::steady_clock::time_point toSteady(utils::time_point time)
{
    return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

} // namespace serving

#pragma once

#include "time.h"

namespace utils {

/// Returns the monotonic time of this process. The clock includes the time that the VM was suspended:
/// evidence and connections that became stale meanwhile must not look fresh afterwards. Only code that does
/// I/O reads the clock; it passes the time to all other code. Thread safe.
time_point processNow();

} // namespace utils

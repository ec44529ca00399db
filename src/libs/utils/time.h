#pragma once

#include <chrono>
#include <cstdint>

namespace utils {

/// The clock of all decision code. It has no now(): the caller of a decision passes the current time, so that
/// tests run in virtual time and a pause of the process cannot change the time in the middle of a decision.
struct fleet_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<fleet_clock>;
    static constexpr bool is_steady = true;
};

/// Monotonic time of one process; not comparable between processes.
using time_point = fleet_clock::time_point;
/// Microseconds.
using duration = fleet_clock::duration;

/// Converts to seconds, for rates and metrics. Thread safe.
inline double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Converts from seconds, truncated to whole microseconds. Thread safe.
inline duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace utils

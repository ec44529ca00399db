#pragma once

#include <chrono>
#include <cstdint>

namespace utils {

/// The clock of all deciding code. It cannot be read: whoever calls a deciding function passes the
/// present time, so that tests run in virtual time and a paused process cannot be fooled half way.
struct fleet_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<fleet_clock>;
    static constexpr bool is_steady = true;
};

/// Monotonic time of one process; never compared between processes.
using time_point = fleet_clock::time_point;
/// Microseconds.
using duration = fleet_clock::duration;

/// Seconds as a number, for rates and metrics. Thread safe.
inline double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// The duration nearest below `seconds`. Thread safe.
inline duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace utils

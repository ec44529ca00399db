#include "processclock.h"

#include <ctime>

namespace utils {

time_point processNow()
{
    // Not std::chrono::steady_clock, which stops while the VM is suspended.
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(since));
}

} // namespace utils

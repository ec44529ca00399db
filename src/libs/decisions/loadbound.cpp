#include "loadbound.h"

#include <algorithm>
#include <cmath>

namespace decisions {

unsigned boundedLoad(double multiple, double slots, const mean_load& mean)
{
    if (mean.totalSlots <= 0)
        return 1;
    constexpr double epsilon = 1e-9; // above the rounding error of sums of loads divided by slots
    const double newRequest = 1.0 / mean.totalSlots;
    const double expected = (mean.perSlot + newRequest) * slots;
    const double lowest = (std::min(mean.perSlot, mean.lowestPerSlot) + newRequest) * slots;
    const double byMultiple = std::floor((multiple * lowest) + epsilon);
    const double byRounding = std::ceil(expected - epsilon);
    return static_cast<unsigned>(std::max({ 1.0, byMultiple, byRounding }));
}

double multipleFor(const load_bound& bound, bool holdsCache)
{
    return holdsCache ? bound.multiple : 1 + ((bound.multiple - 1) * bound.newChatShare);
}

} // namespace decisions

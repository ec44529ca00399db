#include "rampup.h"

#include <algorithm>
#include <cmath>

namespace decisions {

double rampUpWeight(utils::time_point joinedAt, utils::time_point now, const ramp_settings& settings)
{
    if (now - joinedAt >= settings.length)
        return 1;
    const double elapsed
        = std::max(0.0, utils::toSeconds(now - joinedAt) / utils::toSeconds(settings.length));
    const double step = std::floor(elapsed * settings.steps) / settings.steps;
    return settings.firstShare + ((1 - settings.firstShare) * step);
}

} // namespace decisions

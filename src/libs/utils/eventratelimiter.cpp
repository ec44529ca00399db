#include "eventratelimiter.h"

#include <algorithm>
#include <utility>

namespace utils {

event_rate_limiter::decision event_rate_limiter::admit(event id, time_point now)
{
    const auto [found, isNew] = m_states.try_emplace(id);
    state& known = found->second;
    if (!isNew)
        known.tokens = std::min(burst, known.tokens + linesPerSecond * toSeconds(now - known.at));
    known.at = now;
    if (known.tokens < 1) {
        ++known.suppressed;
        return {};
    }
    known.tokens -= 1;
    return { true, std::exchange(known.suppressed, 0) };
}

} // namespace utils

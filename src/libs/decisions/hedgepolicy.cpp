#include "hedgepolicy.h"

#include <algorithm>

namespace decisions {

hedge_policy::hedge_policy(const hedge_limits& limits)
    : m_limits(limits)
    , m_budget({ limits.share, 0, limits.capacity })
{
}

std::optional<utils::duration> hedge_policy::delay() const
{
    if (m_latencies.count() < m_limits.minSamples)
        return std::nullopt;
    return std::max(m_latencies.at(m_limits.quantile), m_limits.minDelay);
}

bool hedge_policy::tryHedge(utils::time_point now)
{
    return m_budget.trySpend(now);
}

void hedge_policy::completed(utils::duration latency)
{
    m_latencies.add(latency);
    m_budget.succeeded();
}

} // namespace decisions

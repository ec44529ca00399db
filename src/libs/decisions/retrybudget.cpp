#include "retrybudget.h"

#include <algorithm>

namespace decisions {

retry_budget::retry_budget(const retry_budget_limits& limits)
    : m_limits(limits)
    , m_tokens(limits.capacity)
{
}

void retry_budget::succeeded()
{
    m_tokens = std::min(m_tokens + m_limits.share, m_limits.capacity);
}

bool retry_budget::trySpend(utils::time_point now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void retry_budget::refill(utils::time_point now)
{
    if (m_refilledAt)
        m_tokens += m_limits.floorPerSecond * utils::toSeconds(now - *m_refilledAt);
    m_tokens = std::min(m_tokens, m_limits.capacity);
    m_refilledAt = now;
}

} // namespace decisions

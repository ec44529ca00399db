#include "viewlag.h"

#include <algorithm>

namespace decisions {

void view_lag::advance(std::uint64_t revision)
{
    m_taken = std::max(m_taken, revision);
    while (!m_missing.empty() && m_missing.front().revision <= m_taken)
        m_missing.pop_front();
}

void view_lag::hear(std::uint64_t revision, utils::time_point now)
{
    if (revision <= m_taken) {
        if (m_missing.empty())
            m_completeAt = now;
        return;
    }
    m_toldAt = now;
    if (!m_missing.empty() && revision <= m_missing.back().revision)
        return;
    if (m_missing.size() == mostRemembered)
        m_missing.back().revision = revision;
    else
        m_missing.push_back({ revision, now });
}

utils::duration view_lag::behindFor(utils::time_point now) const
{
    if (m_missing.empty() || now - m_toldAt > toldLifetime)
        return utils::duration::zero();
    return now - m_missing.front().at;
}

utils::duration view_lag::age(utils::time_point now) const
{
    if (!m_missing.empty())
        return now - m_missing.front().at;
    return m_completeAt == utils::time_point() ? utils::duration::zero() : now - m_completeAt;
}

} // namespace decisions

#include "viewlag.h"

#include <algorithm>

namespace decisions {

void view_lag::advance(std::uint64_t revision)
{
    m_appliedRevision = std::max(m_appliedRevision, revision);
    while (!m_missing.empty() && m_missing.front().revision <= m_appliedRevision)
        m_missing.pop_front();
}

void view_lag::observeRevision(std::uint64_t revision, utils::time_point now)
{
    if (revision <= m_appliedRevision) {
        if (m_missing.empty())
            m_upToDateAt = now;
        return;
    }
    m_reportedAt = now;
    if (!m_missing.empty() && revision <= m_missing.back().revision)
        return;
    if (m_missing.size() == maxTrackedRevisions)
        m_missing.back().revision = revision;
    else
        m_missing.push_back({ revision, now });
}

utils::duration view_lag::behindFor(utils::time_point now) const
{
    if (m_missing.empty() || now - m_reportedAt > reportLifetime)
        return utils::duration::zero();
    return now - m_missing.front().at;
}

utils::duration view_lag::age(utils::time_point now) const
{
    if (!m_missing.empty())
        return now - m_missing.front().at;
    return m_upToDateAt == utils::time_point() ? utils::duration::zero() : now - m_upToDateAt;
}

} // namespace decisions

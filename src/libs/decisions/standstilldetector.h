#pragma once

#include "utils/time.h"

namespace decisions {

/// Tells whether this process has just stood still.
///
/// Load: a node that was paused for seconds while servers came and left. When it goes on, it reads what peers
/// and the store have sent meanwhile, the oldest first, beside the requests that have waited. For a moment
/// old word that tells nothing new looks like word of the present. Not thread safe.
class standstill_detector {
public:
    /// `limit`: longest time between two ticks of a process that runs, and time after a standstill in which
    /// received word may be old.
    explicit standstill_detector(utils::duration limit)
        : m_limit(limit)
    {
    }

    /// To be called by a timer, more often than `limit`.
    void tick(utils::time_point now)
    {
        if (isOverdue(now))
            m_resumedAt = now;
        m_tickedAt = now;
    }
    /// Whether the process stood still at most `limit` ago, as far as the ticks tell.
    bool isRecent(utils::time_point now) const
    {
        return isOverdue(now) || (m_resumedAt != utils::time_point() && now - m_resumedAt <= m_limit);
    }

private:
    bool isOverdue(utils::time_point now) const
    {
        return m_tickedAt != utils::time_point() && now - m_tickedAt > m_limit;
    }

    utils::duration m_limit;
    utils::time_point m_tickedAt {};
    utils::time_point m_resumedAt {};
};

} // namespace decisions

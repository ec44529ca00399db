#include "recentanswers.h"

#include <algorithm>
#include <utility>

namespace decisions {

void recent_answers::record(std::uint64_t key, utils::time_point beganAt, utils::time_point now)
{
    const utils::time_point known = find(key).value_or(utils::time_point());
    if (m_current.size() >= m_capacity && !m_current.contains(key))
        startGeneration(now);
    m_current[key] = std::max(known, std::min(beganAt, now));
}

std::optional<utils::time_point> recent_answers::find(std::uint64_t key) const
{
    for (const generation* answers : { &m_current, &m_previous }) {
        const auto found = answers->find(key);
        if (found != answers->end())
            return found->second;
    }
    return std::nullopt;
}

bool recent_answers::isRecent(std::uint64_t key, utils::time_point now) const
{
    const auto beganAt = find(key);
    return beganAt && now - *beganAt <= m_lifetime;
}

void recent_answers::expire(utils::time_point now)
{
    if (now - m_startedAt > m_lifetime)
        startGeneration(now);
}

void recent_answers::startGeneration(utils::time_point now)
{
    m_previous = std::exchange(m_current, {});
    m_startedAt = now;
}

} // namespace decisions

#include "removalhistory.h"

#include <algorithm>

namespace gateway {

void removal_history::reset(std::uint64_t asOf)
{
    m_completeSince = std::max(m_completeSince, asOf);
}

void removal_history::add(const std::string& key, std::uint64_t revision)
{
    m_removals[key] = revision;
    if (m_removals.size() <= maxRemovals)
        return;
    const auto oldest
        = std::ranges::min_element(m_removals, {}, [](const auto& entry) { return entry.second; });
    m_completeSince = std::max(m_completeSince, oldest->second);
    m_removals.erase(oldest);
}

std::vector<removed_key> removal_history::removedAfter(std::uint64_t revision) const
{
    std::vector<removed_key> removed;
    for (const auto& [key, removedAt] : m_removals) {
        if (removedAt > revision)
            removed.push_back({ key, removedAt });
    }
    return removed;
}

std::uint64_t removal_history::revisionOf(const std::string& key) const
{
    const auto found = m_removals.find(key);
    return found == m_removals.end() ? 0 : found->second;
}

} // namespace gateway

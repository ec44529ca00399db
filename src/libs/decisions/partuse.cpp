#include "partuse.h"

#include <algorithm>

namespace decisions {

void part_use::started(std::uint64_t part, utils::time_point now)
{
    if (m_uses.size() == maxRequests)
        m_uses.pop_front();
    unsigned& inProgress = m_inProgress[part];
    m_uses.push_back({ part, now, inProgress > 0 });
    ++inProgress;
}

void part_use::ended(std::uint64_t part)
{
    const auto found = m_inProgress.find(part);
    if (found != m_inProgress.end() && --found->second == 0)
        m_inProgress.erase(found);
}

double part_use::shareWithNext(std::uint64_t part, utils::time_point now) const
{
    std::size_t requests = 1;
    std::size_t uses = 1;
    bool wereTogether = m_inProgress.contains(part);
    for (const use& entry : m_uses) {
        if (now - entry.at > lifetime)
            continue;
        ++requests;
        if (entry.part != part)
            continue;
        ++uses;
        wereTogether = wereTogether || entry.isBesideAnother;
    }
    return wereTogether ? static_cast<double>(uses) / static_cast<double>(std::max(requests, minRequests))
                        : 0;
}

} // namespace decisions

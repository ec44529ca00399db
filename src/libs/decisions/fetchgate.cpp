#include "fetchgate.h"

#include <algorithm>

namespace decisions {

fetch_start fetch_gate::tryBegin(const std::string& peer, utils::time_point now, utils::time_point askedAt)
{
    std::erase_if(m_failedAt, [now](const auto& entry) { return now - entry.second >= failedPeerPause; });
    if (m_askedAt.size() >= maxConcurrentFetches || m_askedAt.contains(peer) || m_failedAt.contains(peer))
        return fetch_start::No;
    const bool areAllSlow = std::ranges::all_of(
        m_askedAt, [&](const auto& entry) { return now - entry.second >= m_slowThreshold; });
    if (!areAllSlow)
        return fetch_start::No;
    const fetch_start start = m_askedAt.empty() ? fetch_start::First : fetch_start::Second;
    m_askedAt[peer] = start == fetch_start::First ? askedAt : now;
    return start;
}

void fetch_gate::fail(const std::string& peer, utils::time_point now)
{
    m_askedAt.erase(peer);
    m_failedAt[peer] = now;
}

} // namespace decisions

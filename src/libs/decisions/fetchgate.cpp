#include "fetchgate.h"

#include <algorithm>

namespace decisions {

fetch_start fetch_gate::tryBegin(
    const std::string& peer, utils::time_point present, utils::time_point askedAt)
{
    std::erase_if(m_failedAt, [present](const auto& entry) { return present - entry.second >= silentPause; });
    if (m_askedAt.size() >= fetchesAtOnce || m_askedAt.contains(peer) || m_failedAt.contains(peer))
        return fetch_start::No;
    const bool areAllSlow
        = std::ranges::all_of(m_askedAt, [&](const auto& entry) { return present - entry.second >= m_slow; });
    if (!areAllSlow)
        return fetch_start::No;
    const fetch_start start = m_askedAt.empty() ? fetch_start::Alone : fetch_start::BesideSlow;
    m_askedAt[peer] = start == fetch_start::Alone ? askedAt : present;
    return start;
}

void fetch_gate::fail(const std::string& peer, utils::time_point present)
{
    m_askedAt.erase(peer);
    m_failedAt[peer] = present;
}

} // namespace decisions

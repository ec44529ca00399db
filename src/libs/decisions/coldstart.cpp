#include "coldstart.h"

#include "utils/hashing.h"

#include <algorithm>
#include <cmath>

namespace decisions {

namespace {

// Longer than any cold start: what happened before it no longer matters.
constexpr utils::duration memoryTime = std::chrono::minutes(2);

std::uint64_t rankHash(const std::string& node, const utils::server_id& server)
{
    return utils::combineHashes(utils::hash64(node), utils::hash64(server.str()));
}

} // namespace

void cold_start_limiter::setNodes(const std::string& ownAddress, std::vector<std::string> others)
{
    std::ranges::sort(others);
    if (m_isFleetKnown && ownAddress == m_ownAddress && others == m_others)
        return;
    m_ownAddress = ownAddress;
    m_others = std::move(others);
    m_isFleetKnown = true;
    m_ranks.clear();
}

void cold_start_limiter::recordUnreachable(const utils::server_id& server, utils::time_point now)
{
    m_unreachableAt[server] = now;
}

bool cold_start_limiter::isSuspect(
    const utils::server_id& server, utils::duration coldStart, utils::time_point now) const
{
    const auto found = m_unreachableAt.find(server);
    return found != m_unreachableAt.end() && now < found->second + suspicionTime + coldStart;
}

std::size_t cold_start_limiter::rankFor(const utils::server_id& server)
{
    const auto known = m_ranks.find(server);
    if (known != m_ranks.end())
        return known->second;
    const std::uint64_t own = rankHash(m_ownAddress, server);
    const auto before = std::ranges::count_if(
        m_others, [&](const std::string& node) { return rankHash(node, server) > own; });
    return m_ranks[server] = static_cast<std::size_t>(before);
}

bool cold_start_limiter::maySend(const utils::server_id& server, double perSecond, utils::time_point now)
{
    if (!m_isFleetKnown)
        return false;
    const double nodes = static_cast<double>(m_others.size() + 1);
    const double senders = std::clamp(std::floor(perSecond), 1.0, nodes);
    if (static_cast<double>(rankFor(server)) >= senders)
        return false;
    // A rate below one a second is one request in a longer time.
    const double perWindow = std::max(1.0, std::floor(perSecond / senders));
    const double seconds = utils::toSeconds(window) * std::max(1.0, senders / perSecond);
    const utils::time_point since = now - utils::fromSeconds(seconds);
    if (m_startedAt > since)
        return false;
    const auto sent = m_sent.find(server);
    if (sent == m_sent.end())
        return true;
    const auto inWindow
        = std::ranges::count_if(sent->second, [since](utils::time_point at) { return at > since; });
    return static_cast<double>(inWindow) < perWindow;
}

void cold_start_limiter::recordSent(const utils::server_id& server, utils::time_point now)
{
    std::vector<utils::time_point>& sent = m_sent[server];
    std::erase_if(sent, [now](utils::time_point at) { return now - at > memoryTime; });
    sent.push_back(now);
}

void cold_start_limiter::expire(utils::time_point now)
{
    std::erase_if(m_sent, [now](const auto& entry) { return now - entry.second.back() > memoryTime; });
    std::erase_if(m_unreachableAt, [now](const auto& entry) { return now - entry.second > memoryTime; });
}

} // namespace decisions

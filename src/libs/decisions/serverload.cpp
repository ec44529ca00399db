#include "serverload.h"

#include <algorithm>

namespace decisions {

void server_loads::started(const utils::server_id& server, std::uint32_t promptTokens)
{
    load_share& share = m_own[server];
    ++share.requests;
    share.promptTokens += promptTokens;
}

void server_loads::answered(const utils::server_id& server, std::uint32_t promptTokens)
{
    load_share& share = m_own[server];
    share.promptTokens -= std::min(share.promptTokens, promptTokens);
}

void server_loads::finished(const utils::server_id& server)
{
    const auto found = m_own.find(server);
    if (found == m_own.end())
        return;
    if (found->second.requests > 1)
        --found->second.requests;
    else
        m_own.erase(found);
}

void server_loads::recordReport(
    const utils::server_id& server, std::uint32_t running, std::uint32_t waiting, utils::time_point now)
{
    m_reports[server] = { running + waiting, own(server).requests, now };
}

void server_loads::updatePeer(
    const utils::node_id& peer, const std::map<utils::server_id, load_share>& shares, utils::time_point now)
{
    peer_state& state = m_peers[peer];
    state.at = now;
    for (const utils::server_id& server : state.servers)
        removePeerShare(server, peer);
    state.servers.clear();
    for (const auto& [server, share] : shares) {
        m_peerShares[server].push_back({ peer, share, now });
        state.servers.push_back(server);
    }
}

void server_loads::removePeerShare(const utils::server_id& server, const utils::node_id& peer)
{
    const auto found = m_peerShares.find(server);
    if (found == m_peerShares.end())
        return;
    std::erase_if(found->second, [&peer](const peer_share& entry) { return entry.peer == peer; });
    if (found->second.empty())
        m_peerShares.erase(found);
}

std::span<const server_loads::peer_share> server_loads::peerSharesAt(const utils::server_id& server) const
{
    const auto found = m_peerShares.find(server);
    return found == m_peerShares.end() ? std::span<const peer_share>() : std::span(found->second);
}

load_share server_loads::own(const utils::server_id& server) const
{
    const auto found = m_own.find(server);
    return found == m_own.end() ? load_share {} : found->second;
}

load_total server_loads::total(const utils::server_id& server, utils::time_point now) const
{
    const load_share ownPart = own(server);
    load_total sum { ownPart.requests, ownPart.promptTokens, {}, 0, false };
    for (const peer_share& entry : peerSharesAt(server)) {
        if (now - entry.at > peerLifetime)
            continue;
        sum.requests += entry.share.requests;
        sum.peerRequests += entry.share.requests;
        sum.promptTokens += entry.share.promptTokens;
        sum.age = std::max(sum.age, now - entry.at);
    }
    const auto report = m_reports.find(server);
    if (report != m_reports.end() && now - report->second.at <= reportLifetime) {
        sum.isReported = true;
        // The report includes this node's share at that time; only the rest is from other nodes.
        const std::uint32_t others
            = report->second.requests - std::min(report->second.requests, report->second.ownAtReport);
        if (others + ownPart.requests > sum.requests) {
            sum.requests = others + ownPart.requests;
            sum.age = std::max(sum.age, now - report->second.at);
        }
    }
    return sum;
}

double server_loads::peerScale(utils::time_point now) const
{
    std::size_t live = 0;
    std::size_t told = 0;
    for (const auto& [peer, state] : m_peers) {
        live += now - state.at <= liveTime ? 1 : 0;
        told += now - state.at <= peerLifetime ? 1 : 0;
    }
    return live <= fullyHeardPeers || told == 0 ? 1 : static_cast<double>(live) / static_cast<double>(told);
}

std::uint32_t server_loads::maxPeerPromptTokens(const utils::server_id& server, utils::time_point now) const
{
    std::uint32_t maxTokens = 0;
    for (const peer_share& entry : peerSharesAt(server)) {
        if (now - entry.at <= peerLifetime)
            maxTokens = std::max(maxTokens, entry.share.promptTokens);
    }
    return maxTokens;
}

std::map<utils::server_id, load_share> server_loads::ownShares() const
{
    return { m_own.begin(), m_own.end() };
}

} // namespace decisions

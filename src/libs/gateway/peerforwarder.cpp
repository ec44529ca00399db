#include "peerforwarder.h"

#include "wire/connect.h"

#include "decisions/peerchoice.h"

#include <algorithm>

namespace gateway {

namespace {

utils::server_id poolKey(const forward_target& target)
{
    // A restarted process has other connections than the one before.
    return utils::server_id(target.node + '/' + std::to_string(target.bootId));
}

} // namespace

bool peer_forwarder::isSuitable(const peer_state& peer, const request_plan& plan, utils::time_point now) const
{
    return now - peer.heardAt <= heardWithin && !peer.isLeaving && peer.forwardPort != 0
        && isAllowedIn(plan, m_context.options, peer.dataCentre)
        && std::ranges::find(peer.cutOffServices, plan.service) == peer.cutOffServices.end();
}

std::optional<forward_target> peer_forwarder::choose(const request_plan& plan,
    const std::set<std::string>& tried, std::uint64_t salt, utils::time_point now) const
{
    std::vector<const std::pair<const std::string, peer_state>*> suitable;
    std::vector<decisions::peer_candidate> candidates;
    for (const auto& entry : m_peers.peers()) {
        const auto& [name, peer] = entry;
        if (tried.contains(name) || !isSuitable(peer, plan, now))
            continue;
        const auto forwarded = m_inProgress.find(name);
        suitable.push_back(&entry);
        candidates.push_back({ peer.dataCentre, peer.requestsInProgress,
            forwarded == m_inProgress.end() ? 0 : forwarded->second });
    }
    const auto chosen = decisions::choosePeer(candidates, m_context.options.dataCentre, salt);
    if (!chosen)
        return std::nullopt;
    const auto& [name, peer] = *suitable[*chosen];
    const auto address = wire::parseEndpoint(peer.address);
    if (!address)
        return std::nullopt;
    return forward_target { name, { address->address(), peer.forwardPort }, peer.bootId };
}

http_connection_ptr peer_forwarder::takeConnection(const forward_target& target, utils::time_point now)
{
    return m_pool.take(poolKey(target), now);
}

void peer_forwarder::putConnection(
    const forward_target& target, http_connection_ptr connection, utils::time_point now)
{
    m_pool.put(poolKey(target), std::move(connection), now);
}

void peer_forwarder::ended(const forward_target& target)
{
    const auto found = m_inProgress.find(target.node);
    if (found != m_inProgress.end() && --found->second == 0)
        m_inProgress.erase(found);
}

} // namespace gateway

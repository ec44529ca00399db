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
    return chooseAmong({}, plan, tried, salt, now);
}

std::optional<forward_target> peer_forwarder::chooseHearing(const request_plan& plan,
    const std::set<std::string>& tried, std::uint64_t salt, utils::time_point since,
    utils::time_point now) const
{
    // A peer tells of a silence once it has lasted for the detector's limit.
    const service_news news = newsOf(plan.service, since + decisions::silence_detector::minLimit);
    if (!news.isKnown || (news.isQuiet && news.hearing.empty()))
        return std::nullopt;
    return chooseAmong(news.hearing, plan, tried, salt, now);
}

peer_forwarder::service_news peer_forwarder::newsOf(const std::string& service, utils::time_point since) const
{
    service_news news;
    for (const auto& [name, peer] : m_peers.peers()) {
        if (peer.listsHeardAt < since)
            continue;
        news.isKnown = true;
        if (std::ranges::find(peer.cutOffServices, service) != peer.cutOffServices.end())
            news.isQuiet = true;
        else if (peer.servicesInUse.contains(service))
            news.hearing.insert(name);
    }
    return news;
}

std::optional<forward_target> peer_forwarder::chooseAmong(const std::set<std::string>& among,
    const request_plan& plan, const std::set<std::string>& tried, std::uint64_t salt,
    utils::time_point now) const
{
    std::vector<const std::pair<const std::string, peer_state>*> suitable;
    std::vector<decisions::peer_candidate> candidates;
    for (const auto& entry : m_peers.peers()) {
        const auto& [name, peer] = entry;
        if (tried.contains(name) || !isSuitable(peer, plan, now))
            continue;
        if (!among.empty() && !among.contains(name))
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

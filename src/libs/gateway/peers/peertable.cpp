#include "peertable.h"

#include "decisions/followrule.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace gateway {

peer_table::peer_table(std::string ownName, std::string ownAddress, std::uint64_t seed)
    : m_ownName(std::move(ownName))
    , m_ownAddress(std::move(ownAddress))
    , m_random(seed)
{
}

void peer_table::addAddress(const std::string& address, utils::time_point now)
{
    if (address != m_ownAddress)
        m_addresses.try_emplace(address, now);
}

bool peer_table::applyHeartbeat(const peer_heartbeat& heartbeat, utils::time_point now)
{
    if (heartbeat.node == m_ownName)
        return false;
    peer_state& peer = m_peers[heartbeat.node];
    const bool isSameProcess = heartbeat.bootId == peer.bootId;
    if (isSameProcess && heartbeat.sequence <= peer.sequence && peer.sequence > 0)
        return false;
    const bool isOfPreviousProcess
        = heartbeat.bootId == peer.previousBootId && now - peer.restartedAt <= datagramLifetime;
    if (!isSameProcess && isOfPreviousProcess)
        return false;
    if (!isSameProcess) {
        peer.previousBootId = std::exchange(peer.bootId, heartbeat.bootId);
        peer.restartedAt = now;
        m_toGreet.push_back(heartbeat.address);
    }
    peer.address = heartbeat.address;
    peer.sequence = heartbeat.sequence;
    peer.configurationRevision = heartbeat.configurationRevision;
    peer.serversRevision = heartbeat.serversRevision;
    peer.dataCentre = heartbeat.dataCentre;
    peer.forwardPort = heartbeat.forwardPort;
    peer.requestsInProgress = heartbeat.requestsInProgress;
    peer.cutOffServices.clear();
    for (const reported_service& service : heartbeat.cutOffServices)
        peer.cutOffServices.push_back(service.name);
    peer.isLeaving = heartbeat.isLeaving;
    peer.followsStore = heartbeat.followsStore;
    peer.heardAt = now;
    m_addresses[heartbeat.address] = now;
    for (const reported_address& other : heartbeat.peerAddresses)
        addAddress(other.address, now);
    return true;
}

void peer_table::setServicesInUse(
    const std::string& node, std::set<std::string> services, utils::time_point now)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    found->second.servicesInUse = std::move(services);
    found->second.listsHeardAt = now;
}

void peer_table::expire(utils::time_point now)
{
    std::erase_if(m_addresses, [now](const auto& entry) { return now - entry.second > addressLifetime; });
    std::erase_if(m_peers, [now](const auto& entry) { return now - entry.second.heardAt > addressLifetime; });
}

std::vector<std::string> peer_table::sampleTargets()
{
    std::vector<std::string> addresses = knownAddresses();
    if (addresses.size() <= fanout)
        return addresses;
    std::ranges::shuffle(addresses, m_random);
    addresses.resize(fanout);
    return addresses;
}

std::vector<std::string> peer_table::targets()
{
    std::vector<std::string> addresses = sampleTargets();
    if (m_addresses.size() <= fanout) {
        m_toGreet.clear();
        return addresses;
    }
    for (std::size_t i = 0; i < maxGreetings && !m_toGreet.empty(); ++i) {
        if (std::ranges::find(addresses, m_toGreet.back()) == addresses.end())
            addresses.push_back(std::move(m_toGreet.back()));
        m_toGreet.pop_back();
    }
    return addresses;
}

std::vector<std::string> peer_table::addressesExcept(const std::vector<std::string>& targets) const
{
    std::vector<std::string> others;
    for (const auto& [address, seenAt] : m_addresses) {
        if (std::ranges::find(targets, address) == targets.end())
            others.push_back(address);
    }
    return others;
}

std::size_t peer_table::followersHeard(utils::time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_peers, [now](const auto& entry) {
        return entry.second.followsStore && now - entry.second.heardAt <= decisions::followerTimeout;
    }));
}

std::vector<std::string> peer_table::sampleAddresses(utils::time_point now)
{
    std::vector<std::string> names = livePeers(now);
    std::ranges::shuffle(names, m_random);
    std::ranges::stable_sort(names, {},
        [this](const std::string& name) { return std::min(m_peers.at(name).timesNamed, newsRepeats); });
    std::vector<std::string> addresses;
    for (const std::string& name : names) {
        peer_state& peer = m_peers.at(name);
        const bool isNews = peer.timesNamed < newsRepeats;
        if (addresses.size() >= (isNews ? maxSharedAddresses : sharedAddresses))
            break;
        ++peer.timesNamed;
        addresses.push_back(peer.address);
    }
    return addresses;
}

std::optional<double> peer_table::meanRequestsInProgress(utils::time_point now) const
{
    double requests = 0;
    unsigned live = 0;
    for (const auto& [name, peer] : m_peers) {
        if (now - peer.heardAt > peerLifetime || peer.isLeaving)
            continue;
        ++live;
        requests += static_cast<double>(peer.requestsInProgress);
    }
    return live == 0 ? std::nullopt : std::optional(requests / live);
}

std::vector<std::string> peer_table::livePeers(utils::time_point now) const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_peers) {
        if (now - peer.heardAt <= peerLifetime && !peer.isLeaving)
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> peer_table::presumedLive(utils::time_point now) const
{
    std::vector<std::string> addresses;
    std::set<std::string_view> heard;
    for (const auto& [name, peer] : m_peers) {
        heard.insert(peer.address);
        if (now - peer.heardAt <= peerLifetime && !peer.isLeaving)
            addresses.push_back(peer.address);
    }
    for (const auto& [address, seenAt] : m_addresses) {
        if (now - seenAt <= peerLifetime && !heard.contains(address))
            addresses.push_back(address);
    }
    return addresses;
}

const peer_state* peer_table::find(const std::string& node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : &found->second;
}

} // namespace gateway

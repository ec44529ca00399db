#include "peertable.h"

#include "decisions/followrule.h"

#include <algorithm>

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
    const bool isOld = heartbeat.bootId < peer.bootId
        || (heartbeat.bootId == peer.bootId && heartbeat.sequence <= peer.sequence && peer.sequence > 0);
    if (isOld)
        return false;
    peer.address = heartbeat.address;
    peer.bootId = heartbeat.bootId;
    peer.sequence = heartbeat.sequence;
    peer.configurationRevision = heartbeat.configurationRevision;
    peer.serversRevision = heartbeat.serversRevision;
    peer.isLeaving = heartbeat.isLeaving;
    peer.followsStore = heartbeat.followsStore;
    peer.heardAt = now;
    m_addresses[heartbeat.address] = now;
    for (const reported_address& other : heartbeat.peerAddresses)
        addAddress(other.address, now);
    return true;
}

void peer_table::expire(utils::time_point now)
{
    std::erase_if(m_addresses, [now](const auto& entry) { return now - entry.second > addressLifetime; });
    std::erase_if(m_peers, [now](const auto& entry) { return now - entry.second.heardAt > addressLifetime; });
}

std::vector<std::string> peer_table::targets()
{
    std::vector<std::string> addresses;
    for (const auto& [address, seenAt] : m_addresses)
        addresses.push_back(address);
    if (addresses.size() <= fanout)
        return addresses;
    std::ranges::shuffle(addresses, m_random);
    addresses.resize(fanout);
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
    std::vector<std::string> addresses = livePeers(now);
    for (std::string& name : addresses)
        name = m_peers.at(name).address;
    std::ranges::shuffle(addresses, m_random);
    if (addresses.size() > maxSharedAddresses)
        addresses.resize(maxSharedAddresses);
    return addresses;
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

const peer_state* peer_table::find(const std::string& node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : &found->second;
}

} // namespace gateway

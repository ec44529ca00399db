#pragma once

#include "peermessages.h"

#include "utils/time.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gateway {

/// What a node knows of another.
struct peer_state {
    std::string address;
    std::uint64_t bootId = 0;
    std::uint64_t sequence = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t serversRevision = 0;
    bool isLeaving = false;
    bool followsStore = false;
    utils::time_point heardAt {};
};

/// The other nodes: whom to tell, and who knows what. Names come from beats, addresses also from seeds
/// and from other nodes' beats. No network; not thread safe.
class peer_table {
public:
    /// A peer that was not heard for so long does not count: twelve beats.
    static constexpr utils::duration peerLifetime = std::chrono::seconds(3);
    /// An address that never answered is tried for so long: nodes start within seconds of each other, and
    /// a cut may last for some ten.
    static constexpr utils::duration addressLifetime = std::chrono::seconds(60);
    /// Peers told with one beat. Small fleets tell all; large ones some, in turn.
    static constexpr std::size_t fanout = 10;
    /// Addresses of others in one beat.
    static constexpr std::size_t maxSharedAddresses = 4;

    peer_table(std::string ownName, std::string ownAddress, std::uint64_t seed);

    /// Another node may be there.
    void addAddress(const std::string& address, utils::time_point now);
    /// Takes a beat; false for an old one, one of this node itself, or of an earlier life of its sender.
    bool applyHeartbeat(const peer_heartbeat& beat, utils::time_point now);
    /// Forgets addresses that stay silent.
    void expire(utils::time_point now);

    /// Whom to tell now.
    std::vector<std::string> targets();
    /// All others, to whom a node on whom they rely tells the short of it.
    std::vector<std::string> addressesExcept(const std::vector<std::string>& told) const;
    /// Peers in contact with the store that were heard just now.
    std::size_t followersHeard(utils::time_point now) const;
    /// Addresses of live peers to pass on.
    std::vector<std::string> sampleAddresses(utils::time_point now);
    /// Live peers, without this node.
    std::vector<std::string> livePeers(utils::time_point now) const;
    /// Null when unknown.
    const peer_state* find(const std::string& node) const;

private:
    std::string m_ownName;
    std::string m_ownAddress;
    std::mt19937_64 m_random;
    std::map<std::string, peer_state> m_peers; ///< by name
    std::map<std::string, utils::time_point> m_addresses; ///< and when they last showed a sign
};

} // namespace gateway

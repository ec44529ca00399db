#pragma once

#include "peermessages.h"

#include "utils/time.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gateway {

/// What a node knows of one peer.
struct peer_state {
    std::string address;
    std::uint64_t bootId = 0;
    std::uint64_t previousBootId = 0; ///< of the process before; 0: none known
    utils::time_point restartedAt {}; ///< when `bootId` was first heard
    std::uint64_t sequence = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t serversRevision = 0;
    std::string dataCentre;
    std::uint16_t forwardPort = 0; ///< of its listener for forwarded requests; 0: it has none
    std::uint64_t requestsInProgress = 0;
    /// Whose backend servers it cannot connect to, or hears nothing of.
    std::vector<std::string> cutOffServices;
    std::set<std::string> servicesInUse; ///< with requests in flight, as of its last full heartbeat
    utils::time_point listsHeardAt {}; ///< arrival of that heartbeat
    bool isLeaving = false;
    bool followsStore = false;
    utils::time_point heardAt {};
    unsigned timesNamed = 0; ///< heartbeats of this node that carried the peer's address
};

/// The other nodes: where to send heartbeats, and which revisions each node has. Names come from heartbeats;
/// addresses also from the seeds and from the address lists in heartbeats. Does no I/O; not thread safe.
class peer_table {
public:
    /// A peer that was silent for longer counts as dead: twelve heartbeats.
    static constexpr utils::duration peerLifetime = std::chrono::seconds(3);
    /// An address that was silent for longer is dropped: nodes start within seconds of each other, and a
    /// network partition may last for about ten seconds.
    static constexpr utils::duration addressLifetime = std::chrono::seconds(60);
    /// A datagram of a process that has ended arrives within this time.
    static constexpr utils::duration datagramLifetime = std::chrono::seconds(2);
    /// Peers that receive each full heartbeat. A small fleet is covered whole; in a larger one they are
    /// chosen at random each time.
    static constexpr std::size_t fanout = 10;
    /// Addresses of other nodes in one heartbeat: `sharedAddresses`, and more while there are nodes that this
    /// one has named less than `newsRepeats` times.
    static constexpr std::size_t sharedAddresses = 4;
    static constexpr std::size_t maxSharedAddresses = 40;
    static constexpr unsigned newsRepeats = 3;
    /// Newly started peers that get the next full heartbeat besides the fanout. They know few other nodes; by
    /// chance alone a node of a fleet of 300 would wait for seconds.
    static constexpr std::size_t maxGreetings = 150;

    peer_table(std::string ownName, std::string ownAddress, std::uint64_t seed);

    /// Adds the address of a possible node.
    void addAddress(const std::string& address, utils::time_point now);
    /// Applies a heartbeat. Returns false if it is outdated, comes from this node itself, or precedes a
    /// restart of its sender. Boot ids have no order: one that was not heard before is a restart.
    bool applyHeartbeat(const peer_heartbeat& heartbeat, utils::time_point now);
    /// Records the services at whose backend servers a peer has requests in flight. No effect if it is
    /// unknown.
    void setServicesInUse(const std::string& node, std::set<std::string> services, utils::time_point now);
    /// Drops peers and addresses that stay silent.
    void expire(utils::time_point now);

    /// The addresses for the next full heartbeat: a random sample, and peers that have just started.
    std::vector<std::string> targets();
    /// A random sample of the known addresses, of the same size without those peers.
    std::vector<std::string> sampleTargets();
    /// All known addresses but these. A node that follows the store sends them the heartbeat without lists.
    std::vector<std::string> addressesExcept(const std::vector<std::string>& targets) const;
    /// Number of peers that follow the store and were heard within decisions::followerTimeout.
    std::size_t followersHeard(utils::time_point now) const;
    /// Number of nodes whose address is known, including this one. Not all of them need be alive.
    std::size_t knownNodes() const { return m_addresses.size() + 1; }
    /// Addresses of all other nodes that are known, alive or not, ordered.
    std::vector<std::string> knownAddresses() const { return addressesExcept({}); }
    /// Addresses of some live peers, to be sent in a heartbeat; those that were named least come first.
    std::vector<std::string> sampleAddresses(utils::time_point now);
    /// Requests in progress at a live peer, in the mean; nothing if there is none.
    std::optional<double> meanRequestsInProgress(utils::time_point now) const;
    /// Names of the live peers, without this node.
    std::vector<std::string> livePeers(utils::time_point now) const;
    /// Addresses of the live peers, and of nodes named by others within `peerLifetime` that were not heard
    /// yet.
    std::vector<std::string> presumedLive(utils::time_point now) const;
    const std::string& ownAddress() const { return m_ownAddress; }
    /// All peers, by name, whether alive or not.
    const std::map<std::string, peer_state>& peers() const { return m_peers; }
    /// Null if unknown.
    const peer_state* find(const std::string& node) const;

private:
    std::string m_ownName;
    std::string m_ownAddress;
    std::mt19937_64 m_random;
    std::map<std::string, peer_state> m_peers; ///< by name
    std::vector<std::string> m_toGreet; ///< addresses of peers whose process is new to this node
    std::map<std::string, utils::time_point> m_addresses; ///< when each was last heard or added
};

} // namespace gateway

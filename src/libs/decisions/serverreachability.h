#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace decisions {

/// Detects that this node has lost its own path to the backend servers of a service.
///
/// Load: a node that cannot open connections to any server while callers, the store and other nodes still
/// reach it. Judged server by server, its loss looks like the failure of each server in turn, and every
/// request waits for several connections that cannot be opened. A server that is down is told apart by the
/// other servers, which accept connections meanwhile. Only opening a connection counts as evidence: old
/// connections may live on, or hang, while new ones fail.
///
/// The node is cut off once connections have failed at several servers with no success in between, and no
/// longer once as many have accepted connections with no failure in between. After a first failure, or when a
/// server falls silent, servers drawn at random are probed. Only their failures decide where a service has
/// many servers: requests prefer servers that seem idle, and among those the ones that have just crashed.
/// Not thread safe.
class server_reachability {
public:
    /// A failed connection is no evidence after this time.
    static constexpr utils::duration evidenceLifetime = std::chrono::seconds(3);
    /// Shortest time between two rounds of probes of a service.
    static constexpr utils::duration probeInterval = std::chrono::milliseconds(500);

    /// `seed`: draws the servers to probe; differs from node to node.
    explicit server_reachability(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    /// Returns how many distinct servers decide, in either direction, for a service with that many.
    static std::size_t decisiveServers(std::size_t servers);

    /// Records that the server accepted a connection. `servers`: number of servers of the service that may be
    /// used now. Returns whether isCutOff() has changed.
    bool connected(const std::string& service, const utils::server_id& server, std::size_t servers,
        utils::time_point now);
    /// Records that a connection was refused, reset, or not accepted in time. Returns whether isCutOff() has
    /// changed.
    bool failed(const std::string& service, const utils::server_id& server, std::size_t servers,
        utils::time_point now);

    /// Records that an open connection to the server has fallen silent: the server is probed next.
    void suspected(const std::string& service, const utils::server_id& server);

    /// Whether this node has lost its path to the servers of the service.
    bool isCutOff(const std::string& service) const;
    /// Returns the services that this node is cut off from, ordered by name.
    std::vector<std::string> cutOffServices() const;
    /// Whether nextProbes() may return any server.
    bool needsProbes(const std::string& service) const;
    /// Returns the servers to which a connection should be tried now: some while the service is cut off or a
    /// failure is recent, the suspected ones, and none if the last round is recent.
    std::vector<utils::server_id> nextProbes(
        const std::string& service, std::span<const utils::server_id> servers, utils::time_point now);

private:
    struct service_state {
        std::map<utils::server_id, utils::time_point> failedAt; ///< since the last accepted connection
        std::set<utils::server_id> accepted; ///< since the last failed connection; while cut off
        std::set<utils::server_id> suspects;
        bool isCutOff = false;
        utils::time_point probedAt {};
        std::set<utils::server_id> probed; ///< drawn in the last round
        std::uint64_t draws = 0;
    };

    std::uint64_t m_seed;
    std::map<std::string, service_state> m_services;
};

} // namespace decisions

#pragma once

#include "gateway/nodecontext.h"
#include "gateway/requests/requestplan.h"
#include "gateway/servers/connectionpool.h"
#include "peertable.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace gateway {

/// A peer that takes a request from this node.
struct forward_target {
    std::string node;
    boost::asio::ip::tcp::endpoint address; ///< of its listener for forwarded requests
    std::uint64_t bootId = 0;
};

/// Chooses the peers to which this node forwards requests while it is cut off from backend servers, and keeps
/// the connections to them. Not thread safe.
class peer_forwarder {
public:
    /// Precondition: both arguments outlive this object.
    peer_forwarder(const node_context& context, const peer_table& peers)
        : m_context(context)
        , m_peers(peers)
        , m_pool(idleTimeout)
    {
    }

    /// Chooses a peer that reaches the request's service and is not in `tried`; nothing if there is none.
    /// `salt` orders equal peers.
    std::optional<forward_target> choose(const request_plan& plan, const std::set<std::string>& tried,
        std::uint64_t salt, utils::time_point now) const;

    /// Chooses a peer for an attempt that may still go on by itself, and has received nothing since `since`:
    /// one that has requests in flight at the service and has told since then that it hears of it. Where no
    /// peer has any in flight, it is chosen as by choose(). Where those that have hear nothing, there is
    /// none: the servers, or all paths to them, are at fault.
    std::optional<forward_target> chooseHearing(const request_plan& plan, const std::set<std::string>& tried,
        std::uint64_t salt, utils::time_point since, utils::time_point now) const;

    /// Takes an idle connection to the peer; null when a new one is needed.
    http_connection_ptr takeConnection(const forward_target& target, utils::time_point now);
    /// Returns a connection after a complete response.
    void putConnection(const forward_target& target, http_connection_ptr connection, utils::time_point now);
    /// Records that a request to the peer has begun or ended.
    void began(const forward_target& target) { ++m_inProgress[target.node]; }
    void ended(const forward_target& target);
    /// Closes connections that have been idle for too long.
    void expire(utils::time_point now) { m_pool.expire(now); }

private:
    bool isSuitable(const peer_state& peer, const request_plan& plan, utils::time_point now) const;
    /// What peers have told of a service since a point in time.
    struct service_news {
        bool isKnown = false; ///< any peer has told
        bool isQuiet = false; ///< one cannot connect to its servers, or hears nothing of them
        std::set<std::string> hearing; ///< the peers with requests in flight there that hear of it
    };
    service_news newsOf(const std::string& service, utils::time_point since) const;
    /// `among`: the peers to choose from; empty: all.
    std::optional<forward_target> chooseAmong(const std::set<std::string>& among, const request_plan& plan,
        const std::set<std::string>& tried, std::uint64_t salt, utils::time_point now) const;

    // Shorter than peers keep an idle connection, since a request sent as it closes is lost.
    static constexpr utils::duration idleTimeout = std::chrono::seconds(5);
    // A node sends four heartbeats a second to a small fleet.
    static constexpr utils::duration heardWithin = std::chrono::seconds(1);

    const node_context& m_context;
    const peer_table& m_peers;
    connection_pool m_pool; ///< by the peer's name
    std::map<std::string, std::uint64_t> m_inProgress; ///< requests forwarded, by the peer's name
};

} // namespace gateway

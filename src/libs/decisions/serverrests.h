#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace decisions {

/// One process of a backend server. A server that starts again under its id is another process.
struct server_process {
    utils::server_id id;
    std::uint64_t startedAtMs = 0;
};

/// Message to other nodes: a backend server has asked this node for rest, or takes requests again.
struct rest_update {
    std::string server;
    std::uint64_t startedAtMs = 0;
    std::uint32_t leftMs = 0; ///< of the rest; 0: the server takes requests again
};

/// What this node knows of a server's wish for rest.
enum class rest_state {
    None,
    Asked, ///< the server wants no requests from this node
    Told, ///< it has asked a peer for rest, not this node
    Recovering, ///< the rest that it asked this node for is over, and it has taken no request since
    Count_
};

/// Name for logs. Thread safe.
std::string_view toString(rest_state state);

/// Keeps requests away from backend servers that have asked for rest.
///
/// Load: some servers of a service are full for seconds. Each turns away what it gets and asks the node that
/// sent it for rest. Without this, each request goes first to the server that holds its shared part, is
/// turned away, and needs a retry of a budget that is made for rare failures; and in a large fleet each node
/// has to be turned away by each full server before it knows.
///
/// A wish binds the node that was asked: it sends nothing there until the rest is over. Other nodes that hear
/// of it prefer other servers meanwhile. Now and then one of them sends a single request there, and tells the
/// others if it is taken, since the wish may concern the one node alone. After a rest a node sends one
/// request at a time until one is taken, so that not all nodes return with all their requests to a server
/// that was full. Not thread safe.
class server_rests {
public:
    /// `seed`: differs from node to node.
    explicit server_rests(std::uint64_t seed)
        : m_seed(seed)
    {
    }

    /// Sets the number of nodes of the fleet, this one included.
    void setNodes(std::size_t nodes) { m_nodes = nodes; }
    /// Records that the server has turned away a request of this node and wants no more for `length`. A
    /// shorter rest that is asked for later does not end a longer one.
    void asked(const server_process& server, utils::duration length, utils::time_point now);
    /// Records an update of another node.
    void told(const rest_update& update, utils::time_point now);
    /// Records that a request was sent to the server.
    void sent(const server_process& server, utils::time_point now);
    /// Records that the server has taken a request that was sent at `sentAt`.
    void taken(const server_process& server, utils::time_point sentAt, utils::time_point now);

    /// What is known of the server. A wish that was heard right before the server's entry showed a restart
    /// counts for the new process: it may have come from that one.
    rest_state stateOf(const server_process& server, utils::time_point now);
    /// Until when the server wants no requests from this node; nothing if it may get some.
    std::optional<utils::time_point> askedUntil(const server_process& server, utils::time_point now);
    /// Whether other servers are to be preferred for the moment.
    bool isAvoided(const server_process& server, utils::time_point now);
    /// Number of servers that want no requests from this node.
    std::size_t askedCount(utils::time_point now) const;

    /// Returns the updates for other nodes and clears them.
    std::vector<rest_update> takeUpdates();
    /// Drops what no longer matters.
    void expire(utils::time_point now);

    /// Longest rest that is kept.
    static constexpr utils::duration maxRest = std::chrono::hours(48);
    /// A restart shows in the server's entry within this time.
    static constexpr utils::duration entryDelay = std::chrono::seconds(2);
    /// In each window of this length about one node of the fleet tries a server that has asked others.
    static constexpr utils::duration trialWindow = std::chrono::seconds(1);
    /// A request that was sent after a rest holds up the next one for at most this time.
    static constexpr utils::duration trialTimeout = std::chrono::seconds(1);
    /// Nodes that were told of a rest come back within this part of it after its end, at most within
    /// `maxReturnTime`.
    static constexpr double returnShare = 0.3;
    static constexpr utils::duration maxReturnTime = std::chrono::seconds(1);
    /// A server that nobody has sent to since its rest counts as recovered after this time.
    static constexpr utils::duration recoveryLifetime = std::chrono::seconds(30);

private:
    struct server_state {
        std::uint64_t startedAtMs = 0;
        utils::time_point askedAt {};
        utils::time_point askedUntil {};
        bool isRecovering = false; ///< since `askedUntil`
        utils::time_point sentAt {}; ///< the last request of this node
        utils::time_point toldAt {};
        utils::time_point toldUntil {};
        utils::time_point announcedUntil {}; ///< end of the rest that all nodes know of
    };

    /// The state of this process; null if nothing is known of it.
    server_state* find(const server_process& server, utils::time_point now);
    /// Whether this node is the one to try a server in the present window.
    bool isTrying(const utils::server_id& server, const server_state& state, utils::time_point now) const;

    std::uint64_t m_seed;
    std::size_t m_nodes = 0; ///< 0: not known
    std::unordered_map<utils::server_id, server_state> m_servers;
    std::vector<rest_update> m_updates;
};

} // namespace decisions

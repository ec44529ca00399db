#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace decisions {

/// Limits the requests that all nodes together send to a backend server that has just started.
///
/// Load: a data centre comes back, and dozens of idle servers look best to every node at the same moment. A
/// cold server takes a few requests a second; each of 60 nodes sends one before it hears of the others', and
/// the server crashes again. Nodes cannot count each other's requests in time, so each server has as many
/// senders as it takes requests a second: the first nodes of a ranking that all nodes compute alike. Each
/// sender has an equal part of the rate, the others send nothing. Where nodes know different parts of the
/// fleet, more of them take themselves for senders, in proportion; a node that does not know its fleet yet is
/// no sender. Neither is a process that has just started: the one before it on the same node may have spent
/// its part. Not thread safe.
class cold_start_limiter {
public:
    /// `startedAt`: start of this process.
    explicit cold_start_limiter(utils::time_point startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// A sender spends its part of a second's requests once in this time: the way to the server takes longer
    /// for some requests than for others, and these may arrive together.
    static constexpr utils::duration window = std::chrono::milliseconds(1250);
    /// A server that could not be connected to may be back, cold, before its entry says so. It is taken for
    /// cold for this time after the last failure, in addition to its cold start.
    static constexpr utils::duration suspicionTime = std::chrono::milliseconds(3200);

    /// Sets the nodes of the fleet by address. Before the first call this node sends to no cold server.
    void setNodes(const std::string& ownAddress, std::vector<std::string> others);
    /// Records that a server could not be connected to, so that it may have restarted.
    void recordUnreachable(const utils::server_id& server, utils::time_point now);
    /// Whether the server may have restarted lately without its entry saying so.
    bool isSuspect(const utils::server_id& server, utils::duration coldStart, utils::time_point now) const;
    /// Whether this node may send a request to a cold server now, which takes `perSecond` requests from all
    /// nodes. Precondition: `perSecond` is above zero.
    bool maySend(const utils::server_id& server, double perSecond, utils::time_point now);
    /// Records that a request was sent to a cold server.
    void recordSent(const utils::server_id& server, utils::time_point now);
    /// Drops what no longer matters.
    void expire(utils::time_point now);

private:
    /// Position of this node in the ranking of the nodes for a server.
    std::size_t rankFor(const utils::server_id& server);

    utils::time_point m_startedAt;
    std::string m_ownAddress;
    std::vector<std::string> m_others; ///< ordered
    bool m_isFleetKnown = false;
    std::unordered_map<utils::server_id, std::size_t> m_ranks; ///< of this node, for the present fleet
    std::unordered_map<utils::server_id, std::vector<utils::time_point>> m_sent;
    std::unordered_map<utils::server_id, utils::time_point> m_unreachableAt;
};

} // namespace decisions

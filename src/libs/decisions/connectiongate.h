#pragma once

#include "utils/time.h"

#include <cstdint>

namespace decisions {

/// Measures the iterations of the event loop by the connections that each of them accepts: under load the
/// listen queue fills up while the loop is busy, and is emptied at once. Quicker than loop_delay, which knows
/// its timer only, but a few connections that arrive together look the same. Not thread safe.
class accept_rounds {
public:
    /// Records a connection, in the iteration that has accepted it.
    void accepted(utils::time_point now);
    /// Length of the last iteration; zero if its connection came alone.
    utils::duration iteration() const { return m_iteration; }

private:
    // Connections of one iteration are accepted within less.
    static constexpr utils::duration gap = std::chrono::milliseconds(2);

    utils::time_point m_startedAt {}; ///< of the iteration
    utils::time_point m_lastAt {};
    unsigned m_count = 0; ///< connections of the iteration
    utils::duration m_iteration {};
};

/// Input of the decision on one new connection of a caller.
struct connection_query {
    utils::duration loopDelay {}; ///< forecast time that a request waits in this node's event loop
    std::uint64_t requestsInProgress = 0; ///< on this node
    double peerRequests = 0; ///< in progress on another node, in the mean; as told lately
    bool hasPeers = false;
    std::uint64_t hash = 0; ///< of the connection
};

/// Whether to close a new connection before its request is read.
///
/// Load: for some seconds, one node gets the new connections of a whole region, many times what its processor
/// can do. What it reads, it has to answer; a caller whose connection is closed unread knows that nothing ran
/// and asks another node at once. Where the other nodes are as busy, they could not take the caller either:
/// connections are accepted then, and load_shedder refuses by urgency and with Retry-After.
/// The share of closed connections grows with the delay, and some are always accepted, so that the node
/// notices the end of the load. Thread safe.
bool mustCloseUnread(const connection_query& query);

} // namespace decisions

#pragma once

#include "utils/time.h"

#include <map>
#include <string>

namespace decisions {

/// A fetch that takes longer than this is supplemented by one from a second peer. A fetch of changes has
/// some KB: it takes 20 ms between data centres over the slowest links observed, and ten times that while
/// the link also carries callers' traffic.
inline constexpr utils::duration slowFetchThreshold = std::chrono::milliseconds(200);
/// Concurrent fetches. A third one would add load to a link that is slow for all of them.
inline constexpr std::size_t maxConcurrentFetches = 2;

/// A peer that did not answer is skipped for this time. Its heartbeats may still arrive while it is cut off
/// in one direction. The other peers, whose heartbeats come four times a second, can all be asked before
/// it.
inline constexpr utils::duration failedPeerPause = std::chrono::milliseconds(500);

/// Whether a fetch from a peer starts.
enum class fetch_start {
    No,
    First, ///< no other fetch is in flight
    Second, ///< the other fetch in flight is slow
};

/// Decides which peers a node fetches changes from that it has not received from the store.
///
/// Load: a node that relies on peers learns that a server leaves, and the peer that reported it is cut off
/// before it answers. When only that peer was asked, until its timeout and then once more, the node could
/// not ask the others for 1.3 s, while requests still went to the leaving server. A second fetch beside a
/// slow one bounds this to `slowFetchThreshold` and one heartbeat. Not thread safe.
class fetch_gate {
public:
    /// `slow`: a fetch that takes longer than this is supplemented by one from a second peer.
    explicit fetch_gate(utils::duration slow = slowFetchThreshold)
        : m_slowThreshold(slow)
    {
    }

    /// Whether that peer may be asked at `askedAt`, which may be in the future. If so, it counts as asked
    /// until end() or fail(). Each peer has at most one fetch in flight.
    fetch_start tryBegin(const std::string& peer, utils::time_point now, utils::time_point askedAt);
    /// The peer has answered.
    void end(const std::string& peer) { m_askedAt.erase(peer); }
    /// The peer did not answer within its timeout.
    void fail(const std::string& peer, utils::time_point now);

private:
    utils::duration m_slowThreshold;
    std::map<std::string, utils::time_point> m_askedAt; ///< by peer name
    std::map<std::string, utils::time_point> m_failedAt; ///< by peer name, within the last `failedPeerPause`
};

} // namespace decisions

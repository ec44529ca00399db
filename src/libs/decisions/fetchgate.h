#pragma once

#include "utils/time.h"

#include <map>
#include <string>

namespace decisions {

/// A fetch that takes longer is joined by one from a second peer. What changed is some KB: 20 ms between data
/// centres over the slowest links seen, ten times that beside the callers' bytes.
inline constexpr utils::duration slowFetchThreshold = std::chrono::milliseconds(200);
/// Peers asked at the same time: a third would load a link that is slow for all.
inline constexpr std::size_t maxConcurrentFetches = 2;

/// A peer that did not answer is passed over for so long: its beats may go on to come while it is cut off one
/// way, and the others, heard four times a second, can all be asked before it.
inline constexpr utils::duration failedPeerPause = std::chrono::milliseconds(500);

/// Whether a peer is asked.
enum class fetch_start {
    No,
    First,
    Second, ///< another that was asked takes long
};

/// Which peers are asked for what a node has not heard from the store.
///
/// Load: a node that relies on peers learns that a server leaves, and the peer that told it is cut off before
/// it answers. Asked alone until its time was over, and then once more, it kept the node from asking the
/// others for 1.3 s, while requests went on to the leaving server. A second peer beside a slow one bounds
/// this to `slowFetchThreshold` and one beat. Not thread safe.
class fetch_gate {
public:
    /// `slow`: a fetch that takes longer is joined by one from a second peer.
    explicit fetch_gate(utils::duration slow = slowFetchThreshold)
        : m_slowThreshold(slow)
    {
    }

    /// Whether that peer may be asked, at `askedAt`, which may lie ahead; if so it counts as asked until
    /// end(). Nobody is asked twice at a time.
    fetch_start tryBegin(const std::string& peer, utils::time_point now, utils::time_point askedAt);
    /// The peer has answered.
    void end(const std::string& peer) { m_askedAt.erase(peer); }
    /// The peer did not answer in its time.
    void fail(const std::string& peer, utils::time_point now);

private:
    utils::duration m_slowThreshold;
    std::map<std::string, utils::time_point> m_askedAt; ///< by name
    std::map<std::string, utils::time_point> m_failedAt; ///< by name, those of the last `failedPeerPause`
};

} // namespace decisions

#pragma once

#include "urgency.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace decisions {

/// The work that one workspace offers to a service.
struct workspace_work {
    std::uint64_t workspace = 0; ///< hash of the workspace's name
    double work = 0; ///< slot seconds a second
};

/// Message to other nodes: the work that callers of this node offer to one service.
struct offered_work_update {
    std::array<double, urgencyLevels> byUrgency {}; ///< slot seconds a second
    std::vector<workspace_work> heaviest; ///< workspaces with most work; at most `offered_work::maxHeaviest`
    std::uint32_t otherWorkspaces = 0; ///< that offered work and are not named
};

/// Work that is offered to a service by all nodes, as far as this node knows.
struct work_total {
    std::array<double, urgencyLevels> byUrgency {}; ///< slot seconds a second
    std::unordered_map<std::uint64_t, double> byWorkspace; ///< the heaviest ones; slot seconds a second
    double otherWork = 0; ///< of the workspaces that are not named, slot seconds a second
    std::uint32_t otherWorkspaces = 0;

    double work() const;
};

/// Measures the work that callers offer to one service, over all nodes, whether it is admitted or refused.
///
/// Load: more work than the servers can do, brought by a few of many workspaces, over many nodes. What one
/// node sees of a workspace is a sample; the sum tells whose work is too much. A node tells peers its totals
/// and its heaviest workspaces; the size of the message and of the state does not grow with the number of
/// workspaces. Not thread safe.
class offered_work {
public:
    /// Workspaces named in a message.
    static constexpr std::size_t maxHeaviest = 12;
    /// Workspaces of its own callers that a node tells apart; others count without a name.
    static constexpr std::size_t maxWorkspaces = 512;
    /// Time constant of the exponential decay of the measured rates.
    static constexpr utils::duration decayTime = std::chrono::seconds(2);
    /// Lifetime of a peer's message.
    static constexpr utils::duration peerLifetime = std::chrono::seconds(4);
    /// A workspace with less than this share of the node's work is not named.
    static constexpr double minNamedShare = 0.01;

    /// Records a request on arrival. `work`: slot seconds that it is expected to take.
    void record(std::uint64_t workspace, int urgency, double work, utils::time_point now);
    /// Replaces what a peer has told; of more than `maxHeaviest` workspaces the first ones count.
    void updatePeer(const utils::node_id& peer, const offered_work_update& update, utils::time_point now);
    /// Whether a peer has told lately that its callers offer something.
    bool hasHeard(utils::time_point now) const;
    /// Returns the message to peers.
    offered_work_update update(utils::time_point now);
    /// Returns the sum over all nodes. `livePeers`: those that may have told something; the work of those
    /// that were not heard lately is taken as that of the others in the mean.
    work_total total(std::size_t livePeers, utils::time_point now);
    /// Shares of the urgencies in the work of a workspace at this node, with the sum 1; nothing if it has
    /// none here, or is not told apart.
    std::optional<std::array<double, urgencyLevels>> sharesByUrgency(
        std::uint64_t workspace, utils::time_point now);

private:
    struct decaying_rates {
        std::array<double, urgencyLevels> work {}; ///< slot seconds a second
        utils::time_point at {};
        double sum() const;
    };
    struct peer_state {
        offered_work_update update;
        utils::time_point at {};
    };
    static void decay(decaying_rates& rates, utils::time_point now);
    void expire(utils::time_point now);

    decaying_rates m_all;
    std::unordered_map<std::uint64_t, decaying_rates> m_workspaces;
    std::map<utils::node_id, peer_state> m_peers;
    utils::time_point m_expiredAt {};
};

} // namespace decisions

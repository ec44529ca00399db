#pragma once

#include "utils/time.h"

#include <cstdint>
#include <deque>

namespace decisions {

/// Limits of the repeats that all nodes together may send to a service.
struct repeat_limits {
    double ratio = 0.2; ///< repeats per request, over all nodes
    double extra = 54; ///< repeats beyond that, over all nodes
    utils::duration window = std::chrono::seconds(10); ///< both hold in every interval of this length
};

/// Bounds the repeats that this node sends to one service, so that all nodes together keep the fleet's
/// bound in every window, also when nodes do not know of each other, and whenever they are restarted.
///
/// Load: failing servers, lost answers, callers that keep sending the same request, while nodes are killed
/// in series or callers move from node to node. Each node may spend a share of the requests that it has
/// forwarded itself, and its part of the fixed extra. No node relies on another one to spend less, and no
/// process on what the one before it on the same node has spent:
///  - The share has to be spent soon after the request that it comes from, so that repeats of one window come
///    from the requests of little more than that window, by whichever processes.
///  - The extra is spent only after a full window of the process's life, so that what the process before it
///    has spent lies in an earlier window.
/// Not thread safe.
class repeat_allowance {
public:
    /// `nodes`: largest number of nodes that may spend, including this one; 0: not known yet. `startedAt`:
    /// start of this process.
    repeat_allowance(const repeat_limits& limits, unsigned nodes, utils::time_point startedAt)
        : m_limits(limits)
        , m_nodes(nodes)
        , m_startedAt(startedAt)
    {
    }

    /// Records the first sending of a request to the service.
    void forwarded(utils::time_point now);
    /// Takes one repeat, or returns false if none is left.
    bool trySpend(utils::time_point now);
    /// Raises the number of nodes that share the extra. A lower number is ignored: nodes that left may have
    /// spent their part already.
    void setNodes(unsigned nodes);
    /// Number of repeats left now.
    double left(utils::time_point now) const;

    /// Fraction of the bound that is used.
    static constexpr double safetyFactor = 0.75;
    /// A repeat comes from the requests of this part of a window before it. Repeats of a window thus come
    /// from the requests of one and a quarter, which the safety factor makes up for.
    static constexpr int shareWindowsPerWindow = 4;
    /// Repeats beyond its share of requests that a node may spend while it does not know the fleet's size. A
    /// fleet's extra is at least one for each node.
    static constexpr double extraInUnknownFleet = 1;

private:
    struct slice {
        std::int64_t index = 0;
        std::uint32_t forwarded = 0;
        double spentOfShare = 0;
        double spentOfExtra = 0;
    };
    /// The slice of the present; drops those that no longer count.
    slice& current(utils::time_point now);
    double shareLeft(utils::time_point now) const;
    double extraLeft(utils::time_point now) const;

    repeat_limits m_limits;
    unsigned m_nodes;
    utils::time_point m_startedAt;
    std::deque<slice> m_slices;
};

} // namespace decisions

#pragma once

#include "utils/time.h"

#include <cstdint>
#include <deque>

namespace decisions {

/// Settings of the repeats that all nodes together may send to a service.
struct repeat_limits {
    double ratio = 0.2; ///< repeats per request, over all nodes
    double extra = 54; ///< repeats beyond that, over all nodes
    utils::duration window = std::chrono::seconds(10); ///< both hold in every span of that length
};

/// Bounds the repeats that this node sends to one service, so that all nodes together keep the fleet's bound
/// in every window whoever knows of whom.
///
/// Load: failing servers, lost answers, callers who insist. Each node spends a share of what it has itself
/// forwarded in the window before, and its part of the fixed extra; no node counts on another to spend less.
/// Shares add up, so the sum keeps the bound without a message. Not thread safe.
class repeat_allowance {
public:
    /// `nodes`: how many nodes may spend at most, this one with them.
    repeat_allowance(const repeat_limits& limits, unsigned nodes)
        : m_limits(limits)
        , m_nodes(nodes)
    {
    }

    /// A request went to the service for the first time.
    void forwarded(utils::time_point now);
    /// Counts a repeat, or says that none is left.
    bool trySpend(utils::time_point now);
    /// More nodes than thought share the extra. A smaller figure is not taken: those that left have spent.
    void setNodes(unsigned nodes);
    /// Repeats left now.
    double left(utils::time_point now);

    /// Part of the ratio that is used. A process that restarts knows nothing of what it has spent, and a
    /// window may begin at any moment.
    static constexpr double safetyFactor = 0.75;

private:
    struct slice {
        std::int64_t index = 0;
        std::uint32_t forwarded = 0;
        std::uint32_t repeated = 0;
    };
    slice& current(utils::time_point now);
    void dropOld(utils::time_point now);

    repeat_limits m_limits;
    unsigned m_nodes;
    std::deque<slice> m_slices;
};

} // namespace decisions

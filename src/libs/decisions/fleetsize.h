#pragma once

#include "utils/time.h"

namespace decisions {

/// Estimates how many nodes the fleet has, for bounds that all nodes share by dividing them.
///
/// Load: hundreds of nodes start at once and learn of each other over seconds; later each of them hears only
/// some of the others within a second. A bound divided by the nodes that one of them hears is exceeded
/// several times over by all together. So the addresses known count, whether they were heard lately or not,
/// and the estimate is not used before it has stopped growing. Not thread safe.
class fleet_size {
public:
    /// The first estimate is used once it has not grown for this time: four heartbeats.
    static constexpr utils::duration settleTime = std::chrono::seconds(1);

    /// Ends the wait for further nodes: this one was told of no other.
    void settle() { m_isSettled = true; }
    /// Records the number of nodes known, including this one.
    void observe(unsigned nodes, utils::time_point now);
    /// The most nodes known at once; 0 while the first estimate still grows.
    unsigned nodes() const { return m_isSettled ? m_nodes : 0; }

private:
    unsigned m_nodes = 0;
    bool m_isSettled = false;
    utils::time_point m_grewAt {};
};

} // namespace decisions

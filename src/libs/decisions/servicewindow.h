#pragma once

#include "utils/time.h"

#include <cstdint>

namespace decisions {

/// How far a node is with its stop.
enum class stop_phase {
    None,
    Leaving, ///< the balancer is told; what still comes is served, and its connection ended
    Closing, ///< only what surely ends in time is taken
    Done
};

/// Settings of a service window.
struct window_limits {
    /// From the stop signal to the process's end at the latest.
    utils::duration grace = std::chrono::seconds(8);
    /// Of the grace, for the process to end in.
    utils::duration margin = std::chrono::milliseconds(600);
    /// The balancer asks once a second and needs two misses; most of a second more for what is on its way.
    utils::duration leavingPeriod = std::chrono::milliseconds(2900);
    /// A node that starts reads what it needs in some 50 ms; an eighth of the callers' targets is 40 to 180.
    utils::duration startupWait = std::chrono::milliseconds(300);
};

/// When a node takes requests, from its start to its stop.
///
/// Load: rolling restarts, and all nodes at once after a loss of power. A node that has just started knows no
/// configuration for some ten ms, and a crowd is waiting: refused at once it comes back half a second later,
/// when it need not have waited at all. A node that leaves still gets requests where few others are left in
/// its data centre: refused one and all they use up their callers' retries, though a short one ends within
/// the grace many times over. A long one must not be taken: the process would end under it.
/// Not thread safe.
class service_window {
public:
    service_window(const window_limits& limits, utils::time_point startedAt)
        : m_limits(limits)
        , m_startedAt(startedAt)
    {
    }

    /// Whether to answer callers: the node knows what it needs, or has waited long enough for it.
    bool isOpen(bool isComplete, utils::time_point now) const;
    /// When isOpen() is true at the latest.
    utils::time_point opensAt() const { return m_startedAt + m_limits.startupWait; }

    /// The stop signal came. Later calls change nothing.
    void beginStop(utils::time_point now);
    bool isStopping() const { return m_isStopping; }
    /// `requestsInProgress`: of this node.
    stop_phase phase(std::uint64_t requestsInProgress, utils::time_point now) const;
    /// Whether to take a request that may last so long.
    bool mayAccept(utils::duration timeout, utils::time_point now) const;

private:
    utils::time_point endsAt() const { return m_stopAt + m_limits.grace - m_limits.margin; }

    window_limits m_limits;
    utils::time_point m_startedAt;
    bool m_isStopping = false;
    utils::time_point m_stopAt {};
};

} // namespace decisions

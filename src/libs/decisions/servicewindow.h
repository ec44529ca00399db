#pragma once

#include "utils/time.h"

#include <cstdint>

namespace decisions {

/// Phase of a node's shutdown.
enum class stop_phase {
    None,
    Leaving, ///< the balancer is notified; serves arriving requests, then closes their connections
    Closing, ///< only requests whose deadline is before the process exits are passed on
    Done
};

/// Settings of a service window.
struct window_limits {
    /// Longest time from the stop signal to the process's exit.
    utils::duration grace = std::chrono::seconds(8);
    /// Part of the grace period that is reserved for the process to exit.
    utils::duration margin = std::chrono::milliseconds(600);
    /// Length of the Leaving phase. The balancer probes once a second and needs two failed probes; the rest,
    /// most of a second, is for connections on their way.
    utils::duration leavingPeriod = std::chrono::milliseconds(2900);
    /// Part of the time until the process exits in which requests are passed on whatever their deadline, at
    /// most the Leaving phase. The rest is for them to end.
    double anyDeadlineShare = 0.4;
    /// Longest time that a starting node waits for its configuration. Reading it takes some 50 ms; an eighth
    /// of the callers' latency targets is 40 to 180 ms.
    utils::duration startupWait = std::chrono::milliseconds(300);
};

/// Decides when a node accepts requests, from its start to its shutdown.
///
/// Load: rolling restarts, and a start of all nodes after a loss of power. A node that has just started has
/// no configuration for some ten ms while many callers wait; if it refused them, they would retry half a
/// second later although the node was ready almost at once. A node that shuts down still gets requests when
/// few other nodes are left in its data centre. Refusing all of them would use up their callers' retries,
/// although the grace period is many times longer than a short request. A long request must not be passed on:
/// the process would exit before it ends. Not thread safe.
class service_window {
public:
    service_window(const window_limits& limits, utils::time_point startedAt)
        : m_limits(limits)
        , m_startedAt(startedAt)
    {
    }

    /// Whether to answer callers: the configuration is complete, or the node has waited `startupWait` for it.
    bool isOpen(bool isComplete, utils::time_point now) const;
    /// Returns the time from which isOpen() is true in any case.
    utils::time_point opensAt() const { return m_startedAt + m_limits.startupWait; }

    /// Begins the shutdown, on the stop signal. Later calls have no effect.
    void beginStop(utils::time_point now);
    bool isStopping() const { return m_isStopping; }
    /// `requestsInProgress`: in-flight requests of this node, those included that are still being read.
    stop_phase phase(std::uint64_t requestsInProgress, utils::time_point now) const;
    /// Whether a request with that deadline may be sent to a backend server now. To be asked for each
    /// attempt: a request may have taken long to arrive, or waited.
    bool mayPassOn(utils::time_point deadline, utils::time_point now) const;

private:
    utils::time_point endsAt() const { return m_stopAt + m_limits.grace - m_limits.margin; }

    window_limits m_limits;
    utils::time_point m_startedAt;
    bool m_isStopping = false;
    utils::time_point m_stopAt {};
};

} // namespace decisions

#pragma once

#include "queueentry.h"

#include <map>
#include <vector>

namespace decisions {

/// Measures how much slower (or faster) than expected the servers of a queue run.
///
/// Load: a slow server. Without it, waits are estimated from expected work alone, a slow server's queue
/// looks short, and everything let in misses its deadline. Counts what is still running too: a server
/// that has stopped finishes nothing, so finished work alone would never show it.
/// Not thread safe.
class service_rate {
public:
    void started(entry_id id, utils::duration expectedWork, utils::time_point now);
    /// Ends a run. `isWhole`: it ran to its end; cut and cancelled runs do not count as fast ones.
    void finished(entry_id id, utils::time_point now, bool isWhole = true);

    /// A run that has not begun after all: tells nothing about the servers.
    void cancelled(entry_id id) { m_running.erase(id); }

    /// Measured time over expected time, 1 when nothing is known. Always > 0.
    double slowdown(utils::time_point now) const;
    /// Expected slot time still to go of each running entry, times slowdown.
    std::vector<utils::duration> remaining(utils::time_point now) const;
    std::size_t running() const { return m_running.size(); }

private:
    struct run {
        utils::duration expected {};
        utils::time_point startedAt;
    };
    double runningSlowdown(utils::time_point now) const;

    std::map<entry_id, run> m_running;
    double m_slowdown = 1;
};

} // namespace decisions

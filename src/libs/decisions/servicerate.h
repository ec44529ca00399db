#pragma once

#include "queueentry.h"

#include <map>
#include <vector>

namespace decisions {

/// Measures how much slower or faster than expected the servers of a queue run.
///
/// Load: a slow server. If waits were estimated from expected work alone, a slow server's queue would look
/// short and all admitted requests would miss their deadlines. Running requests are included, since a server
/// that hangs finishes nothing and would not show in finished requests. Not thread safe.
class service_rate {
public:
    void started(entry_id id, utils::duration expectedWork, utils::time_point now);
    /// Ends a run. `isWhole`: it ran to completion; aborted and cancelled runs do not count as fast ones.
    void finished(entry_id id, utils::time_point now, bool isWhole = true);

    /// Removes a run that did not start; it is not a sample of the servers' speed.
    void cancelled(entry_id id) { m_running.erase(id); }

    /// Returns the ratio of measured to expected time; 1 without samples. Always > 0.
    double slowdown(utils::time_point now) const;
    /// Returns the expected remaining slot time of each running entry, scaled by the slowdown.
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

#pragma once

#include "queueentry.h"
#include "refusal.h"

#include <array>
#include <map>
#include <optional>

namespace decisions {

/// Settings of admission.
struct admission_limits {
    /// Longest estimated queueing time of an admitted request, by class. Interactive callers are on the
    /// phone and give up within seconds; drafts are durable and may wait for hours.
    std::array<utils::duration, static_cast<std::size_t>(priority_class::Count_)> maxWait {
        std::chrono::seconds(5), std::chrono::seconds(30), std::chrono::hours(24)
    };
    /// Fraction of maxWait above which the estimated wait leads to a refusal. At 1.0, 10% of the requests
    /// refused under saturation learn of it only after seconds in the queue; at 0.8, 2% do, and 1 to 3%
    /// fewer requests are served.
    double headroom = 0.8;
};

/// Input of the admission decision for one request.
struct admission_query {
    queue_entry entry;
    utils::duration estimatedWait {}; ///< until the request would start, at the measured service rate
    double drainRate = 1; ///< seconds of work that the servers complete per second
};

/// Admits only requests that can be answered in time.
///
/// Load: saturation and slow servers. Without admission control, an overloaded queue fills with requests
/// whose callers have given up by the time they start: the servers are busy and no caller gets an answer in
/// time.
/// A request whose estimated wait is longer than its class allows, or whose deadline would pass, is refused
/// at once. Retry-After begins when the backlog has drained far enough and is spread over the time that the
/// recently refused work takes to run in the spare capacity, so that retries arrive at the rate at which
/// they can be served. Not thread safe.
class admission {
public:
    explicit admission(const admission_limits& limits = {});

    /// Returns nothing if the request is admitted. Precondition: query.drainRate > 0.
    std::optional<refusal> decide(const admission_query& query, utils::time_point now);
    /// Returns the refusal for an entry that cannot be kept. Retry-After starts at `query.estimatedWait`,
    /// the time until the servers have room again. The work of the entry is counted as returning.
    refusal refuse(utils::error_kind kind, const admission_query& query, utils::time_point now);

    const admission_limits& limits() const { return m_limits; }

private:
    utils::duration waitWithOvertaking(const admission_query& query) const;
    double spareRate(double drainRate) const;
    void advance(double drainRate, utils::time_point now);

    admission_limits m_limits;
    double m_refusedWork = 0; ///< seconds of refused work that is expected to return
    /// Admitted work in seconds per second, as a moving average, by class and team.
    std::array<std::map<utils::team_id, double>, static_cast<std::size_t>(priority_class::Count_)> m_admitted;
    double m_admittedRate = 0; ///< sum over m_admitted
    std::optional<utils::time_point> m_advancedAt;
};

} // namespace decisions

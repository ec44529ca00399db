#pragma once

#include "queueentry.h"
#include "refusal.h"

#include <array>
#include <map>
#include <optional>

namespace decisions {

/// Settings of admission.
struct admission_limits {
    /// Longest wait that a caller of the class is let in for. Callers on the phone give up within
    /// seconds; drafts are durable and may wait for hours.
    std::array<utils::duration, static_cast<std::size_t>(priority_class::Count_)> maxWait {
        std::chrono::seconds(5), std::chrono::seconds(30), std::chrono::hours(24)
    };
    /// Part of maxWait up to which an estimate is believed. At 1.0 a tenth of those refused under saturation
    /// hear it only after seconds in the queue, at 0.8 two in a hundred, for 1 to 3% fewer served.
    double headroom = 0.8;
};

/// What admission is asked about one request.
struct admission_query {
    queue_entry entry;
    utils::duration estimatedWait {}; ///< until it would start, by the measured service rate
    double drainRate = 1; ///< seconds of work that the servers finish in a second
};

/// Lets in only what will be answered in time.
///
/// Load: saturation and slow servers. Without it, a queue in overload fills with requests whose callers
/// have given up by the time they start: the servers are busy and nobody gets an answer in time.
/// A request whose estimated wait is longer than its class allows, or whose deadline would pass, is
/// refused at once with the time when the backlog will have gone down far enough. The returns are spread
/// over as long as the work refused lately takes to run in what others leave free, so that they come back
/// at the rate at which they can be served. Not thread safe.
class admission {
public:
    explicit admission(const admission_limits& limits = {});

    /// Nothing when let in. Precondition: query.drainRate > 0.
    std::optional<refusal> decide(const admission_query& query, utils::time_point now);
    /// The refusal for an entry that cannot be kept, with Retry-After from `wait`, the time until the
    /// servers have room again. Counts its work as coming back.
    refusal refuse(utils::error_kind kind, const admission_query& query, utils::time_point now);

    const admission_limits& limits() const { return m_limits; }

private:
    utils::duration waitWithOvertaking(const admission_query& query) const;
    double spareRate(double drainRate) const;
    void advance(double drainRate, utils::time_point now);

    admission_limits m_limits;
    double m_refusedWork = 0; ///< seconds of work told to come back and not yet due
    /// Seconds of work let in a second, moving average, by class and team.
    std::array<std::map<utils::team_id, double>, static_cast<std::size_t>(priority_class::Count_)> m_admitted;
    double m_admittedRate = 0; ///< sum of the above
    std::optional<utils::time_point> m_advancedAt;
};

} // namespace decisions

#pragma once

#include "refusal.h"
#include "urgency.h"

#include "utils/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace decisions {

/// Input of the load shedding decision for one request.
struct shed_query {
    utils::duration slotWait {}; ///< forecast time until a server has a free slot
    utils::duration queueing {}; ///< slotWait and the prefill of the prompts that the server received before
    utils::duration expectedAnswer {}; ///< until the answer begins, with queueing and prefill
    utils::duration loopDelay {}; ///< wait in this node's event loop; part of neither of the two above
    utils::duration target {}; ///< time within which the answer should begin
    utils::duration timeLeft {}; ///< until the caller gives up
    int urgency = 0; ///< 0 is the most urgent
    bool hasShare = false; ///< the room is shared out, see overload_control: the queue has no limit
    std::uint64_t hash = 0; ///< of the request
};

/// Refuses requests at once if they would wait too long for a slot at a backend server, or for processor time
/// of this node.
///
/// Load: more work than the servers can do, temporarily or permanently. Without a limit, all requests wait
/// until most miss their targets, retries of abandoned requests add to the load, and the most urgent
/// requests are served no better than the others.
/// Servers take urgent requests first, so the wait of a request depends on its urgency, and so does its
/// limit. The most urgent requests may wait longer than their target, since a late answer is better for
/// them than none. Other requests are refused where they would be late, and less urgent ones slightly
/// sooner.
/// The share of refused requests grows gradually with the wait: nodes know the load of others with a delay
/// of 250 ms, and with a hard limit all nodes would start and stop refusing at the same time.
/// Retry-After begins when the requests refused before can have been served, and is spread over the same
/// time again. Not thread safe.
class load_shedder {
public:
    /// Limit of the most urgent requests, as a multiple of their target.
    static constexpr double mostUrgentLimitFactor = 3;
    /// Upper bound of the limit of an urgency, as a fraction of the limit of the next more urgent one.
    static constexpr double limitStepFactor = 0.9;
    /// Multiples of the limit between which the share of refused requests grows from none to all.
    static constexpr double rampBegin = 0.7;
    static constexpr double rampEnd = 1.3;
    /// Smallest and largest Retry-After, before it is spread.
    static constexpr utils::duration minRetryAfter = std::chrono::milliseconds(300);
    static constexpr utils::duration maxRetryAfter = std::chrono::seconds(30);
    /// Time constant of the exponential decay of the counts of admitted and refused requests.
    static constexpr utils::duration countDecayTime = std::chrono::seconds(5);

    /// Records the target of a request of that urgency. Call it for each request before decide().
    void recordTarget(int urgency, utils::duration target);
    /// Returns nothing if the request is admitted.
    std::optional<refusal> decide(const shed_query& query, utils::time_point now);
    /// The shortest recorded target; nothing before the first.
    std::optional<utils::duration> shortestTarget() const;
    /// Counts a request that is refused for another reason than its wait, and returns the refusal.
    refusal refuse(std::uint64_t hash, utils::time_point now);
    /// Whether a request would wait too long.
    bool mustRefuse(const shed_query& query) const;
    /// Longest queueing time of requests of that urgency.
    utils::duration limitFor(int urgency, utils::duration target) const;

private:
    /// Time to serve the recently refused requests at the rate at which requests are admitted.
    utils::duration backlogTime() const;
    void decayCounts(utils::time_point now);

    std::array<utils::duration, urgencyLevels>
        /// Shortest recorded target by urgency; zero: none.
        m_targets {};
    double m_admitted = 0; ///< admitted requests, decayed
    double m_refused = 0; ///< refused requests, decayed
    utils::time_point m_decayedAt {};
};

} // namespace decisions

#pragma once

#include "refusal.h"
#include "urgency.h"

#include "utils/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace decisions {

/// What is asked about one request.
struct shed_query {
    utils::duration slotWait {}; ///< until a server has a place for it, as forecast
    utils::duration queueing {}; ///< the wait for a place, and until the server has read what came before
    utils::duration expectedAnswer {}; ///< until its answer begins, all included
    utils::duration target {}; ///< in which its answer should begin
    utils::duration timeLeft {}; ///< until its caller gives up
    int urgency = 0; ///< 0 is the most urgent
    std::uint64_t hash = 0; ///< of the request
};

/// Refuses at once what would wait too long for a place at a backend server.
///
/// Load: more work than the servers can do, for seconds or for good. Let in without a limit, all requests
/// wait until most miss their targets, repeats of those that were given up add to the load, and the most
/// urgent are served no better than the others. Servers take the urgent first, so the wait of a request
/// depends on its urgency; here the limit does as well. The most urgent requests may wait for longer than
/// their target, since a late answer is better for them than none; others are refused where they would be
/// late, and the less urgent a little sooner. Refusals set in gradually: nodes know the load of others a
/// quarter of a second late, and with a hard limit all would open and close at once. Callers are told to come
/// back when what was refused before them can have been served, spread over as long again. Not thread safe.
class load_shedder {
public:
    /// Part of its target that the most urgent request may wait.
    static constexpr double mostUrgentLimitFactor = 3;
    /// Limit of an urgency as a part of that of the next more urgent one, at most.
    static constexpr double limitStepFactor = 0.9;
    /// Multiples of the limit between which the share of refused requests grows from none to all.
    static constexpr double rampBegin = 0.7;
    static constexpr double rampEnd = 1.3;
    /// A refused caller is asked to stay away for that long at least.
    static constexpr utils::duration minRetryAfter = std::chrono::milliseconds(300);
    /// In which admitted and refused requests are counted, with less weight the older.
    static constexpr utils::duration countDecayTime = std::chrono::seconds(5);

    /// A request of that urgency has come.
    void recordTarget(int urgency, utils::duration target);
    /// Nothing when the request is let in.
    std::optional<refusal> decide(const shed_query& query, utils::time_point now);
    /// How long requests of that urgency may queue.
    utils::duration limitFor(int urgency, utils::duration target) const;

private:
    bool mustRefuse(const shed_query& query) const;
    /// How long it takes to serve what was refused of late at the rate at which requests are served.
    utils::duration backlogTime() const;
    void decayCounts(utils::time_point now);

    std::array<utils::duration, urgencyLevels> m_targets {}; ///< the shortest seen by urgency; zero: none
    double m_admitted = 0; ///< requests, in the counting time
    double m_refused = 0; ///< the same
    utils::time_point m_decayedAt {};
};

} // namespace decisions

#pragma once

#include "quotalease.h"
#include "refusal.h"
#include "staticshare.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace decisions {

/// Settings of the borrower's side.
struct team_limiter_limits {
    utils::duration requestInterval
        = std::chrono::milliseconds(500); ///< per team: bounds the control traffic
    utils::duration initialAnswerTimeout
        = std::chrono::milliseconds(200); ///< then the home is asked again; doubles
    unsigned maxUnanswered = 3; ///< asked so often without an answer, the home counts as out of reach
    utils::duration horizon = std::chrono::seconds(2); ///< a lump should last this long
    utils::duration returnAfter = std::chrono::seconds(1); ///< without use, free slots go back
    utils::duration forgetAfter = std::chrono::seconds(30); ///< without traffic a team's state goes
};

/// What the limiter says about one request.
enum class limit_verdict {
    Admitted,
    AwaitGrant, ///< ask again when a grant has come, or after a while, with the same hash
    Refused
};

/// A verdict, with the refusal when refused.
struct limit_answer {
    limit_verdict verdict = limit_verdict::Admitted;
    refusal reason;
};

/// One node's side of team limits: admits from lumps that the team's home lends.
///
/// Load: a team's surge. Each node asks for what its own traffic of the last second needs; what it does not
/// use goes back with the next request. The first request of a team at a node waits one round trip to the
/// home. While the home says that it has nothing, callers are refused from here without asking it again.
/// When the home is out of reach the node uses its static share.
///
/// Bounds (R requests a second, C concurrent, E expiry of lumps, n nodes):
///  - home in reach of all: at most R * (W + E) + B requests in any time W, with B the lender's bucket; at
///  most
///    C concurrent.
///  - k nodes have lost the home: they use their static shares after E. Once the home's membership has
///    noticed, it sets these shares aside, and the sum keeps to R and C; until then at most
///    R * (1 + k/n) and C * (1 + k/n).
///  - the home is lost to all: the sum of the static shares, R and C, besides what still runs from
///    lapsed lumps, which is never cut off: at most 2C until it has ended.
/// Not thread safe.
class team_limiter {
public:
    team_limiter(
        utils::node_id self, const team_limiter_limits& limits = {}, std::uint64_t firstSequence = 1);

    /// Sets a team's limit; no limit means that it is always admitted.
    void setLimit(const utils::team_id& team, const fleet_limit& limit);
    /// The nodes that share the limits.
    void setMembers(const std::vector<utils::node_id>& members);

    /// Admits one request of the team or not. Each admitted one needs finished() at its end. `hash` names the
    /// request: it spreads Retry-After, and a request that asks again while it waits is counted once.
    limit_answer admit(const utils::team_id& team, std::uint64_t hash, utils::time_point now);
    /// An admitted request has ended.
    void finished(const utils::team_id& team, utils::time_point now);
    /// The requests to send to the teams' homes now. Call after admit and about every 100 ms.
    std::vector<quota_lease_request> poll(utils::time_point now);
    /// A home has answered.
    void apply(const quota_lease_grant& grant, utils::time_point now);
    /// The team's home has moved: asks the new one at the next poll.
    void homeMoved(const utils::team_id& team);

    unsigned running(const utils::team_id& team) const;
    /// Teams that take memory and messages now.
    std::size_t activeCount() const { return m_active.size(); }

private:
    /// State of a team with traffic here.
    struct team_state {
        fleet_limit limit;
        std::uint32_t tokens = 0;
        std::uint32_t concurrent = 0; ///< held
        std::uint32_t running = 0;
        std::set<std::uint64_t> waiting; ///< hashes of those told to await, each counted once
        std::uint32_t waitingAtSend = 0;
        double demand = 0; ///< requests per second, moving average
        std::uint32_t arrivals = 0; ///< since the last request was sent
        utils::time_point demandAt {};
        utils::time_point tokensExpireAt {}; ///< of the tokens
        utils::time_point slotsExpireAt {};
        utils::duration slotExpiry {};
        utils::time_point deniedUntil {};
        utils::time_point lastUse {};
        std::uint64_t sentSequence = 0;
        std::uint64_t appliedSequence = 0;
        std::optional<utils::time_point> sentAt; ///< of the latest request
        bool isAnswered = true;
        unsigned unanswered = 0; ///< in a row
        double staticTokens = 0;
        std::optional<utils::time_point> staticSince;
        utils::time_point staticRefilledAt {};
    };

    static void dropExpired(team_state& state, utils::time_point now);
    static bool usesStaticShare(const team_state& state, utils::time_point now);
    static bool holdsQuota(const team_state& state);
    static void scheduleStaticShare(team_state& state, utils::time_point now);
    static limit_answer admitFromLease(team_state& state, std::uint64_t hash, utils::time_point now);
    limit_answer admitFromStaticShare(
        const utils::team_id& team, team_state& state, std::uint64_t hash, utils::time_point now) const;
    utils::duration answerTimeout(const team_state& state) const;
    bool shouldSendRequest(const team_state& state, utils::time_point now) const;
    bool isSlotUpdateDue(const team_state& state, utils::time_point now) const;
    std::uint32_t wantedSlots(const team_state& state) const;
    bool isIdle(const team_state& state, utils::time_point now) const;
    void measureDemand(team_state& state, utils::time_point now) const;
    std::uint32_t neededRequests(const team_state& state) const;
    quota_lease_request makeRequest(const utils::team_id& team, team_state& state, utils::time_point now);

    utils::node_id m_self;
    team_limiter_limits m_limits;
    std::uint64_t m_nextSequence;
    std::vector<utils::node_id> m_members;
    std::map<utils::team_id, fleet_limit> m_fleetLimits; ///< of the limited teams
    std::map<utils::team_id, team_state> m_active; ///< teams with traffic lately: few on each node
};

} // namespace decisions

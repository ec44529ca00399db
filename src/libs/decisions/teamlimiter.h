#pragma once

#include "quotalease.h"
#include "refusal.h"
#include "staticshare.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace decisions {

/// Settings of the borrower's side of team limits.
struct team_limiter_limits {
    /// Interval of requests to the home, per team; bounds the control traffic.
    utils::duration requestInterval = std::chrono::milliseconds(500);
    /// Time after which an unanswered request to the home is repeated; doubles with each attempt.
    utils::duration initialAnswerTimeout = std::chrono::milliseconds(200);
    unsigned maxUnanswered = 3; ///< requests in a row, after which the home counts as out of reach
    utils::duration horizon = std::chrono::seconds(2); ///< a lease should cover the demand of this time
    /// Free slots are returned after this time without traffic.
    utils::duration returnAfter = std::chrono::seconds(1);
    /// A team's state is dropped after this time without traffic.
    utils::duration forgetAfter = std::chrono::seconds(30);
};

/// The limiter's decision on a request.
enum class limit_verdict {
    Admitted,
    AwaitGrant, ///< call admit again with the same hash when a grant has arrived, or after a delay
    Refused
};

/// A verdict, with the refusal if refused.
struct limit_answer {
    limit_verdict verdict = limit_verdict::Admitted;
    refusal reason;
};

/// The node's side of team limits: admits requests from leases that the team's home grants.
///
/// Load: a team's surge. Each node requests the amount that its own traffic of the last second needs, and
/// returns unused amounts with its next request. The first request of a team at a node waits one round trip
/// to the home. While the home has nothing to lend, callers are refused locally without another request to
/// the home. When the home is out of reach, the node uses its static share.
///
/// Bounds (R requests per second, C concurrent requests, E expiry of leases, n nodes):
///  - All nodes reach the home: at most R * (W + E) + B requests in any time W, where B is the size of the
///    lender's bucket; at most C concurrent requests.
///  - k nodes have lost the home: they use their static shares after E. Once the home's membership has
///    detected this, the home reserves these shares and the sum keeps to R and C; until then it is at most
///    R * (1 + k/n) and C * (1 + k/n).
///  - No node reaches the home: the sum of the static shares, R and C, and in addition the requests that
///    still run from expired leases, which are never cut off: at most 2C until these have ended.
/// Not thread safe.
class team_limiter {
public:
    team_limiter(
        utils::node_id self, const team_limiter_limits& limits = {}, std::uint64_t firstSequence = 1);

    /// Sets a team's limit. A team without a limit is always admitted.
    void setLimit(const utils::team_id& team, const fleet_limit& limit);
    /// Sets the nodes that share the limits.
    void setMembers(const std::vector<utils::node_id>& members);

    /// Decides on one request of the team. Each admitted request needs finished() at its end. `hash`
    /// identifies the request: it spreads Retry-After, and a request that asks again while it waits is
    /// counted once.
    limit_answer admit(const utils::team_id& team, std::uint64_t hash, utils::time_point now);
    /// An admitted request has ended.
    void finished(const utils::team_id& team, utils::time_point now);
    /// Returns the requests to send to the teams' homes now. Call after admit and about every 100 ms.
    std::vector<quota_lease_request> poll(utils::time_point now);
    /// Applies the answer of a home.
    void apply(const quota_lease_grant& grant, utils::time_point now);
    /// The team's home has moved. The next poll sends a request to the new home.
    void homeMoved(const utils::team_id& team);

    unsigned running(const utils::team_id& team) const;
    /// Number of teams that use memory and messages now.
    std::size_t activeCount() const { return m_active.size(); }

private:
    /// State of a team with traffic here.
    struct team_state {
        fleet_limit limit;
        std::uint32_t tokens = 0;
        std::uint32_t concurrent = 0; ///< slots held
        std::uint32_t running = 0;
        std::set<std::uint64_t> waiting; ///< hashes of requests with verdict AwaitGrant, each counted once
        std::uint32_t waitingAtSend = 0;
        double demand = 0; ///< requests per second, moving average
        std::uint32_t arrivals = 0; ///< admitted or refused since the last request was sent to the home
        utils::time_point demandAt {};
        utils::time_point tokensExpireAt {};
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
    std::map<utils::team_id, team_state> m_active; ///< teams with recent traffic; few on each node
};

} // namespace decisions

#pragma once

#include "quotalease.h"
#include "staticshare.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace decisions {

/// Settings of the lender.
struct lender_limits {
    utils::duration expiry = std::chrono::seconds(4); ///< of unused requests
    utils::duration slotExpiry = std::chrono::seconds(30); ///< slots in use are renewed at half of this time
    /// A node that has just become home lends nothing until the leases of its predecessor, and the time for
    /// which the predecessor may consider itself current, must have ended.
    utils::duration takeoverDelay = std::chrono::seconds(33);
    utils::duration burst = std::chrono::seconds(1); ///< the token bucket holds the rate of this time
    /// Smallest bucket, in requests: random arrivals at half of a small rate often come in pairs.
    double minBucketSize = 5;
    /// Requests may still run after the lease of an unreachable borrower has expired. Its slots are lent
    /// again after this time.
    utils::duration maxRunTime = std::chrono::minutes(5);
    /// Largest fraction of the remaining amount in one lease, so that some is left for the next borrower.
    double leaseShare = 0.5;
};

/// The home's side of team limits: lends parts of the requests per second and of the concurrent requests to
/// the nodes, as leases.
///
/// Load: a team's surge over all nodes, each of which sees only a small part. Without it, each node would
/// enforce either 1/n of the limit, which refuses a team whose traffic is not spread evenly, or the whole
/// limit, which admits n times the limit.
///
/// Bounds: while every borrower reaches the home, the requests admitted during any time W are at most
/// rate * (W + expiry) + max(rate * burst, minBucketSize), and the concurrent requests at most the limit.
/// See team_limiter for network partitions. A lost grant is credited back exactly, by the sequence numbers.
/// Not thread safe.
class quota_lender {
public:
    explicit quota_lender(const lender_limits& limits = {});

    /// Sets the team's limit. A lower limit applies to what is lent from now on.
    void setLimit(const utils::team_id& team, const fleet_limit& limit, utils::time_point now);
    /// This node has become the team's home. `isFirst`: the fleet has just started, so nothing can be lent
    /// out.
    void becomeHome(const utils::team_id& team, utils::time_point now, bool isFirst = false);
    /// This node is no longer the team's home, or no longer current: it stops lending.
    void ceaseHome(const utils::team_id& team);
    /// Sets the nodes of the fleet and those of them that the membership cannot reach. The latter use their
    /// static shares, which are reserved here.
    void setMembers(const std::vector<utils::node_id>& members, const std::set<utils::node_id>& unreachable);
    /// Answers a borrower. An outdated or duplicate request gets a grant that the borrower ignores.
    quota_lease_grant answer(const quota_lease_request& request, utils::time_point now);
    /// The node has been gone for longer than a node stays current: its concurrent requests have ended.
    void borrowerGone(const utils::node_id& node);
    /// Removes borrowers whose leases and requests have ended. Call about every minute.
    void expire(utils::time_point now);

    /// Number of concurrent requests lent out now, for metrics and tests.
    unsigned lentConcurrent(const utils::team_id& team, utils::time_point now) const;

private:
    struct borrower {
        std::uint64_t sequence = 0;
        std::uint32_t lastRequests = 0; ///< requests of the last grant, which may not have been applied
        std::uint32_t concurrent = 0;
        utils::time_point heardAt;
    };
    struct team_state {
        fleet_limit limit;
        std::optional<utils::time_point> homeSince;
        utils::duration takeoverDelay {};
        double tokens = 0;
        utils::time_point refilledAt;
        std::map<utils::node_id, borrower> borrowers;
    };

    bool isReady(const team_state& state, utils::time_point now) const;
    double capacityOf(const team_state& state) const;
    static_share reservedShare(const utils::team_id& team, const fleet_limit& limit) const;
    void refill(const utils::team_id& team, team_state& state, utils::time_point now) const;
    void creditUnusedGrant(
        team_state& state, borrower& from, const quota_lease_request& request, utils::time_point now) const;
    unsigned lentOut(const team_state& state, utils::time_point now) const;
    std::uint32_t lendRequests(team_state& state, std::uint32_t wanted) const;
    std::uint32_t lendConcurrent(const utils::team_id& team, const team_state& state,
        const quota_lease_request& request, utils::time_point now) const;
    static utils::duration retryAfter(const team_state& state);

    lender_limits m_limits;
    std::map<utils::team_id, team_state> m_teams;
    std::vector<utils::node_id> m_members;
    std::set<utils::node_id> m_unreachable;
};

} // namespace decisions

#pragma once

#include "quotalease.h"
#include "staticshare.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace decisions {

/// Settings of lending.
struct lender_limits {
    utils::duration expiry = std::chrono::seconds(4); ///< unused requests lapse
    utils::duration slotExpiry = std::chrono::seconds(30); ///< slots in use are renewed at half of it
    /// A lender that has just become home lends nothing for as long as the lumps of its predecessor and the
    /// predecessor's time as a current node can last.
    utils::duration takeoverDelay = std::chrono::seconds(33);
    utils::duration burst = std::chrono::seconds(1); ///< the bucket holds this much of the rate
    double minBucketSize = 5; ///< but so many at least: random arrivals at half of a small rate come in twos
    /// Running requests outlive a lump whose borrower has fallen silent; its slots are lent again after this.
    utils::duration maxRunTime = std::chrono::minutes(5);
    double leaseShare = 0.5; ///< a lump is at most this part of what is left: the next borrower finds some
};

/// The home's side of team limits: lends out requests per second and concurrent requests in lumps.
///
/// Load: a team's surge over all nodes, of which each sees a sliver. Without it each node would enforce
/// 1/n of the limit, which turns away a team whose traffic is not spread evenly, or the whole limit, which
/// lets n times the limit through.
///
/// Bounds. While every borrower reaches the home: requests let in during any time W are at most
/// rate * (W + expiry) + max(rate * burst, minBucketSize), and concurrent ones at most the limit. See
/// team_limiter for splits. A grant that was lost is credited back exactly, by the sequence numbers. Not
/// thread safe.
class quota_lender {
public:
    explicit quota_lender(const lender_limits& limits = {});

    /// Sets the team's limit. A lowered one takes effect on what is lent from now on.
    void setLimit(const utils::team_id& team, const fleet_limit& limit, utils::time_point now);
    /// This node has become the team's home. `isFirst`: the fleet has just started, nothing can be lent out.
    void becomeHome(const utils::team_id& team, utils::time_point now, bool isFirst = false);
    /// This node is no longer the team's home, or no longer current: it lends nothing more.
    void ceaseHome(const utils::team_id& team);
    /// The nodes of the fleet and those of them that the membership cannot reach: these use their static
    /// share, which is set aside here.
    void setMembers(const std::vector<utils::node_id>& members, const std::set<utils::node_id>& unreachable);
    /// Answers a borrower. An old or repeated request gets a grant that the borrower ignores.
    quota_lease_grant answer(const quota_lease_request& request, utils::time_point now);
    /// Surely gone for longer than a node stays current: its concurrent requests have ended.
    void borrowerGone(const utils::node_id& node);
    /// Forgets borrowers whose lumps and requests have ended. Call every minute or so.
    void expire(utils::time_point now);

    /// Concurrent requests lent out now, for metrics and tests.
    unsigned lentConcurrent(const utils::team_id& team, utils::time_point now) const;

private:
    struct borrower {
        std::uint64_t sequence = 0;
        std::uint32_t lastRequests = 0; ///< of the last grant, not yet known to be applied
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

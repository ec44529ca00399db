#pragma once

#include "loadbound.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_set>
#include <vector>

namespace decisions {

/// State of a node as home of one backend server.
enum class home_state {
    NotHome,
    AwaitingHandover, ///< it has claimed the server; an earlier home may still dispatch
    Holding, ///< counts and dispatches
    Released ///< handed over; its last requests are still running
};

/// Answer of a home to an entry node's request.
enum class admit_verdict {
    Admitted,
    OverBound, ///< above c x mean: the entry node continues with the next server of the ranking
    SlotsFull, ///< no slot free, or this partition's share of the slots is used up
    NotHolding ///< not home, or not yet: the entry node continues, or asks the home that its view names
};

/// Answer to a claim.
enum class claim_verdict {
    Released, ///< it held the server and has released it; `inFlight` of its requests still run
    NeverHeld,
    HeldElsewhere, ///< it handed over to `holder` before
    Keeps ///< it ranks before the claimant, whose view lacks it: the claimant has to wait
};

struct claim_answer {
    claim_verdict verdict = claim_verdict::NeverHeld;
    unsigned inFlight = 0;
    utils::node_id holder;
};

/// A node's view of the fleet at the time of a dispatch.
struct fleet_state {
    mean_load mean;
    unsigned nodesHeard = 1; ///< k: listed VMs from which a heartbeat arrived within T, including itself
    unsigned nodesListed = 1; ///< n
    bool isCurrent = true; ///< false after a pause or partition, until heartbeats arrive again
};

/// Load that a backend server reports; it arrives with a lag.
struct server_report {
    unsigned inFlight = 0;
    utils::time_point sampledAt; ///< by the home's clock
};

struct home_settings {
    /// T: a home that the others cannot hear stops dispatching before this time has passed. Must not be below
    /// the time after which a node's view counts as stale (isCurrent).
    utils::duration deadAfter = std::chrono::seconds(3);
    /// Time for which a new home counts every request in the server's reports, without reportTolerance: more
    /// than twice their usual lag.
    utils::duration settleFor = std::chrono::seconds(5);
    /// A report is stale when no newer one has arrived for this time.
    utils::duration reportLifetime = std::chrono::seconds(10);
    /// Difference in requests between report and count that is explained by messages in transit.
    unsigned reportTolerance = 2;
};

/// Exact count of one backend server's in-flight requests, kept by its home node; admits requests by it and
/// hands it over to a new home.
///
/// Load: many entry nodes that each see a small part of the requests. Without one exact count, nodes with
/// lagging load data send their requests to the same idle server (thundering herd); with a fixed quota per
/// node, a server of 32 slots would give each of 400 nodes less than one slot.
///
/// At most one node holds a server: a claimant dispatches only when the holder has released the server, or
/// when every node that may hold it has been dead for longer than T, by which time such a node has stopped
/// dispatching by itself (isCurrent). The bound compares the home's count with the mean of such counts.
///
/// A network partition that hears k of n listed VMs uses k/n of the slots, so that disjoint partitions
/// together stay within the server's slots. The bound c x mean needs no such share: if each partition keeps
/// its load within c x its own mean, the sum is within c x the overall mean too. Not thread safe.
class home_ledger {
public:
    home_ledger(utils::node_id self, unsigned slots, home_settings settings = {});

    /// Begins a claim, when the node's view names it home. Send claims to `predecessors` (the first ones of
    /// rankHomes over all listed VMs, including dead ones, and the nodes that digests name as holder) and
    /// repeat them until isAwaiting() is false. No effect while holding.
    void claim(std::span<const utils::node_id> predecessors, utils::time_point now);
    /// Withdraws the claim, when the node's view names another home again. If the claim were kept, its T
    /// would elapse while that home is alive.
    void withdrawClaim();
    /// Returns the nodes that have not answered the claim yet; send it to them again.
    std::vector<utils::node_id> claimTargets() const;
    /// Handles the claim of another node; `claimantOutranksSelf` by decisions::outranks. Idempotent, so that
    /// a repeated claim makes up for a lost answer.
    claim_answer onClaim(const utils::node_id& from, bool claimantOutranksSelf);
    /// Handles an answer to this node's claim. Late and repeated answers are harmless.
    void onClaimAnswer(const utils::node_id& from, const claim_answer& answer, utils::time_point now);
    /// Membership event: the node is dead and was last heard at `deadSince`. Call it again when that time
    /// changes.
    void onNodeDead(const utils::node_id& node, utils::time_point deadSince);
    /// Membership event: the node is alive.
    void onNodeAlive(const utils::node_id& node);
    /// Handles a digest that names `node` as holder of the server. Finds holders that rank too low to be
    /// among the predecessors, and resolves the double holding that a mass replacement of VMs could leave.
    void onHolderAnnounced(const utils::node_id& node, bool outranksSelf);
    /// Handles the old home's count of its requests that are still in flight.
    void onRemainingInFlight(unsigned inFlight);
    /// Releases the server when this node's view was stale for longer than T: another node may hold it now,
    /// so this node has to claim it again.
    void onViewStale();
    /// Handles the server's own report, also while awaiting a handover: a claimant that no holder answers
    /// inherits the count in the report, and does not dispatch before it has one (unless the server has not
    /// reported for reportLifetime).
    void onServerReport(const server_report& report, utils::time_point now);
    /// Sets slots and ramp-up, when the document changed the slots or the ramp-up has grown (rampUpWeight).
    void setCapacity(unsigned slots, double rampUp);

    /// Returns whether a request would be admitted now. `holdsCache`: the server holds the chat's prefix.
    admit_verdict check(
        bool holdsCache, const load_bound& bound, const fleet_state& fleet, utils::time_point now);
    /// As check(), and counts an admitted request under `ticket`. Call it immediately before the request is
    /// sent.
    admit_verdict admit(std::uint64_t ticket, bool holdsCache, const load_bound& bound,
        const fleet_state& fleet, utils::time_point now);
    /// Removes a request that ended, with or without success. Ignores unknown and repeated tickets.
    void finish(std::uint64_t ticket, utils::time_point now);

    /// Returns the load that the bound applies to: own requests plus those inherited from the old home or, if
    /// larger, those that only the server's reports show.
    unsigned load(utils::time_point now) const;
    unsigned ownInFlight() const { return static_cast<unsigned>(m_tickets.size()); }
    unsigned slots() const { return m_slots; }
    /// Slots x ramp-up: the server's weight in the bound and the mean.
    double weight() const { return m_slots * m_rampUp; }
    home_state state() const { return m_state; }
    bool isAwaiting() const { return m_state == home_state::AwaitingHandover; }

private:
    struct predecessor {
        bool isResolved = false;
        std::optional<utils::time_point> deadSince;
    };

    struct count_sample {
        utils::time_point at;
        unsigned inFlight;
    };

    void resolve(utils::time_point now);
    void hold(utils::time_point now);
    void recordCount(utils::time_point now);
    unsigned lowestCountNear(utils::time_point when) const;
    unsigned slotShare(const fleet_state& fleet) const;

    utils::node_id m_self;
    unsigned m_slots;
    double m_rampUp = 1;
    home_settings m_settings;
    home_state m_state = home_state::NotHome;
    std::map<utils::node_id, predecessor> m_predecessors;
    utils::node_id m_successor;
    utils::time_point m_claimedAt;
    utils::time_point m_heldSince;
    std::unordered_set<std::uint64_t> m_tickets;
    std::deque<count_sample> m_history;
    unsigned m_inherited = 0; ///< requests of the old home that are still in flight
    unsigned m_unattributed = 0; ///< requests in the server's report that this home did not dispatch
    utils::time_point m_reportedAt;
};

} // namespace decisions

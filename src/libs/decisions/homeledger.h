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

/// Where a node stands as home of one backend server.
enum class home_state {
    NotHome,
    AwaitingHandover, ///< claimed; an earlier home may still dispatch
    Holding, ///< counts and dispatches
    Released ///< handed over; its last requests finish
};

/// Answer of a home to a request that an entry node brings.
enum class admit_verdict {
    Admitted,
    OverBound, ///< above c x mean: the entry node goes on down the ranking
    SlotsFull, ///< no slot free, or the island's share of them is used up
    NotHolding ///< not home, or not yet: the entry node goes on, or asks the home named by its view
};

/// Answer to a claim.
enum class claim_verdict {
    Released, ///< it held, holds no longer, and so many requests are still in flight
    NeverHeld,
    HeldElsewhere, ///< it handed over to `holder` before
    Keeps ///< it ranks before the claimant, who does not see it: the claimant has to wait
};

struct claim_answer {
    claim_verdict verdict = claim_verdict::NeverHeld;
    unsigned inFlight = 0;
    utils::node_id holder;
};

/// What a node sees of its fleet at the moment of a dispatch.
struct fleet_state {
    mean_load mean;
    unsigned nodesHeard = 1; ///< k: listed VMs heard within T, itself included
    unsigned nodesListed = 1; ///< n
    bool isCurrent = true; ///< false after a pause or a cut, until the node has heard again
};

/// Load as a backend server reports it, with a lag.
struct server_report {
    unsigned inFlight = 0;
    utils::time_point sampledAt; ///< by the home's clock
};

struct home_settings {
    /// T: a home that nobody hears stops dispatching before so long. Must not be below the fleet's currency
    /// time.
    utils::duration deadAfter = std::chrono::seconds(3);
    /// A new home counts the server's reports to the last request for so long: twice their usual lag and
    /// more.
    utils::duration settleFor = std::chrono::seconds(5);
    /// Reports without a successor for so long say nothing any more.
    utils::duration reportLifetime = std::chrono::seconds(10);
    /// Requests by which report and count differ for no other reason than bytes on their way.
    unsigned reportTolerance = 2;
};

/// The count of one backend server at its home node: admits, counts, hands over.
///
/// Answers many entry nodes that each see a sliver: without one exact count, nodes that read lagging loads
/// send their requests to the same idle server (a herd), and with a quota a node a server of 32 slots would
/// give each of 400 nodes less than one. At most one node holds a server: a claimant dispatches only when the
/// holder has released it or every node that may hold it has been dead for longer than T, by when such a node
/// has stopped by itself (isCurrent). The bound compares the home's count with the mean of such counts. An
/// island that hears k of n listed VMs uses k/n of the slots, so that disjoint islands together stay within
/// the server's slots; c x mean needs no such share, since for islands that each hold own <= c x own mean the
/// sums hold it too. Not thread safe.
class home_ledger {
public:
    home_ledger(utils::node_id self, unsigned slots, home_settings settings = {});

    /// The node's view names it home. Claims are to be sent to `predecessors` (the first ones, over all
    /// listed VMs, dead ones too, of rankHomes, and whoever the digests name as holder) and repeated until
    /// isAwaiting() is false. No effect when it holds.
    void claim(std::span<const utils::node_id> predecessors, utils::time_point now);
    /// The node's view names another home again. A claim kept for later would have its T run while that home
    /// lives.
    void withdrawClaim();
    /// Nodes that still have to answer the claim: send it to them again.
    std::vector<utils::node_id> claimTargets() const;
    /// Another node claims; `claimantOutranksSelf` by decisions::outranks. Idempotent, so a lost answer is
    /// repaired by the next claim.
    claim_answer onClaim(const utils::node_id& from, bool claimantOutranksSelf);
    /// An answer to the own claim. Late and repeated answers are harmless.
    void onClaimAnswer(const utils::node_id& from, const claim_answer& answer, utils::time_point now);
    /// Membership: that node has been dead since then, i.e. was last heard then. Tell it again when that
    /// changes.
    void onNodeDead(const utils::node_id& node, utils::time_point deadSince);
    /// Membership: that node lives after all.
    void onNodeAlive(const utils::node_id& node);
    /// A digest names `node` as holder of the server. Finds holders that rank too low to be among the
    /// predecessors, and ends two holders that a mass replacement of VMs could leave.
    void onHolderAnnounced(const utils::node_id& node, bool outranksSelf);
    /// The old home tells how many of its requests are still in flight.
    void onRemainingInFlight(unsigned inFlight);
    /// The node lost its currency for longer than T: another may hold the server now, so it claims again.
    void onViewStale();
    /// The server's own report; also while awaiting: a claimant that no holder answers takes over what it
    /// shows, and does not dispatch before it has one (unless the server has not reported for
    /// reportLifetime).
    void onServerReport(const server_report& report, utils::time_point now);
    /// The document changed the server's slots, or its ramp-up moved on (rampUpWeight).
    void setCapacity(unsigned slots, double rampUp);

    /// Whether a request would be admitted now. `holdsCache`: the server holds the chat's prefix.
    admit_verdict check(
        bool holdsCache, const load_bound& bound, const fleet_state& fleet, utils::time_point now);
    /// As check, and counts the request under `ticket`. Call it immediately before the bytes go out.
    admit_verdict admit(std::uint64_t ticket, bool holdsCache, const load_bound& bound,
        const fleet_state& fleet, utils::time_point now);
    /// The request ended, whatever way. Unknown and repeated tickets are ignored.
    void finish(std::uint64_t ticket, utils::time_point now);

    /// What the bound counts: own requests, those of the old home, and those that only the server's reports
    /// show.
    unsigned load(utils::time_point now) const;
    unsigned ownInFlight() const { return static_cast<unsigned>(m_tickets.size()); }
    unsigned slots() const { return m_slots; }
    /// Slots x ramp-up: what bound and mean weigh the server by.
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
    unsigned m_inherited = 0; ///< of the old home, still in flight
    unsigned m_unattributed = 0; ///< on the server by its report, but dispatched by nobody known
    utils::time_point m_reportedAt;
};

} // namespace decisions

#pragma once

#include "capevidence.h"
#include "homemap.h"

#include "wire/datagram.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <set>
#include <vector>

namespace fleet {

/// A backend server that is assigned a home node.
struct homed_server {
    utils::server_id id;
    utils::data_centre_id dataCentre;
};

/// A node that is not a candidate in this node's view, but may still be home in its own view.
struct former_candidate {
    home_candidate node;
    bool isLive = false; ///< leaving; if false: dead, or listed but never heard
    utils::time_point silentSince; ///< when it was first suspected or listed
};

/// When a candidate became live, or live again, in this node's view.
struct arrival {
    home_candidate node;
    utils::time_point at;
};

/// All nodes that may be a home in the view of any node.
struct handover_view {
    home_map homes;
    std::vector<arrival> arrivals; ///< of all candidates except this node
    std::vector<former_candidate> formers; ///< excludes nodes that announced that they left
};

struct home_handover_options {
    utils::duration repeatEvery = std::chrono::milliseconds(200); ///< retry interval of unanswered claims
    utils::duration retryRefusedAfter = std::chrono::milliseconds(500); ///< delay after a refused claim
    unsigned asked = 4; ///< claims are sent to this many top-ranked live, former and newly live nodes, each
    unsigned askAllUpTo = 15; ///< up to this fleet size, claims are sent to all nodes
    bool claims = true; ///< disabled in tests that show why claims are needed
    bool heedsOthers = true; ///< disabled in tests that show why others' evidence defers a takeover
    bool claimsGrowth = true; ///< disabled in tests that show why a larger share needs another claim
};

/// A handover item to send to a node.
struct outgoing_handover {
    utils::node_id to;
    wire::handover_item item;
};

/// Role of this node for a server.
enum class home_state {
    Idle, ///< not its home, or handed it over
    Claiming, ///< home in this node's view; admits nothing until all possible homes have answered
    Active ///< admits requests
};

/// Decides for which servers this node may admit requests, and with which share of each cap. A new home sends
/// a claim to every node that may be home in another view. Each node either grants the claim and stops
/// admitting, or refuses it because it is home and ranks higher. For a dead node the claim waits until T has
/// passed and that node's own evidence has expired; the server's own load report then accounts for the
/// requests that the dead node had in flight.
///
/// A claim covers the witnesses heard when it was granted; each witness stands for its part of the cap. When
/// a witness is lost, its part is lost too. A witness that is heard again, after a pause or a healed network
/// partition, contributes its part only after another claim. The claims of two homes are therefore disjoint,
/// and their shares of a cap add up to at most 1 even if their views differ.
///
/// Without the handover, two nodes with different views each fill the same engine up to its cap, and callers
/// see one slow engine while others are idle. The cost: servers of a node that died without leaving get no
/// new requests until T has passed.
///
/// Sans-IO; not thread safe.
class home_handover {
public:
    home_handover(home_candidate self, home_handover_options options);

    /// Sets the servers that need homes; servers no longer listed are dropped.
    void setServers(const std::vector<homed_server>& servers, utils::time_point now);
    /// Updates the view after a change of the members.
    void setView(handover_view view, utils::time_point now);
    /// Updates the evidence. Must be called first at each event, so that no gap in the evidence is missed.
    /// `silence` is T plus a margin: after that time without contact a node's share has expired.
    void observe(cap_evidence evidence, utils::duration silence, utils::time_point now);
    /// Handles an item received from a node.
    void onItem(const home_candidate& from, const wire::handover_item& item, utils::time_point now);
    /// Sets the number of requests that this node has in flight at a server.
    void setInFlight(const utils::server_id& server, unsigned count, utils::time_point now);
    /// Repeats claims and drain notices that are due, and applies timeouts.
    void onTick(utils::time_point now);
    /// Returns the items to send and clears them.
    std::vector<outgoing_handover> takeItems();

    home_state state(const utils::server_id& server) const;
    /// Returns when the current state was entered.
    utils::time_point stateSince(const utils::server_id& server) const;
    /// Returns the share of the server's cap that this node may use with `evidence`; 0 unless Active.
    double share(const utils::server_id& server, const cap_evidence& evidence) const;
    /// Returns the requests of earlier homes still in flight at the server; they count against the cap.
    unsigned inherited(const utils::server_id& server) const;
    /// Returns whether the server's own load report must be counted, since requests of an earlier home may
    /// still be in flight there.
    bool countsServerReport(const utils::server_id& server, utils::time_point now) const;
    /// Returns whether the handover is complete: no server is Active and no request is in flight.
    bool isHandedOver() const;

private:
    struct asked_node {
        utils::time_point askedAt = utils::time_point::min();
        bool hasAnswered = false;
    };
    struct server_entry {
        utils::data_centre_id dataCentre;
        bool isHome = false; ///< in this node's view
        utils::time_point homeLostAt;
        home_state state = home_state::Idle;
        utils::time_point stateSince;
        std::vector<wire::node_tag> claimed; ///< witnesses whose parts of the cap this node holds
        unsigned inFlight = 0;
        bool isRoundOpen = false;
        std::uint64_t round = 0;
        utils::time_point lastRoundEndedAt = utils::time_point::min();
        std::map<utils::node_id, asked_node> asked;
        std::map<utils::node_id, unsigned> inherited;
        std::map<utils::node_id, unsigned> successors; ///< value: remaining repeats of a zero inFlight
        utils::time_point drainSentAt;
        utils::time_point reportUntil = utils::time_point::min();
        utils::time_point nextRoundAt = utils::time_point::min(); ///< after a refused or granted claim
    };

    void findHome(const utils::server_id& server, server_entry& e, utils::time_point now) const;
    void reviewNotHome(server_entry& e, utils::time_point now);
    bool hasExpiredBySilence(const utils::node_id& node, utils::time_point now) const;
    void openRound(const utils::server_id& server, server_entry& e, utils::time_point now);
    void review(const utils::server_id& server, server_entry& e, utils::time_point now);
    void addNodesToAsk(const utils::server_id& server, server_entry& e) const;
    void ask(const utils::server_id& server, server_entry& e, utils::time_point now);
    void notifySuccessors(const utils::server_id& server, server_entry& e, utils::time_point now);
    void tryActivate(server_entry& e, utils::time_point now);
    void setState(server_entry& e, home_state state, utils::time_point now);
    void onClaim(const home_candidate& from, const utils::server_id& server, server_entry& e,
        const wire::handover_item& item, utils::time_point now);
    void queueItem(const utils::node_id& to, wire::handover_kind kind, const utils::server_id& server,
        std::uint64_t round, unsigned inFlight);

    home_candidate m_self;
    home_handover_options m_options;
    handover_view m_view;
    std::map<utils::server_id, server_entry> m_entries;
    cap_evidence m_evidence;
    utils::duration m_silence {};
    utils::time_point m_evidenceGainedAt = utils::time_point::min(); ///< last time that a witness was added
    std::uint64_t m_round = 0;
    std::vector<outgoing_handover> m_items;
};

} // namespace fleet

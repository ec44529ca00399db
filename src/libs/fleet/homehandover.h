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

/// A backend server whose requests have a home.
struct homed_server {
    utils::server_id id;
    utils::data_centre_id dataCentre;
};

/// A node that is no possible home in this node's view, but may still believe it is one.
struct former_candidate {
    home_candidate node;
    bool isLive = false; ///< it leaves; else it is dead, or was listed and never heard
    utils::time_point silentSince; ///< when it was first suspected or listed
};

/// When a node that may be home came to work, or back to it, in this node's view.
struct arrival {
    home_candidate node;
    utils::time_point at;
};

/// Everyone who may be the home of something in some node's view.
struct handover_view {
    home_map homes;
    std::vector<arrival> arrivals; ///< of all candidates but this node
    std::vector<former_candidate> formers; ///< without those that said that they left
};

struct home_handover_options {
    utils::duration repeatEvery = std::chrono::milliseconds(200); ///< claims without an answer
    utils::duration retryRefusedAfter = std::chrono::milliseconds(500);
    unsigned asked = 4; ///< first-ranked of the live, the former and the arrived nodes asked, each
    unsigned askAllUpTo = 15; ///< in a fleet of so many nodes all are asked
    bool claims = true; ///< off in tests that prove what the claims are for
    bool heedsOthers = true; ///< off in tests that prove why evidence of others defers a takeover
    bool claimsGrowth = true; ///< off in tests that prove why a grown share is claimed anew
};

/// A handover item on its way to a node.
struct outgoing_handover {
    utils::node_id to;
    wire::handover_item item;
};

/// How this node stands to a server.
enum class home_state {
    Idle, ///< not its home, or gave it away
    Claiming, ///< home in its view, but admits nothing before all who may be home have answered
    Active ///< admits
};

/// Which servers this node may admit for, and with which share of each cap. A new home asks everyone who
/// may be home in another view; each grants, and with that admits nothing more, or refuses because it is
/// home and ranks above. Who is dead is waited for until T has passed, when its own evidence has ended;
/// then the server's own report counts for what that node had in flight.
///
/// A claim covers the witnesses heard when it was granted: each stands for its part of the cap. A witness
/// that is lost takes its part along, and one that is heard anew, after a pause or a healed split, gives
/// its part only after another claim. So the claims of two homes are disjoint, and their shares of a cap
/// add up to one at most, whatever each of them sees.
///
/// Without it two nodes with different views fill the same engine, each up to the cap, and callers see
/// one engine that crawls while others idle. What it costs: the servers of a node that died without
/// leaving get nothing new until T has passed.
///
/// Sans-IO; not thread safe.
class home_handover {
public:
    home_handover(home_candidate self, home_handover_options options);

    /// The servers to have homes; those no longer named are given up.
    void setServers(const std::vector<homed_server>& servers, utils::time_point now);
    /// The members have changed.
    void setView(handover_view view, utils::time_point now);
    /// What the evidence allows now. To be called before anything else at each event, so that no gap in
    /// the evidence goes unnoticed. `silence` is T with a margin.
    void observe(cap_evidence evidence, utils::duration silence, utils::time_point now);
    /// An item came from a node.
    void onItem(const home_candidate& from, const wire::handover_item& item, utils::time_point now);
    /// How many requests this node has in flight at that server.
    void setInFlight(const utils::server_id& server, unsigned count, utils::time_point now);
    /// Does what is due.
    void onTick(utils::time_point now);
    /// The items to send, once.
    std::vector<outgoing_handover> takeItems();

    home_state state(const utils::server_id& server) const;
    /// Since when it has had that state.
    utils::time_point stateSince(const utils::server_id& server) const;
    /// Which part of the server's cap this node may use with that evidence, 0 unless Active.
    double share(const utils::server_id& server, const cap_evidence& evidence) const;
    /// Requests of earlier homes that still run there, to be counted against the cap.
    unsigned inherited(const utils::server_id& server) const;
    /// Whether an earlier home vanished so lately that the server's own report must be counted.
    bool countsServerReport(const utils::server_id& server, utils::time_point now) const;
    /// Whether nothing is left to hand over: no server is admitted for and nothing is in flight.
    bool isHandedOver() const;

private:
    struct asked_node {
        utils::time_point askedAt = utils::time_point::min();
        bool hasAnswered = false;
    };
    struct entry {
        utils::data_centre_id dataCentre;
        bool isHome = false; ///< in this node's view
        utils::time_point homeLostAt;
        home_state state = home_state::Idle;
        utils::time_point stateSince;
        std::vector<wire::node_tag> claimed; ///< witnesses whose part of the cap this node has
        unsigned inFlight = 0;
        bool isRoundOpen = false;
        std::uint64_t round = 0;
        utils::time_point settledAt = utils::time_point::min(); ///< end of the last round
        std::map<utils::node_id, asked_node> asked;
        std::map<utils::node_id, unsigned> inherited;
        std::map<utils::node_id, unsigned> heirs; ///< told of inFlight; value: repeats of the last zero
        utils::time_point drainToldAt;
        utils::time_point reportUntil = utils::time_point::min();
        utils::time_point notBefore = utils::time_point::min(); ///< next round after a refusal
    };

    void findHome(const utils::server_id& server, entry& e, utils::time_point now) const;
    void reviewNotHome(entry& e, utils::time_point now);
    bool maySettleBySilence(const utils::node_id& node, utils::time_point now) const;
    void openRound(const utils::server_id& server, entry& e, utils::time_point now);
    void review(const utils::server_id& server, entry& e, utils::time_point now);
    void addAsked(const utils::server_id& server, entry& e) const;
    void ask(const utils::server_id& server, entry& e, utils::time_point now);
    void tellHeirs(const utils::server_id& server, entry& e, utils::time_point now);
    void tryActivate(entry& e, utils::time_point now);
    void setState(entry& e, home_state state, utils::time_point now);
    void onClaim(const home_candidate& from, const utils::server_id& server, entry& e,
        const wire::handover_item& item, utils::time_point now);
    void reply(const utils::node_id& to, wire::handover_kind kind, const utils::server_id& server,
        std::uint64_t round, unsigned inFlight);

    home_candidate m_self;
    home_handover_options m_options;
    handover_view m_view;
    std::map<utils::server_id, entry> m_entries;
    cap_evidence m_evidence;
    utils::duration m_silence {};
    utils::time_point m_grownAt = utils::time_point::min(); ///< when a witness was last heard anew
    std::uint64_t m_round = 0;
    std::vector<outgoing_handover> m_items;
};

} // namespace fleet

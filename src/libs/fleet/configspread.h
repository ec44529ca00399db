#pragma once

#include "member.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace fleet {

/// Fetch the document of at least `revision` from a node that has it in force.
struct fetch_from_peer {
    utils::node_id node;
    utils::config_revision revision = 0;
};
/// Read the document from the platform.
struct read_document {
    utils::config_revision revision = 0;
};
/// Keep a watch on the platform's head from now on.
struct watch_head { };
/// Give the watch up.
struct unwatch_head { };
/// Read the head once, for currency.
struct read_head { };

using spread_action = std::variant<fetch_from_peer, read_document, watch_head, unwatch_head, read_head>;

struct config_spread_options {
    unsigned watchersPerDataCentre = 2; ///< two, so that one may fail without a gap
    unsigned fanout = 3; ///< nodes told at once of a revision that came in force
    utils::duration fetchTime = std::chrono::milliseconds(300); ///< then another peer is asked
    utils::duration platformAfter = std::chrono::seconds(2); ///< then the platform is asked
    utils::duration headReadEvery = std::chrono::seconds(1); ///< while not current by majority
    bool refusesEarlier = true; ///< off in tests that prove what the check is for
};

/// What spreading needs to know of the others.
struct spread_peer {
    utils::node_id id;
    utils::data_centre_id dataCentre;
};

/// How an accepted configuration reaches every node: a few watchers per data centre watch the platform's
/// head, everyone who has a new revision in force tells a few others at once, probes tell the rest, and
/// documents are fetched from peers. Platform calls depend on the number of data centres alone. Answers
/// thousands of changes a day at hundreds of nodes; a watch per node would be 400 calls that wait.
/// Sans-IO; not thread safe.
class config_spread {
public:
    config_spread(spread_peer self, config_spread_options options, std::uint64_t seed);

    /// The live members that stay, without this node.
    void setPeers(std::vector<spread_peer> peers);
    /// A peer knows of a revision, and has one in force.
    void onPeer(const utils::node_id& peer, utils::config_revision known, utils::config_revision inForce,
        utils::time_point now);
    /// The head was read or watched at that revision.
    void onHead(utils::config_revision revision, utils::time_point now);
    /// Whether a fetched document may be put in force: never one before that in force.
    bool mayAdopt(utils::config_revision revision) const;
    /// A document is in force here. The peers to tell at once.
    std::vector<utils::node_id> onInForce(utils::config_revision revision, utils::time_point now);
    /// A fetch or read of the document failed.
    void onFetchFailed(const utils::node_id& peer, utils::time_point now);
    /// Does what is due.
    void onTick(bool hasMajority, utils::time_point now);
    /// The actions to carry out, once.
    std::vector<spread_action> takeActions();

    utils::config_revision known() const { return m_known; }
    utils::config_revision inForce() const { return m_inForce; }
    bool isWatcher() const { return m_isWatcher; }

private:
    bool ranksAsWatcher() const;
    void updateWatch();
    void fetch(utils::time_point now);
    void know(utils::config_revision revision, utils::time_point now);

    spread_peer m_self;
    config_spread_options m_options;
    std::mt19937_64 m_random;
    std::vector<spread_peer> m_peers;
    std::set<utils::node_id> m_holders; ///< peers with the known revision in force
    utils::config_revision m_known = 0;
    utils::config_revision m_inForce = 0;
    utils::time_point m_fetchUntil;
    utils::time_point m_platformAt;
    utils::time_point m_nextHeadRead;
    bool m_isWatcher = false;
    bool m_knowsFromHead = false;
    std::vector<spread_action> m_actions;
};

} // namespace fleet

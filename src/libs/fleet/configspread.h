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

/// Action: fetch the document, at `revision` or later, from a node that has it in force.
struct fetch_from_peer {
    utils::node_id node;
    utils::config_revision revision = 0;
};
/// Action: read the document from the platform.
struct read_document {
    utils::config_revision revision = 0;
};
/// Action: start watching the platform's head revision.
struct watch_head { };
/// Action: stop watching the head revision.
struct unwatch_head { };
/// Action: read the head revision once, to become current without a majority.
struct read_head { };

using spread_action = std::variant<fetch_from_peer, read_document, watch_head, unwatch_head, read_head>;

struct config_spread_options {
    unsigned watchersPerDataCentre = 2; ///< with two, one can fail without interrupting the watch
    unsigned fanout = 3; ///< peers notified immediately of a revision put in force
    utils::duration fetchTime = std::chrono::milliseconds(300); ///< timeout before the next peer is tried
    utils::duration platformAfter = std::chrono::seconds(2); ///< jittered delay before asking the platform
    utils::duration headReadEvery = std::chrono::seconds(1); ///< jittered, while there is no majority
    bool refusesEarlier = true; ///< disabled in tests that show why older revisions are rejected
};

/// A node as seen by config_spread.
struct spread_peer {
    utils::node_id id;
    utils::data_centre_id dataCentre;
};

/// Distributes an accepted configuration to every node. A few watchers per data centre watch the platform's
/// head revision. A node that puts a new revision in force notifies a few peers immediately; the others learn
/// of it from probes. Documents are fetched from peers, so the number of platform calls depends only on the
/// number of data centres.
///
/// Load: thousands of changes a day at hundreds of nodes; a watch per node would be 400 pending calls.
/// Sans-IO; not thread safe.
class config_spread {
public:
    config_spread(spread_peer self, config_spread_options options, std::uint64_t seed);

    /// Sets the live members, without this node.
    void setPeers(std::vector<spread_peer> peers);
    /// Called when a peer reports the newest revision it knows and the one it has in force.
    void onPeer(const utils::node_id& peer, utils::config_revision known, utils::config_revision inForce,
        utils::time_point now);
    /// Called when a read or watch of the head reports `revision`.
    void onHead(utils::config_revision revision, utils::time_point now);
    /// Returns whether a fetched document may be put in force; only a revision newer than the current one
    /// may.
    bool mayAdopt(utils::config_revision revision) const;
    /// Called when a document was put in force. Returns the peers to notify immediately. Precondition:
    /// mayAdopt(revision).
    std::vector<utils::node_id> onInForce(utils::config_revision revision, utils::time_point now);
    /// Called when fetching or reading the document failed.
    void onFetchFailed(const utils::node_id& peer, utils::time_point now);
    /// Starts fetches and head reads that are due.
    void onTick(bool hasMajority, utils::time_point now);
    /// Returns the pending actions and clears them.
    std::vector<spread_action> takeActions();

    utils::config_revision known() const { return m_known; }
    utils::config_revision inForce() const { return m_inForce; }
    bool isWatcher() const { return m_isWatcher; }

private:
    bool ranksAsWatcher() const;
    void updateWatch();
    void fetch(utils::time_point now);
    void learnRevision(utils::config_revision revision, utils::time_point now);

    spread_peer m_self;
    config_spread_options m_options;
    std::mt19937_64 m_random;
    std::vector<spread_peer> m_peers;
    std::set<utils::node_id> m_holders; ///< peers with the known revision in force
    utils::config_revision m_known = 0;
    utils::config_revision m_inForce = 0;
    utils::time_point m_fetchDeadline;
    utils::time_point m_nextPlatformRead;
    utils::time_point m_nextHeadRead;
    bool m_isWatcher = false;
    bool m_isKnownFromHead = false;
    std::vector<spread_action> m_actions;
};

} // namespace fleet

#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace operators {

/// One lycheefrontd as this node sees it.
struct node_status {
    utils::node_id id;
    utils::data_centre_id dataCentre;
    std::string state; ///< "alive", "suspect", "dead" or "leaving"
    bool isCurrent = false;
    utils::config_revision revision = 0; ///< in force there
};

/// One backend server as this node sees it.
struct server_status {
    utils::server_id id;
    utils::pool_id pool;
    std::string state; ///< "serving", "joining", "leaving", "ejected" or "unreachable"
    utils::node_id home; ///< the node that admits its requests
    unsigned inProgress = 0;
    unsigned slots = 0;
};

/// One queue of this node.
struct queue_status {
    utils::pool_id pool;
    std::string priority;
    unsigned waiting = 0;
    utils::duration oldest {};
};

/// What `lycheefrontctl status` shows.
struct fleet_status {
    utils::node_id self;
    bool isCurrent = false;
    utils::config_revision revision = 0; ///< in force on this node
    std::vector<node_status> nodes;
    std::vector<server_status> servers;
    std::vector<queue_status> queues;
    double cacheReuse = 0; ///< share of prompt tokens found in a cache, 0 to 1
    double loadSkew = 0; ///< highest load by the mean
    double controlBytesPerSecond = 0;
};

/// A question of `lycheefrontctl explain`; either a chat or a request that was refused.
struct explain_query {
    utils::team_id team;
    std::string model;
    std::string chat; ///< names the chat, as the caller does
};

/// One step of the decision, in order.
struct explain_step {
    std::string step; ///< e.g. "approval", "ranking", "load bound"
    std::string finding;
};

/// Which nodes have a revision in force.
struct spread_status {
    unsigned acknowledged = 0;
    unsigned listed = 0; ///< VMs of the region by the list

    bool isMajority() const { return acknowledged * 2 > listed; }
};

/// One draft kept in the platform.
struct draft_status {
    std::string id;
    utils::team_id team;
    std::string state; ///< of the draft's chart
    std::int64_t wallSeconds = 0; ///< UTC, when it was accepted
    std::uint64_t bytes = 0;
};

/// What a node knows and the configuration does not say; the daemon implements it. Called on the daemon's
/// executor only.
class node_view {
public:
    virtual ~node_view() = default;

    virtual fleet_status status() = 0;
    virtual boost::asio::awaitable<std::vector<explain_step>> explain(explain_query query) = 0;
    /// Waits until a majority of the region's listed VMs has the revision in force, at most `limit`.
    virtual boost::asio::awaitable<spread_status> waitInForce(
        utils::config_revision revision, utils::duration limit)
        = 0;
    /// The drafts of a team, of all teams if it is empty.
    virtual boost::asio::awaitable<std::vector<draft_status>> drafts(utils::team_id team) = 0;
};

} // namespace operators

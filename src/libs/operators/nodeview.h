#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace operators {

/// A lycheefrontd node as seen by this node.
struct node_status {
    utils::node_id id;
    utils::data_centre_id dataCentre;
    std::string state; ///< "alive", "suspect", "dead" or "leaving"
    bool isCurrent = false;
    utils::config_revision revision = 0; ///< in force on that node
};

/// A backend server as seen by this node.
struct server_status {
    utils::server_id id;
    utils::pool_id pool;
    std::string state; ///< "serving", "joining", "leaving", "ejected" or "unreachable"
    utils::node_id home; ///< node that admits its requests
    unsigned inProgress = 0;
    unsigned slots = 0;
};

/// A request queue of this node.
struct queue_status {
    utils::pool_id pool;
    std::string priority;
    unsigned waiting = 0;
    utils::duration oldest {};
};

/// Contents of `lycheefrontctl status`.
struct fleet_status {
    utils::node_id self;
    bool isCurrent = false;
    utils::config_revision revision = 0; ///< in force on this node
    std::vector<node_status> nodes;
    std::vector<server_status> servers;
    std::vector<queue_status> queues;
    double cacheReuse = 0; ///< share of prompt tokens served from a cache, 0 to 1
    double loadSkew = 0; ///< highest load divided by the mean load
    double controlBytesPerSecond = 0;
};

/// Query of `lycheefrontctl explain`, for a chat or for a request that was refused.
struct explain_query {
    utils::team_id team;
    std::string model;
    std::string chat; ///< name of the chat as sent by the caller
};

/// One step of a routing decision; steps are listed in order.
struct explain_step {
    std::string step; ///< e.g. "approval", "ranking", "load bound"
    std::string finding;
};

/// Number of VMs that have a revision in force.
struct spread_status {
    unsigned acknowledged = 0;
    unsigned listed = 0; ///< VMs in the region's list

    bool isMajority() const { return acknowledged * 2 > listed; }
};

/// A draft stored in the platform.
struct draft_status {
    std::string id;
    utils::team_id team;
    std::string state; ///< stored state, e.g. "waiting" or "done"
    std::int64_t wallSeconds = 0; ///< UTC time of acceptance, in seconds since 1970
    std::uint64_t bytes = 0;
};

/// Runtime state of a node that the configuration does not contain. Implemented by the daemon; call it only
/// on the daemon's executor.
class node_view {
public:
    virtual ~node_view() = default;

    virtual fleet_status status() = 0;
    virtual boost::asio::awaitable<std::vector<explain_step>> explain(explain_query query) = 0;
    /// Waits until a majority of the region's listed VMs has the revision in force, for at most `limit`.
    virtual boost::asio::awaitable<spread_status> waitInForce(
        utils::config_revision revision, utils::duration limit)
        = 0;
    /// The drafts of a calling team; of all calling teams if `team` is empty.
    virtual boost::asio::awaitable<std::vector<draft_status>> drafts(utils::team_id team) = 0;
};

} // namespace operators

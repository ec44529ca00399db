#pragma once

#include "livefleet.h"
#include "nodecontext.h"
#include "peerpool.h"

#include "config/configsnapshot.h"
#include "keyvalue/asioclock.h"
#include "keyvalue/configstore.h"
#include "keyvalue/kvclient.h"
#include "keyvalue/kvwatch.h"

#include <functional>
#include <memory>

namespace serving {

/// Brings the configuration to this node: carries out what fleet::config_spread asks for, with the
/// platform's key-value service and with peers, and puts what arrives in force, never an earlier one.
/// On the node's one thread.
class config_feed {
public:
    using store_type = keyvalue::config_store<keyvalue::kv_client, keyvalue::asio_clock>;
    /// Called once for each document that comes into force.
    using in_force_handler = std::function<void(const std::shared_ptr<const config::document>&)>;

    /// Preconditions: all outlive this.
    config_feed(node_context& context, keyvalue::kv_client& kv, store_type& store, live_fleet& fleet,
        peer_pool& peers, in_force_handler onInForce);
    ~config_feed();

    /// Carries out an action of the fleet that concerns the configuration; ignores others.
    void onAction(const fleet::fleet_action& action);
    /// Puts in force what an operator's change at this node has brought; call a few times a second.
    void tick();
    /// Answers a peer that asks for what is newer than the revision in the payload.
    wire::peer_reply onFetch(const wire::peer_call& call) const;
    /// Ends the watch.
    void stop();

private:
    boost::asio::awaitable<void> fetchFrom(utils::node_id node);
    boost::asio::awaitable<void> readDocument();
    boost::asio::awaitable<void> readHead();
    boost::asio::awaitable<void> watchHead(std::shared_ptr<keyvalue::kv_watch> watch);
    void takeHead(const std::string& value, utils::time_point startedAt);
    bool adopt(const config::snapshot_pointer& snapshot);

    node_context& m_context;
    keyvalue::kv_client& m_kv;
    store_type& m_store;
    live_fleet& m_fleet;
    peer_pool& m_peers;
    in_force_handler m_onInForce;
    std::shared_ptr<keyvalue::kv_watch> m_watch;
    utils::config_revision m_inForce = 0;
};

} // namespace serving

#pragma once

#include "decisions/homeledger.h"
#include "utils/ids.h"
#include "utils/time.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace serving {

/// What the request path asks of the fleet. One implementation runs over the network, another stands in
/// tests; a base class and no template, because the whole request path would otherwise live in headers.
/// All calls on the node's one thread.
class fleet_view {
public:
    virtual ~fleet_view() = default;

    /// This node.
    virtual const utils::node_id& self() const = 0;
    /// The home of a backend server in this node's view; nothing when nobody lives.
    virtual std::optional<utils::node_id> homeOf(
        const utils::server_id& server, const utils::data_centre_id& dataCentre) const = 0;
    /// "ip:port" of a node's peers listener; empty when unknown.
    virtual std::string addressOf(const utils::node_id& node) const = 0;
    /// Completes once this node holds that other one for dead; never otherwise.
    virtual boost::asio::awaitable<void> untilDead(utils::node_id node) = 0;
    /// Whether this node may dispatch and answer.
    virtual bool isCurrent(utils::time_point now) const = 0;
    /// Loads and this node's share of the slots, for a home's decision about one server.
    virtual decisions::fleet_state stateFor(
        const utils::pool_id& pool, const utils::server_id& server, utils::time_point now) const = 0;
};

} // namespace serving

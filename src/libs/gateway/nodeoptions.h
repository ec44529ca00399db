#pragma once

#include "decisions/repeatallowance.h"

#include "utils/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace gateway {

/// What a node is told at its start.
struct node_options {
    std::string name; ///< unique among the nodes
    std::string dataCentre;
    boost::asio::ip::tcp::endpoint callerAddress; ///< where callers connect
    boost::asio::ip::tcp::endpoint readinessAddress; ///< where the balancer asks whether this node takes work
    boost::asio::ip::tcp::endpoint peerAddress; ///< where other nodes reach this one, TCP and UDP
    std::vector<boost::asio::ip::tcp::endpoint> seeds; ///< some other nodes; may be stale
    boost::asio::ip::tcp::endpoint storeAddress;
    std::uint16_t metricsPort = 0; ///< 0: no metrics
    utils::duration stopGrace = std::chrono::seconds(8); ///< from SIGTERM to the process's end at the latest
    decisions::repeat_limits repeats;
    utils::duration applyTime = std::chrono::seconds(2); ///< in which a configuration must be in force
    /// After which nothing may be sent any more to a backend server that has said that it leaves.
    utils::duration drainTime = std::chrono::seconds(2);
};

} // namespace gateway

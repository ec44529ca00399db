#pragma once

#include "decisions/repeatallowance.h"

#include "utils/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gateway {

/// The settings of a node, read at its start.
struct node_options {
    std::string name; ///< unique among the nodes
    std::string dataCentre;
    boost::asio::ip::tcp::endpoint callerAddress; ///< listener for callers
    boost::asio::ip::tcp::endpoint readinessAddress; ///< listener for the load balancer's readiness checks
    boost::asio::ip::tcp::endpoint peerAddress; ///< listener for other nodes, TCP and UDP
    /// Listener for requests that peers forward, TCP, at the address of `peerAddress`; 0: none. Callers must
    /// not reach it.
    std::uint16_t forwardPort = 0;
    std::vector<boost::asio::ip::tcp::endpoint> seeds; ///< addresses of some other nodes; may be outdated
    boost::asio::ip::tcp::endpoint storeAddress;
    std::uint16_t metricsPort = 0; ///< 0: no metrics
    utils::duration stopGrace = std::chrono::seconds(8); ///< from SIGTERM to the end of the process, at most
    decisions::repeat_limits repeats;
    /// time in which a new configuration must be in force
    utils::duration applyTime = std::chrono::seconds(2);
    /// Time after which no request may be sent to a backend server that has announced its leaving.
    utils::duration drainTime = std::chrono::seconds(2);
    /// Time after which no request may be sent to a data centre whose evacuation was ordered.
    utils::duration evacuationTime = std::chrono::seconds(5);
    std::map<std::string, std::string> regions; ///< region by data centre
};

} // namespace gateway

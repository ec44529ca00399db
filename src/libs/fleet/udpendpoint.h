#pragma once

#include "fleetnode.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <string>

namespace fleet {

/// Runs a fleet_node on a UDP socket and a timer. The executor must be a single thread or a strand, and every
/// method must be called on it. The node must outlive the endpoint, and the endpoint must outlive the
/// executor's run.
class udp_endpoint {
public:
    /// Called on the executor for each action of the node.
    using action_handler = std::function<void(const fleet_action&)>;

    /// Binds the socket. Throws boost::system::system_error if the address cannot be bound.
    udp_endpoint(const boost::asio::any_io_executor& executor, const boost::asio::ip::udp::endpoint& listen,
        fleet_node& node, action_handler onAction);

    /// Starts receiving and the timer.
    void start();
    /// Stops receiving and the timer; pending handlers complete without effect.
    void stop();
    /// Runs `event` on the node with the current time, then sends the resulting datagrams and executes the
    /// actions. Every call that changes the node must go through this method.
    void with(const std::function<void(fleet_node&, utils::time_point)>& event);

    /// Returns the bound address; if port 0 was requested, with the assigned port.
    boost::asio::ip::udp::endpoint localEndpoint() const;
    /// Returns the number of datagrams that could not be sent; they are treated as lost.
    std::uint64_t sendFailures() const { return m_sendFailures; }

private:
    void receive();
    void schedule();
    void flush();

    static constexpr std::size_t bufferSize
        = wire::datagram_codec::maxSize + 1; // one extra byte to detect oversized datagrams

    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    fleet_node& m_node;
    action_handler m_onAction;
    std::array<char, bufferSize> m_buffer {};
    boost::asio::ip::udp::endpoint m_from;
    std::uint64_t m_sendFailures = 0;
    bool m_isStopped = false;
};

} // namespace fleet

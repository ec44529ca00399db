#pragma once

#include "homeservice.h"
#include "operationservice.h"

#include "wire/framestream.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace serving {

/// Serves the streams of other nodes: requests for servers that this node is home of, and calls.
/// All functions on the node's one thread.
class peer_server {
public:
    /// Answers a call of another node.
    using call_handler = std::function<boost::asio::awaitable<wire::peer_reply>(wire::peer_call)>;

    /// Preconditions: all outlive this.
    peer_server(node_context& context, home_service& home, operation_service& operations,
        wire::fleet_keys keys, call_handler onCall);

    /// Throws boost::system::system_error when the address cannot be listened on.
    void start(const boost::asio::ip::tcp::endpoint& endpoint);
    void stop();

private:
    boost::asio::awaitable<void> session(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> handle(wire::frame_stream& stream, wire::frame frame);
    boost::asio::awaitable<bool> serveRequest(wire::frame_stream& stream, wire::forward_request request);

    node_context& m_context;
    home_service& m_home;
    operation_service& m_operations;
    wire::fleet_keys m_keys;
    call_handler m_onCall;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace serving

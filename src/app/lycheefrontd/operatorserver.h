#pragma once

#include "operators/operatorapi.h"
#include "serving/nodecontext.h"

#include <boost/asio/ip/tcp.hpp>

/// HTTP listener for operators: the operators' API, /metrics, /healthz and /readyz. Not thread safe: use it
/// only on the node's single thread.
class operator_server {
public:
    /// Preconditions: both arguments outlive this object.
    operator_server(serving::node_context& context, operators::operator_api& api);

    /// Throws boost::system::system_error if it cannot listen on the endpoint.
    void start(const boost::asio::ip::tcp::endpoint& endpoint);
    void stop();

private:
    boost::asio::awaitable<void> session(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<operators::operator_reply> answer(operators::operator_request request);

    serving::node_context& m_context;
    operators::operator_api& m_api;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

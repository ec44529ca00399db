#pragma once

#include "callersession.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <memory>
#include <unordered_set>

namespace serving {

/// Listens for callers. On the node's one thread.
class caller_server {
public:
    /// `tls` null: plain TCP. Preconditions: all outlive this.
    caller_server(node_context& context, caller_services services, boost::asio::ssl::context* tls);

    /// Throws boost::system::system_error when the address cannot be listened on.
    void start(const boost::asio::ip::tcp::endpoint& endpoint);
    /// Accepts no more, and lets each connection end after the request in progress.
    void leave();
    std::size_t connections() const { return m_sessions.size(); }

private:
    boost::asio::awaitable<void> session(boost::asio::ip::tcp::socket socket);

    node_context& m_context;
    caller_services m_services;
    boost::asio::ssl::context* m_tls;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unordered_set<caller_session*> m_sessions;
};

} // namespace serving

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace standins_common {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using tcp_socket = boost::asio::ip::tcp::socket;

/// Answers one request on the socket; false closes the connection.
using http_handler = std::function<boost::asio::awaitable<bool>(http_request&, tcp_socket&)>;

/// A listener on 127.0.0.1 that can go away with all its connections, as a process does that ends, and come
/// back. Not thread safe; the handler runs on the context's thread.
class http_listener : public std::enable_shared_from_this<http_listener> {
public:
    /// Precondition: the context outlives this object.
    http_listener(boost::asio::io_context& context, http_handler handler)
        : m_context(context)
        , m_handler(std::move(handler))
        , m_acceptor(context)
    {
    }

    /// Listens and serves each connection until it closes. Port 0 picks one. Returns the port. Throws
    /// boost::system::system_error.
    unsigned short open(unsigned short port);
    /// Stops listening and closes all connections.
    void close();

private:
    // The coroutines keep the listener, which nobody else may hold before they start.
    static boost::asio::awaitable<void> acceptAll(std::shared_ptr<http_listener> self);
    static boost::asio::awaitable<void> serve(
        std::shared_ptr<http_listener> self, std::shared_ptr<tcp_socket> socket);

    boost::asio::io_context& m_context;
    http_handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<tcp_socket>> m_sockets;
};

/// Listens on 127.0.0.1 until the context ends. Port 0 picks one.
/// Returns the port. Not thread safe; the handler runs on the context's thread.
unsigned short listenHttp(boost::asio::io_context& context, unsigned short port, http_handler handler);

/// Sends a whole answer; false when the other side is gone.
boost::asio::awaitable<bool> sendAnswer(tcp_socket& socket, const http_request& request, int status,
    std::string body, std::string contentType = "application/json");
/// Writes bytes as they are; false when the other side is gone.
boost::asio::awaitable<bool> sendBytes(tcp_socket& socket, std::string bytes);
/// Waits.
boost::asio::awaitable<void> pauseFor(std::chrono::microseconds time);

} // namespace standins_common

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <string>

namespace standins_common {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using tcp_socket = boost::asio::ip::tcp::socket;

/// Answers one request on the socket; false closes the connection.
using http_handler = std::function<boost::asio::awaitable<bool>(http_request&, tcp_socket&)>;

/// Listens on 127.0.0.1 and serves each connection until it closes. Port 0 picks one.
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

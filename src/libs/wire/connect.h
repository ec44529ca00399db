#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace wire {

/// Parses "ip:port"; std::nullopt if malformed. Names are not resolved, since the platform provides IP
/// addresses. Thread safe.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

/// The inverse of parseEndpoint for IPv4. Thread safe.
std::string toText(const boost::asio::ip::tcp::endpoint& endpoint);

/// Connects to `address` ("ip:port"). Returns std::nullopt when the address is malformed or the peer cannot
/// be reached within `timeout`.
boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>> connectTo(
    boost::asio::any_io_executor executor, std::string_view address, std::chrono::milliseconds timeout);

} // namespace wire

#pragma once

#include "gateway/requests/stopscope.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace gateway {

/// Connects to a backend server or a peer within a fixed time. Returns an empty text when connected, else why
/// not. When `scope` was stopped meanwhile, the text says nothing about the other side. Not thread safe.
boost::asio::awaitable<std::string> connectWithin(std::shared_ptr<stop_scope> scope,
    http_connection_ptr connection, boost::asio::ip::tcp::endpoint endpoint);

} // namespace gateway

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wire {

/// State of a socket's receive buffer.
enum class peek_result {
    Nothing, ///< the socket is open and has no data
    Closed, ///< the peer has closed the connection, or it is broken
    TlsAlert, ///< the first byte is that of a TLS alert, which ends a TLS connection
    Bytes ///< other data
};

/// Inspects the receive buffer without consuming data. Makes the socket non-blocking, as Asio's own
/// operations do. Not thread safe.
peek_result peekSocket(boost::asio::ip::tcp::socket& socket);
/// The same; with Closed, `error` tells how the connection is broken, and is empty where the peer closed it.
peek_result peekSocket(boost::asio::ip::tcp::socket& socket, boost::system::error_code& error);

/// Completes only when the peer has closed the connection or the wait is cancelled; run it concurrently with
/// the work by `||`. A spurious wakeup and bytes of a next request are not a close: treating them as one
/// would truncate an answer.
boost::asio::awaitable<void> untilClosed(boost::asio::ip::tcp::socket& socket, bool isTls);

} // namespace wire

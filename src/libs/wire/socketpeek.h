#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace wire {

/// What lies in a socket's receive buffer.
enum class peek_result {
    Nothing, ///< the socket is open and silent
    Closed, ///< the other side has closed, or the connection is broken
    TlsAlert, ///< the first byte is that of a TLS alert, which ends a TLS connection
    Bytes
};

/// Looks without reading. Makes the socket non-blocking, as Asio's own operations do. Not thread safe.
peek_result peekSocket(boost::asio::ip::tcp::socket& socket);

/// Completes once the other side has closed; never otherwise, so it is run beside the work with `||`.
/// A wait may end without cause, and bytes of a next request may have come: neither is a close, and taking
/// one for it would cut an answer in the middle.
boost::asio::awaitable<void> untilClosed(boost::asio::ip::tcp::socket& socket, bool isTls);

} // namespace wire

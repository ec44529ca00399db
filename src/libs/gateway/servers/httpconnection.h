#pragma once

#include "utils/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace gateway {

/// Sets TCP_USER_TIMEOUT, so that the kernel closes the connection when sent bytes stay unacknowledged for
/// `limit`: a broken connection must not hold up requests. Also sets TCP_NODELAY.
void setTcpUserTimeout(boost::asio::ip::tcp::socket& socket, utils::duration limit);

/// How much of a response that nobody needs is read.
struct discard_limits {
    std::size_t bytes = 0;
    utils::duration time {};
};

/// A connection on which this node sends requests and another process responds, one request at a time.
///
/// Reads and writes run concurrently: the other side may respond before it has read a long body, and
/// otherwise both sides would wait for each other. close() and abort() end all pending operations. Not thread
/// safe.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    using head_type = boost::beast::http::response_header<>;
    using error_code = boost::system::error_code;

    explicit http_connection(const boost::asio::any_io_executor& executor);

    /// Connects; close() cancels it.
    boost::asio::awaitable<error_code> connect(boost::asio::ip::tcp::endpoint endpoint);
    /// Starts to send a request and returns at once.
    void startWrite(std::string head, std::shared_ptr<const std::string> body, bool isHeadMethod);
    /// Reads the head of the next response, and skips interim (1xx) responses. Fails with header_limit where
    /// these are too long, too many, or still incomplete long after their first byte, and as
    /// utils::checkResponseHead().
    boost::asio::awaitable<error_code> readHead();
    /// Reads more of the body and appends it to `bytes`; may append nothing. Fails with buffer_overflow where
    /// the head of a chunk or the trailer does not end, and with the error of the write where the connection
    /// has failed under it and the body has no length.
    boost::asio::awaitable<error_code> readBody(std::string& bytes);
    /// Reads what is left of the response and drops it. Fails with body_limit where that does not end within
    /// `limits`, which are looked at as bytes arrive.
    boost::asio::awaitable<error_code> discardBody(discard_limits limits);
    /// Skips the response whose head was read, because it belongs to an earlier request. Fails as
    /// discardBody().
    boost::asio::awaitable<error_code> skipResponse();

    /// Precondition: readHead() succeeded.
    const head_type& head() const { return m_parser->get().base(); }
    /// Whether the response is complete.
    bool isDone() const { return m_parser && m_parser->is_done(); }
    /// Whether the response has neither a length nor chunks and ends with its connection.
    bool endsWithConnection() const { return m_parser && m_parser->need_eof(); }
    /// Whether the connection may be used for another request: everything sent and received belongs to
    /// complete messages, and neither side closes it.
    bool isReusable() const;
    /// Whether nothing has arrived since the last response and the other side has not closed.
    bool isIdleAndOpen();
    void close();
    /// Closes with a reset, which drops what the kernel has not sent yet. Otherwise a request behind a
    /// saturated or broken link would reach its server seconds after it was given up.
    void abort();

    utils::time_point idleSince {}; ///< set by connection_pool
    utils::time_point lastReceivedAt {}; ///< when bytes last arrived
    std::optional<utils::duration> idleLimit; ///< the other side closes after this time without a request

private:
    boost::asio::awaitable<error_code> receive();
    /// Ends the response where the other side has ended the connection. Fails if the response is incomplete.
    /// A response without a length is incomplete if the connection fails while the request is still being
    /// sent: then its end may be that of a process that has died. If the connection neither fails nor takes
    /// the rest of the request, the response counts as complete after a while.
    boost::asio::awaitable<error_code> endResponse();
    void startResponse();

    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    bool m_isHeadMethod = false;
    bool m_isWriting = false;
    bool m_isBroken = false;
    error_code m_writeError; ///< why the last write has failed
    boost::asio::steady_timer m_writeEnd; ///< cancelled when a write ends
};

using http_connection_ptr = std::shared_ptr<http_connection>;

} // namespace gateway

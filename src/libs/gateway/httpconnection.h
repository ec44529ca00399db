#pragma once

#include "utils/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace gateway {

/// Keeps a half-dead connection from holding work: the kernel gives it up when bytes stay unacknowledged.
void setTcpUserTimeout(boost::asio::ip::tcp::socket& socket, utils::duration limit);

/// A connection on which this node asks and another process responses, one request at a time.
///
/// Reads and writes go side by side: the other side may response before it has read a long body, and both
/// sides would wait for each other otherwise. close() and abort() end everything that waits. Not thread
/// safe.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    using head_type = boost::beast::http::response_header<>;
    using error_code = boost::system::error_code;

    explicit http_connection(const boost::asio::any_io_executor& executor);

    /// Connects; give up by close().
    boost::asio::awaitable<error_code> connect(boost::asio::ip::tcp::endpoint endpoint);
    /// Begins to send the bytes of a request and returns at once.
    void startWrite(std::string head, std::shared_ptr<const std::string> body, bool isHeadMethod);
    /// Reads the head of the next response.
    boost::asio::awaitable<error_code> readHead();
    /// Reads some of the body and appends it to `bytes`; may add nothing.
    boost::asio::awaitable<error_code> readBody(std::string& bytes);
    /// Skips the response whose head was read: it belongs to an earlier request.
    boost::asio::awaitable<error_code> skipResponse();

    /// Precondition: readHead() succeeded.
    const head_type& head() const { return m_parser->get().base(); }
    /// The response is whole.
    bool isDone() const { return m_parser && m_parser->is_done(); }
    /// Whether another request may go over this connection: all that was sent and received belongs to whole
    /// messages, and neither side closes.
    bool isReusable() const;
    /// Nothing has arrived since the last response and the other side has not closed.
    bool isIdleAndOpen();
    void close();
    /// Closes with a reset: what the kernel has not sent yet is dropped. Behind a full link or a cut a
    /// request would else reach its server seconds after it was given up.
    void abort();

    utils::time_point idleSince {}; ///< for the pool
    utils::time_point lastReceivedAt {}; ///< when bytes last came
    std::optional<utils::duration> idleLimit; ///< the other side closes after this

private:
    boost::asio::awaitable<error_code> receive();
    error_code feed();
    void startResponse();

    boost::asio::ip::tcp::socket m_socket;
    std::string m_received;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    bool m_isHeadMethod = false;
    bool m_isWriting = false;
    bool m_isBroken = false;
};

using http_connection_ptr = std::shared_ptr<http_connection>;

} // namespace gateway

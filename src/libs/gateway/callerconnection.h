#pragma once

#include "catalogue/configuration.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gateway {

/// How the wait for a request ended.
enum class read_status {
    Request,
    Closed, ///< nothing more comes: the caller left, or was idle for too long
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    TooSlow
};

/// What came on a caller's connection.
struct read_outcome {
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;

    read_status status = read_status::Closed;
    std::optional<request_type> request; ///< with status Request
    utils::time_point arrivedAt {}; ///< of its first byte
    std::string detail; ///< of what is malformed, for the log
};

/// A connection of a caller: reads whole requests, writes bytes, and notices when the caller leaves.
/// Not thread safe.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    using error_code = boost::system::error_code;

    explicit caller_connection(boost::asio::ip::tcp::socket socket);

    /// Reads the next request, within the limits.
    boost::asio::awaitable<read_outcome> readRequest(const catalogue::caller_limits& limits);
    /// Writes all bytes.
    boost::asio::awaitable<error_code> write(std::string bytes);
    /// Calls `onGone` once when the caller closes, until stopWatching(); at once if it has closed already: on
    /// a busy node it may have left before its request was read, and servers would work for nobody. Bytes
    /// of a next request are no close; nothing is noticed behind them.
    void watch(std::function<void()> onGone);
    void stopWatching();
    /// Ends the wait for a request if there is one; a request whose bytes were read already goes on.
    void endIfIdle();
    /// Lets the caller read what was written before the connection ends.
    boost::asio::awaitable<void> closeGracefully();
    /// Ends the connection so that a part of a response does not look whole.
    void abort();
    void close();

private:
    boost::asio::awaitable<error_code> receive();
    boost::asio::awaitable<read_outcome> readHead(const catalogue::caller_limits& limits);
    boost::asio::awaitable<void> readBody(read_outcome& outcome, const catalogue::caller_limits& limits);
    void limitWait(utils::duration limit);
    void endWait();
    void waitForClose(std::uint64_t generation);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_received;
    std::function<void()> m_onGone;
    std::uint64_t m_watchGeneration = 0;
    std::uint64_t m_timerGeneration = 0;
    bool m_isIdle = false;
    bool m_isTimeUp = false;
};

} // namespace gateway

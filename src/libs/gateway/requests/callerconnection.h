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

/// How reading a request ended.
enum class read_status {
    Request,
    Closed, ///< the caller closed the connection, or it was idle for too long
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    TooSlow
};

/// The result of reading from a caller's connection.
struct read_outcome {
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;

    read_status status = read_status::Closed;
    std::optional<request_type> request; ///< set with status Request
    utils::time_point arrivedAt {}; ///< arrival of the first byte
    std::string detail; ///< what is malformed, for the log
};

/// A connection of a caller: reads whole requests, writes bytes, and notices when the caller closes it. Not
/// thread safe.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    using error_code = boost::system::error_code;

    explicit caller_connection(boost::asio::ip::tcp::socket socket);

    /// Reads the next request within the limits of size and time.
    boost::asio::awaitable<read_outcome> readRequest(const catalogue::caller_limits& limits);
    /// Writes all bytes.
    boost::asio::awaitable<error_code> write(std::string bytes);
    /// Calls `onGone` once when the caller closes, until stopWatching(). Calls it at once if the caller has
    /// closed already: on a busy node the caller may have left before its request was read, and servers would
    /// do useless work. Bytes of a next request do not count as a close; a close behind them goes unnoticed.
    void watch(std::function<void()> onGone);
    void stopWatching();
    /// How the caller's side of the connection ended, as far as watch() or write() has seen; empty: it has
    /// not.
    const std::string& endOfCaller() const { return m_endOfCaller; }
    /// Stops waiting for a request, if the connection is idle; a request whose bytes were read already is
    /// processed.
    void endIfIdle();
    /// Whether a request has begun to arrive and is not complete.
    bool isReading() const { return m_isReading; }
    /// Closes the connection after the caller had time to read what was written.
    boost::asio::awaitable<void> closeGracefully();
    /// Closes the connection with a reset, so that a partial response does not look complete.
    void abort();
    void close();

private:
    boost::asio::awaitable<error_code> receive();
    boost::asio::awaitable<read_outcome> readHead(const catalogue::caller_limits& limits);
    boost::asio::awaitable<void> readBody(read_outcome& outcome, const catalogue::caller_limits& limits);
    void startTimer(utils::duration limit);
    void stopTimer();
    void waitForClose(std::uint64_t generation);
    void recordEnd(const error_code& error);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_received;
    std::function<void()> m_onGone;
    std::string m_endOfCaller;
    std::uint64_t m_watchGeneration = 0;
    std::uint64_t m_timerGeneration = 0;
    bool m_isIdle = false;
    bool m_isReading = false;
    bool m_hasTimedOut = false;
};

} // namespace gateway

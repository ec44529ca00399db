#include "callerconnection.h"

#include "gateway/clock.h"
#include "gateway/receivedbytes.h"
#include "gateway/servers/httpconnection.h"
#include "headcheck.h"

#include "wire/socketpeek.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
using request_parser = http::request_parser<http::string_body>;

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::size_t readSize = 16384; // bytes of one read
// Time to read a body, on top of the time for the head: 4 MB over the slowest link that a caller of a chat
// has.
constexpr utils::duration bodyTimeout = std::chrono::seconds(10);
// Time for the caller to read a last response before the connection is reset.
constexpr utils::duration gracefulCloseTimeout = std::chrono::milliseconds(500);
// A response that stays unacknowledged for this long has no caller that waits for it.
constexpr utils::duration unacknowledgedTimeout = std::chrono::seconds(10);
constexpr unsigned httpOneOne = 11;
constexpr std::string_view continueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
    setTcpUserTimeout(m_socket, unacknowledgedTimeout);
}

asio::awaitable<read_outcome> caller_connection::readRequest(const catalogue::caller_limits& limits)
{
    const auto self = shared_from_this();
    m_hasTimedOut = false;
    if (m_received.empty()) {
        m_isIdle = true;
        startTimer(limits.idleTimeout);
        const error_code error = co_await receive();
        m_isIdle = false;
        if (error) {
            stopTimer();
            co_return read_outcome {};
        }
    }
    const utils::time_point arrivedAt = now();
    startTimer(limits.headerTimeout);
    m_isReading = true;
    read_outcome outcome = co_await readHead(limits);
    m_isReading = false;
    stopTimer();
    outcome.arrivedAt = arrivedAt;
    co_return outcome;
}

asio::awaitable<read_outcome> caller_connection::readHead(const catalogue::caller_limits& limits)
{
    read_outcome outcome;
    std::size_t end = m_received.find(headEnd);
    while (end == std::string::npos) {
        if (m_received.size() > limits.headerBytes) {
            outcome.status = read_status::HeadTooLarge;
            co_return outcome;
        }
        const error_code error = co_await receive();
        if (error) {
            outcome.status = m_hasTimedOut ? read_status::TooSlow : read_status::Closed;
            co_return outcome;
        }
        end = m_received.find(headEnd);
    }
    if (end + headEnd.size() > limits.headerBytes) {
        outcome.status = read_status::HeadTooLarge;
        co_return outcome;
    }
    const head_fault fault = checkHead(std::string_view(m_received).substr(0, end + headEnd.size()));
    if (fault != head_fault::None) {
        outcome.status = read_status::Malformed;
        outcome.detail = toString(fault);
        co_return outcome;
    }
    startTimer(limits.headerTimeout + bodyTimeout);
    co_await readBody(outcome, limits);
    co_return outcome;
}

asio::awaitable<void> caller_connection::readBody(
    read_outcome& outcome, const catalogue::caller_limits& limits)
{
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    parser.eager(true);
    bool hasSentContinue = false;
    while (true) {
        const error_code fault = parseReceived(parser, m_received, limits.headerBytes);
        if (fault) {
            const bool isTooLarge = fault == http::error::body_limit;
            outcome.status = isTooLarge ? read_status::BodyTooLarge : read_status::Malformed;
            outcome.detail = fault.message();
            co_return;
        }
        if (parser.is_done())
            break;
        if (parser.is_header_done() && !hasSentContinue
            && boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            hasSentContinue = true;
            std::string interimResponse(continueResponse);
            co_await write(std::move(interimResponse));
        }
        const error_code error = co_await receive();
        if (error) {
            outcome.status = m_hasTimedOut ? read_status::TooSlow : read_status::Closed;
            co_return;
        }
    }
    if (parser.get().version() != httpOneOne) {
        // Chunked encoding needs HTTP/1.1; without it a truncated stream would look complete.
        outcome.status = read_status::Malformed;
        outcome.detail = "version";
        co_return;
    }
    outcome.status = read_status::Request;
    outcome.request = parser.release();
}

asio::awaitable<caller_connection::error_code> caller_connection::write(std::string bytes)
{
    const auto self = shared_from_this();
    const auto [error, count] = co_await asio::async_write(m_socket, asio::buffer(bytes), asTuple);
    if (error)
        recordEnd(error);
    co_return error;
}

void caller_connection::recordEnd(const error_code& error)
{
    if (m_endOfCaller.empty())
        m_endOfCaller = error ? error.message() : "closed";
}

void caller_connection::watch(std::function<void()> onGone)
{
    m_onGone = std::move(onGone);
    ++m_watchGeneration;
    error_code error;
    if (wire::peekSocket(m_socket, error) != wire::peek_result::Closed) {
        waitForClose(m_watchGeneration);
        return;
    }
    recordEnd(error);
    std::exchange(m_onGone, nullptr)();
}

void caller_connection::stopWatching()
{
    ++m_watchGeneration;
    m_onGone = nullptr;
    error_code ignored; // a closed socket has no wait to cancel
    m_socket.cancel(ignored);
}

void caller_connection::waitForClose(std::uint64_t generation)
{
    m_socket.async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this(), generation](const error_code& error) {
            if (generation != self->m_watchGeneration || error == asio::error::operation_aborted)
                return;
            error_code end = error;
            const wire::peek_result peeked
                = error ? wire::peek_result::Closed : wire::peekSocket(self->m_socket, end);
            if (peeked == wire::peek_result::Nothing) {
                self->waitForClose(generation);
                return;
            }
            if (peeked != wire::peek_result::Closed)
                return;
            self->recordEnd(end);
            const auto onGone = std::move(self->m_onGone);
            self->m_onGone = nullptr;
            if (onGone)
                onGone();
        });
}

asio::awaitable<void> caller_connection::closeGracefully()
{
    const auto self = shared_from_this();
    error_code ignored; // the connection ends either way
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    startTimer(gracefulCloseTimeout);
    m_received.clear();
    while (!co_await receive())
        m_received.clear();
    stopTimer();
    close();
}

void caller_connection::abort()
{
    error_code ignored; // the connection ends either way
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void caller_connection::endIfIdle()
{
    // Cancels the read instead of closing the socket. A read that has completed, but whose bytes have not
    // been processed yet, is not cancelled, and its request gets its response.
    error_code ignored; // a closed socket has no wait to end
    if (m_isIdle)
        m_socket.cancel(ignored);
}

void caller_connection::close()
{
    ++m_watchGeneration;
    m_onGone = nullptr;
    error_code ignored; // nothing can be done about a close that fails
    m_socket.close(ignored);
}

asio::awaitable<caller_connection::error_code> caller_connection::receive()
{
    const std::size_t before = m_received.size();
    m_received.resize(before + readSize);
    const auto [error, count]
        = co_await m_socket.async_read_some(asio::buffer(m_received.data() + before, readSize), asTuple);
    m_received.resize(before + count);
    co_return error;
}

void caller_connection::stopTimer()
{
    ++m_timerGeneration;
    m_timer.cancel();
}

void caller_connection::startTimer(utils::duration limit)
{
    // The handler of a timer that has just fired cannot be cancelled and would end the next wait.
    const std::uint64_t generation = ++m_timerGeneration;
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this(), generation](const error_code& error) {
        if (error || generation != self->m_timerGeneration)
            return;
        self->m_hasTimedOut = true;
        error_code ignored; // the read that waits ends either way
        self->m_socket.cancel(ignored);
    });
}

} // namespace gateway

#include "httpconnection.h"

#include "gateway/clock.h"
#include "gateway/receivedbytes.h"

#include "wire/socketpeek.h"

#include "utils/responsehead.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr std::uint32_t maxHeadBytes = 64 * 1024; // bytes; far above what any backend server sends
constexpr std::size_t readSize = 16384; // bytes of one read: a dozen events, or most short responses
// A head arrives within a few packets, of which some may be lost.
constexpr utils::duration maxHeadTime = std::chrono::seconds(3);
constexpr unsigned maxInterimResponses = 16;
// A server that has closed its socket resets the connection when more of the request arrives, at the latest
// with one of the first retransmissions.
constexpr utils::duration resetTime = std::chrono::seconds(1);
// The answer that is waited for comes behind the skipped one, so there is more patience with that.
constexpr discard_limits skipLimits { 1'048'576, std::chrono::seconds(5) };

/// The bytes that startWrite() sends; kept until the kernel has taken them.
struct outgoing_bytes {
    std::string head;
    std::shared_ptr<const std::string> body;
};

} // namespace

void setTcpUserTimeout(asio::ip::tcp::socket& socket, utils::duration limit)
{
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(limit);
    boost::system::error_code ignored; // a closed socket shows at its next read
    socket.set_option(user_timeout(static_cast<int>(milliseconds.count())), ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

http_connection::http_connection(const asio::any_io_executor& executor)
    : m_socket(executor)
    , m_writeEnd(executor)
{
}

asio::awaitable<http_connection::error_code> http_connection::connect(asio::ip::tcp::endpoint endpoint)
{
    const auto self = shared_from_this();
    const auto [error] = co_await m_socket.async_connect(endpoint, asTuple);
    if (error) {
        m_isBroken = true;
        co_return error;
    }
    // The longest time that a VM may be unreachable.
    constexpr auto unacknowledgedTimeout = std::chrono::seconds(3);
    setTcpUserTimeout(m_socket, unacknowledgedTimeout);
    co_return error;
}

void http_connection::startWrite(std::string head, std::shared_ptr<const std::string> body, bool isHeadMethod)
{
    m_isHeadMethod = isHeadMethod;
    m_isWriting = true;
    startResponse();
    auto bytes = std::make_shared<outgoing_bytes>(outgoing_bytes { std::move(head), std::move(body) });
    std::array<asio::const_buffer, 2> buffers { asio::buffer(bytes->head), asio::const_buffer() };
    if (bytes->body)
        buffers[1] = asio::buffer(*bytes->body);
    asio::async_write(
        m_socket, buffers, [self = shared_from_this(), bytes](const error_code& error, std::size_t) {
            self->m_isWriting = false;
            self->m_writeEnd.cancel();
            // A response may still be there to read, so the reader reports how the exchange ended.
            if (!error)
                return;
            self->m_isBroken = true;
            self->m_writeError = error;
        });
}

asio::awaitable<http_connection::error_code> http_connection::readHead()
{
    const auto self = shared_from_this();
    std::optional<utils::time_point> beganAt;
    unsigned interimResponses = 0;
    while (true) {
        const error_code fault = parseReceived(*m_parser, m_received, maxHeadBytes);
        if (fault)
            co_return fault;
        if (m_parser->is_header_done()) {
            if (const error_code headFault = utils::checkResponseHead(head()))
                co_return headFault;
            if (!utils::isInterim(head()))
                co_return error_code();
            if (++interimResponses > maxInterimResponses)
                co_return http::make_error_code(http::error::header_limit);
            startResponse();
            continue;
        }
        const error_code error = co_await receive();
        if (error)
            co_return error;
        if (now() - beganAt.value_or(now()) > maxHeadTime)
            co_return http::make_error_code(http::error::header_limit);
        beganAt = beganAt.value_or(now());
    }
}

asio::awaitable<http_connection::error_code> http_connection::readBody(std::string& bytes)
{
    const auto self = shared_from_this();
    std::string& parsed = m_parser->get().body();
    if (parsed.empty() && !m_parser->is_done()) {
        error_code error = co_await receive();
        if (error == asio::error::eof)
            error = co_await endResponse();
        if (error)
            co_return error;
        const error_code fault = parseReceived(*m_parser, m_received, maxHeadBytes);
        if (fault)
            co_return fault;
    }
    bytes += parsed;
    parsed.clear();
    co_return error_code();
}

asio::awaitable<http_connection::error_code> http_connection::discardBody(discard_limits limits)
{
    const auto self = shared_from_this();
    const utils::time_point beganAt = now();
    std::size_t discarded = 0;
    std::string bytes;
    while (!m_parser->is_done()) {
        bytes.clear();
        const error_code error = co_await readBody(bytes);
        if (error)
            co_return error;
        discarded += bytes.size();
        if (discarded > limits.bytes || now() - beganAt > limits.time)
            co_return http::make_error_code(http::error::body_limit);
    }
    co_return error_code();
}

asio::awaitable<http_connection::error_code> http_connection::skipResponse()
{
    const auto self = shared_from_this();
    const error_code error = co_await discardBody(skipLimits);
    if (!error)
        startResponse();
    co_return error;
}

bool http_connection::isReusable() const
{
    return m_parser && m_parser->is_done() && m_parser->get().keep_alive() && !m_parser->need_eof()
        && m_received.empty() && !m_isWriting && !m_isBroken && m_socket.is_open();
}

bool http_connection::isIdleAndOpen()
{
    return m_socket.is_open() && !m_isBroken && wire::peekSocket(m_socket) == wire::peek_result::Nothing;
}

void http_connection::close()
{
    m_isBroken = true;
    error_code ignored; // nothing can be done about a close that fails
    m_socket.close(ignored);
}

void http_connection::abort()
{
    error_code ignored; // a closed socket has nothing left to send
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

asio::awaitable<http_connection::error_code> http_connection::receive()
{
    const std::size_t before = m_received.size();
    m_received.resize(before + readSize);
    const auto [error, count]
        = co_await m_socket.async_read_some(asio::buffer(m_received.data() + before, readSize), asTuple);
    m_received.resize(before + count);
    if (count > 0)
        lastReceivedAt = now();
    if (error)
        m_isBroken = true;
    co_return error;
}

asio::awaitable<http_connection::error_code> http_connection::endResponse()
{
    if (m_parser->need_eof() && m_isWriting) {
        m_writeEnd.expires_after(resetTime);
        co_await m_writeEnd.async_wait(asTuple);
    }
    // The kernel reports once that a connection has failed. If the write has taken that report, the read gets
    // an ordinary end.
    if (m_parser->need_eof() && m_writeError)
        co_return m_writeError;
    error_code incomplete;
    m_parser->put_eof(incomplete);
    co_return incomplete;
}

void http_connection::startResponse()
{
    m_parser.emplace();
    m_parser->header_limit(maxHeadBytes);
    m_parser->body_limit(boost::none);
    m_parser->eager(true);
    if (m_isHeadMethod)
        m_parser->skip(true);
}

} // namespace gateway

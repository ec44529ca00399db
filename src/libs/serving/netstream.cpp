#include "netstream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned char tlsAlertRecord = 21;

enum class peek_result {
    Closed,
    Closing,
    MoreData
};

peek_result peek(asio::ip::tcp::socket& socket)
{
    unsigned char first = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    const std::size_t count = socket.receive(asio::buffer(&first, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block)
        return peek_result::MoreData;
    if (error || count == 0)
        return peek_result::Closed;
    return first == tlsAlertRecord ? peek_result::Closing : peek_result::MoreData;
}

} // namespace

net_stream::net_stream(tcp_socket socket)
    : m_plain(std::move(socket))
{
    boost::system::error_code ignored;
    m_plain.set_option(asio::ip::tcp::no_delay(true), ignored);
}

net_stream::net_stream(tcp_socket socket, asio::ssl::context& tls)
    : m_plain(socket.get_executor())
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_tls = std::make_unique<tls_stream>(std::move(socket), tls);
}

asio::awaitable<bool> net_stream::handshake(asio::ssl::stream_base::handshake_type side)
{
    if (!m_tls)
        co_return true;
    const auto [error] = co_await m_tls->async_handshake(side, asTuple);
    co_return !error;
}

asio::awaitable<void> net_stream::untilClosed()
{
    const auto [error] = co_await socket().async_wait(asio::socket_base::wait_read, asTuple);
    if (error)
        co_return;
    const peek_result seen = peek(socket());
    if (seen == peek_result::Closed || (seen == peek_result::Closing && m_tls))
        co_return;
    // A pipelined request waits in the socket: the caller is there, and until the bytes are read the
    // socket tells nothing more. The work beside this ends first and cancels the wait.
    asio::steady_timer forever(socket().get_executor(), asio::steady_timer::time_point::max());
    co_await forever.async_wait(asTuple);
}

asio::awaitable<void> net_stream::untilReadable()
{
    // Decrypted bytes that TLS holds do not make the socket readable.
    if (m_tls && SSL_pending(m_tls->native_handle()) > 0)
        co_return;
    co_await socket().async_wait(asio::socket_base::wait_read, asTuple);
}

void net_stream::close()
{
    boost::system::error_code ignored;
    socket().close(ignored);
}

} // namespace serving

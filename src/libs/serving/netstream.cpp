#include "netstream.h"

#include "wire/socketpeek.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
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
    co_await wire::untilClosed(socket(), m_tls != nullptr);
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

#include "httplistener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace standins_common {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t bodyLimit = 64U << 20U;

} // namespace

unsigned short http_listener::open(unsigned short port)
{
    const asio::ip::tcp::endpoint address(asio::ip::address_v4::loopback(), port);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen();
    asio::co_spawn(m_context, acceptAll(shared_from_this()), asio::detached);
    return m_acceptor.local_endpoint().port();
}

void http_listener::close()
{
    boost::system::error_code ignored; // the other side sees the end either way
    m_acceptor.close(ignored);
    for (const std::shared_ptr<tcp_socket>& socket : m_sockets)
        socket->close(ignored);
    m_sockets.clear();
}

asio::awaitable<void> http_listener::acceptAll(std::shared_ptr<http_listener> self)
{
    while (true) {
        auto [error, socket] = co_await self->m_acceptor.async_accept(asTuple);
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
            co_return;
        if (error)
            continue;
        auto accepted = std::make_shared<tcp_socket>(std::move(socket));
        asio::co_spawn(self->m_context, serve(self, std::move(accepted)), asio::detached);
    }
}

asio::awaitable<void> http_listener::serve(
    std::shared_ptr<http_listener> self, std::shared_ptr<tcp_socket> socket)
{
    self->m_sockets.insert(socket);
    boost::system::error_code ignored;
    socket->set_option(asio::ip::tcp::no_delay(true), ignored);
    boost::beast::flat_buffer buffer;
    bool goesOn = true;
    while (goesOn) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimit);
        const auto [error, count] = co_await http::async_read(*socket, buffer, parser, asTuple);
        if (error)
            break;
        http_request request = parser.release();
        goesOn = co_await self->m_handler(request, *socket);
    }
    socket->close(ignored);
    self->m_sockets.erase(socket);
}

unsigned short listenHttp(asio::io_context& context, unsigned short port, http_handler handler)
{
    return std::make_shared<http_listener>(context, std::move(handler))->open(port);
}

asio::awaitable<bool> sendAnswer(
    tcp_socket& socket, const http_request& request, int status, std::string body, std::string contentType)
{
    http_response response { static_cast<http::status>(status), request.version() };
    response.set(http::field::content_type, contentType);
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    const auto [error, count] = co_await http::async_write(socket, response, asTuple);
    co_return !error && request.keep_alive();
}

asio::awaitable<bool> sendBytes(tcp_socket& socket, std::string bytes)
{
    const auto [error, count] = co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
    co_return !error;
}

asio::awaitable<void> pauseFor(std::chrono::microseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asTuple);
}

} // namespace standins_common

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

#include <memory>

namespace standins_common {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t bodyLimit = 64U << 20U;

asio::awaitable<void> serve(tcp_socket socket, std::shared_ptr<http_handler> handler)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    boost::beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimit);
        const auto [error, count] = co_await http::async_read(socket, buffer, parser, asTuple);
        if (error)
            co_return;
        http_request request = parser.release();
        if (!co_await (*handler)(request, socket))
            co_return;
    }
}

asio::awaitable<void> acceptAll(asio::ip::tcp::acceptor acceptor, std::shared_ptr<http_handler> handler)
{
    while (true) {
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        asio::co_spawn(acceptor.get_executor(), serve(std::move(socket), handler), asio::detached);
    }
}

} // namespace

unsigned short listenHttp(asio::io_context& context, unsigned short port, http_handler handler)
{
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), port });
    const unsigned short bound = acceptor.local_endpoint().port();
    auto shared = std::make_shared<http_handler>(std::move(handler));
    asio::co_spawn(context, acceptAll(std::move(acceptor), shared), asio::detached);
    return bound;
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

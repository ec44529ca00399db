#include "gateway/clock.h"
#include "gateway/servers/httpclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// A server that responds to one call in pieces, with a pause before each.
struct slow_server {
    asio::io_context io;
    tcp::acceptor acceptor { io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0) };
    gateway::http_client client { io.get_executor(), acceptor.local_endpoint() };
    std::optional<gateway::call_response> response;

    asio::awaitable<void> serve(int pieces, int sent, utils::duration pause)
    {
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        std::string request;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
        std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces) + "\r\n\r\n";
        asio::steady_timer timer(io);
        for (int i = 0; i < sent; ++i) {
            const auto [writeError, written]
                = co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
            if (writeError)
                co_return;
            timer.expires_after(pause);
            co_await timer.async_wait(asTuple);
            bytes = "x";
        }
        co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        // Keeps the connection open until the client closes it.
        co_await socket.async_read_some(asio::buffer(bytes), asTuple);
    }

    /// Makes a call with `timeout`; the server sends `sent` of the `pieces`.
    void run(int pieces, int sent, utils::duration pause, utils::duration timeout)
    {
        asio::co_spawn(io, serve(pieces, sent, pause), asio::detached);
        asio::co_spawn(
            io,
            [&, timeout]() -> asio::awaitable<void> {
                response = co_await client.call(gateway::call_request::get("/"), timeout);
                client.close();
            },
            asio::detached);
        io.run();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_client_of_the_store)

// Guards against a timeout while the bytes of a large response arrive: over a slow link a configuration of
// several hundred kilobytes never arrived, however often it was requested.
BOOST_FIXTURE_TEST_CASE(a_response_that_keeps_arriving_does_not_time_out, slow_server)
{
    run(20, 20, 10ms, 100ms);
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->body == std::string(20, 'x'));
}

// Guards against a node that waits for a configuration from a store that sends nothing: the bytes that
// arrived last belong to the previous call.
BOOST_AUTO_TEST_CASE(an_earlier_response_does_not_count_as_arriving)
{
    slow_server server;
    const auto connected = [&]() -> asio::awaitable<void> {
        co_await server.client.call(gateway::call_request::get("/"), 10s);
        co_await server.client.call(gateway::call_request::get("/"), 10s);
    };
    asio::co_spawn(server.io, connected(), asio::detached);
    std::optional<tcp::socket> socket;
    asio::co_spawn(
        server.io,
        [&]() -> asio::awaitable<void> {
            auto [error, accepted] = co_await server.acceptor.async_accept(asTuple);
            socket.emplace(std::move(accepted));
            std::string request;
            co_await asio::async_read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
            const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
            co_await asio::async_write(*socket, asio::buffer(response), asTuple);
            request.clear();
            co_await asio::async_read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
            BOOST_TEST(!server.client.isReceiving(gateway::now()));
            co_await asio::async_write(*socket, asio::buffer(response, response.size() - 1), asTuple);
            co_await asio::post(server.io, asio::use_awaitable);
            socket->close();
        },
        asio::detached);
    server.io.run();
}

BOOST_FIXTURE_TEST_CASE(a_response_that_stops_arriving_times_out, slow_server)
{
    run(20, 3, 1ms, 100ms);
    BOOST_TEST(!response.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

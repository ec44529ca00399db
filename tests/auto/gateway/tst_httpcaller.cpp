#include "gateway/clock.h"
#include "gateway/httpclient.h"

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

/// Answers one call in pieces with a pause before each.
struct slow_server {
    asio::io_context io;
    tcp::acceptor acceptor { io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0) };
    gateway::http_client caller { io.get_executor(), acceptor.local_endpoint() };
    std::optional<gateway::call_response> answer;

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
        // Keeps the connection until the caller closes it.
        co_await socket.async_read_some(asio::buffer(bytes), asTuple);
    }

    /// Calls with that timeout; the server sends `sent` of the pieces.
    void play(int pieces, int sent, utils::duration pause, utils::duration timeout)
    {
        asio::co_spawn(io, serve(pieces, sent, pause), asio::detached);
        asio::co_spawn(
            io,
            [&, timeout]() -> asio::awaitable<void> {
                answer = co_await caller.call(gateway::call_request::get("/"), timeout);
                caller.close();
            },
            asio::detached);
        io.run();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_of_the_store)

// Guards against a large answer that is given up while its bytes arrive: over a slow link a configuration of
// several hundred kilobytes never came, however often it was asked for.
BOOST_FIXTURE_TEST_CASE(an_answer_that_keeps_arriving_is_not_given_up, slow_server)
{
    play(20, 20, 10ms, 100ms);
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->body == std::string(20, 'x'));
}

// Guards against a node that waits for a configuration from a store that tells it nothing: what arrived last
// belongs to the call before.
BOOST_AUTO_TEST_CASE(an_earlier_answer_is_not_taken_for_one_that_arrives)
{
    slow_server server;
    const auto connected = [&]() -> asio::awaitable<void> {
        co_await server.caller.call(gateway::call_request::get("/"), 10s);
        co_await server.caller.call(gateway::call_request::get("/"), 10s);
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
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
            co_await asio::async_write(*socket, asio::buffer(answer), asTuple);
            request.clear();
            co_await asio::async_read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
            BOOST_TEST(!server.caller.isReceiving(gateway::now()));
            co_await asio::async_write(*socket, asio::buffer(answer, answer.size() - 1), asTuple);
            co_await asio::post(server.io, asio::use_awaitable);
            socket->close();
        },
        asio::detached);
    server.io.run();
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_stops_arriving_is_given_up, slow_server)
{
    play(20, 3, 1ms, 100ms);
    BOOST_TEST(!answer.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/requests/callerconnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using boost::asio::ip::tcp;
using gateway::caller_connection;
using gateway::read_status;

BOOST_TEST_DONT_PRINT_LOG_VALUE(gateway::read_status)

namespace {

const std::string request = "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n";

/// A caller and the node's end of its connection, in one I/O context that the test runs.
struct caller_pair {
    caller_pair()
    {
        tcp::acceptor acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 });
        caller.connect(acceptor.local_endpoint());
        connection = std::make_shared<caller_connection>(acceptor.accept());
    }

    void readRequest()
    {
        boost::asio::co_spawn(
            io,
            [this]() -> boost::asio::awaitable<void> {
                const auto outcome = co_await connection->readRequest({});
                if (outcome.status == read_status::Request)
                    isOpen = !co_await connection->write(std::string("x"));
                status = outcome.status;
            },
            boost::asio::detached);
    }

    /// Runs `work` after `turns` rounds of the executor's queue.
    void after(unsigned turns, std::function<void()> work)
    {
        if (turns == 0)
            return work();
        boost::asio::post(io, [this, turns, work = std::move(work)] { after(turns - 1, work); });
    }

    boost::asio::io_context io { 1 };
    tcp::socket caller { io };
    std::shared_ptr<caller_connection> connection;
    std::optional<read_status> status;
    bool isOpen = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_connections)

// Guards against a connection that is closed as idle while its request is being processed: the bytes had been
// read, the coroutine that waits for them had not resumed yet, and a node that was shutting down closed its
// idle connections. The request was served, but its response had no connection.
BOOST_AUTO_TEST_CASE(a_connection_whose_request_was_read_is_not_closed_as_idle)
{
    constexpr unsigned maxTurns = 6; // the coroutine resumes after two
    for (unsigned turns = 0; turns < maxTurns; ++turns) {
        caller_pair pair;
        boost::asio::write(pair.caller, boost::asio::buffer(request));
        pair.readRequest();
        pair.after(turns, [&] { pair.connection->endIfIdle(); });
        while (!pair.status)
            pair.io.run_one();
        BOOST_TEST_CONTEXT("turns " << turns)
        {
            BOOST_TEST((pair.status == read_status::Request));
            BOOST_TEST(pair.isOpen);
        }
    }
}

// Guards against a request that fills the memory of the node with bytes that no parser takes.
BOOST_AUTO_TEST_CASE(framing_without_end_is_no_request)
{
    constexpr std::size_t total = 4'000'000; // bytes; far more than any framing has
    for (const std::string framing : { "0", "5;name=", "0\r\nX-Trailer: " }) {
        caller_pair pair;
        const std::string head
            = "POST /look/1 HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string bytes = head + framing + std::string(total, '0');
        boost::asio::async_write(pair.caller, boost::asio::buffer(bytes),
            [&](const boost::system::error_code&, std::size_t) { pair.caller.close(); });
        pair.readRequest();
        while (!pair.status)
            pair.io.run_one();
        BOOST_TEST_CONTEXT("framing " << framing)
        BOOST_TEST((pair.status == read_status::Malformed));
    }
}

// A caller that closes its connection before its request is processed waits for no response, so no server
// should work for it.
BOOST_AUTO_TEST_CASE(a_caller_that_has_left_is_noticed_at_once)
{
    caller_pair pair;
    boost::asio::write(pair.caller, boost::asio::buffer(request));
    pair.caller.close();
    pair.readRequest();
    while (!pair.status)
        pair.io.run_one();
    BOOST_TEST((pair.status == read_status::Request));
    bool isGone = false;
    pair.connection->watch([&] { isGone = true; });
    BOOST_TEST(isGone);
}

BOOST_AUTO_TEST_SUITE_END()

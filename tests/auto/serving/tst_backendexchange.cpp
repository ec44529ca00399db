#include "serving/backendexchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// One exchange with a server that sends these bytes, whatever it is asked, and closes.
struct exchange_outcome {
    exchange_outcome(const std::string& method, const std::string& bytes)
    {
        asio::io_context io;
        tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
        tcp::socket socket(io);
        socket.connect(acceptor.local_endpoint());
        tcp::socket server = acceptor.accept();
        asio::async_write(server, asio::buffer(bytes), [&](const boost::system::error_code&, std::size_t) {
            boost::system::error_code ignored; // the exchange may have closed its end
            server.shutdown(tcp::socket::shutdown_send, ignored);
        });
        auto exchange = std::make_unique<serving::backend_exchange>(
            std::make_unique<serving::backend_connection>(serving::net_stream(std::move(socket))), 10s);
        bool isOver = false;
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                co_await run(*exchange, method);
                exchange.reset();
                isOver = true;
            },
            asio::detached);
        while (!isOver)
            io.run_one();
    }

    asio::awaitable<void> run(serving::backend_exchange& exchange, const std::string& method)
    {
        serving::backend_request request;
        request.method = method;
        request.target = "/";
        request.host = "server";
        co_await exchange.send(request);
        hasHead = (co_await exchange.readHead()).has_value();
        while (hasHead) {
            const auto bytes = co_await exchange.readSome();
            if (!bytes)
                break;
            isWhole = bytes->empty();
            if (isWhole)
                break;
        }
        detail = exchange.failure().detail;
    }

    bool hasHead = false;
    bool isWhole = false;
    std::string detail; ///< of the failure
};

} // namespace

BOOST_AUTO_TEST_SUITE(backend_exchanges)

// Guards against a response that fills the memory of the node with bytes that no parser takes.
BOOST_AUTO_TEST_CASE(framing_without_end_is_no_response)
{
    constexpr std::size_t total = 4'000'000; // bytes; far more than any framing has
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string framing : { "~", "0", "5;name=", "0\r\nX-Trailer: " }) {
        const exchange_outcome outcome("GET", head + framing + std::string(total, '0'));
        BOOST_TEST_CONTEXT("framing " << framing)
        {
            BOOST_TEST(!outcome.isWhole);
            BOOST_TEST(outcome.detail == "buffer overflow");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

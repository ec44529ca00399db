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
#include <vector>

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// How the server ends its connection.
enum class server_end {
    Close,
    Reset
};

/// One exchange with a server that sends these bytes, whatever it is asked, reads nothing and ends the
/// connection.
struct exchange_outcome {
    exchange_outcome(const std::string& method, const std::string& bytes, std::string requestBody = {},
        server_end end = server_end::Close)
        : body(std::move(requestBody))
    {
        asio::io_context io;
        tcp::acceptor acceptor(io, { asio::ip::address_v4::loopback(), 0 });
        tcp::socket socket(io);
        socket.connect(acceptor.local_endpoint());
        tcp::socket server = acceptor.accept();
        asio::async_write(server, asio::buffer(bytes), [&](const boost::system::error_code&, std::size_t) {
            boost::system::error_code ignored; // the exchange may have closed its end
            if (end == server_end::Close) {
                server.shutdown(tcp::socket::shutdown_send, ignored);
                return;
            }
            server.set_option(asio::socket_base::linger(true, 0), ignored);
            server.close(ignored);
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
        request.body = body;
        const auto sendFailure = co_await exchange.send(request);
        detail = exchange.failure().detail;
        if (sendFailure)
            co_return;
        const auto head = co_await exchange.readHead();
        hasHead = head.has_value();
        status = hasHead ? head->status : 0;
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

    std::string body; ///< of the request
    bool hasHead = false;
    int status = 0;
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

// Guards against a response whose head stops half way and that is taken for a whole one without a body.
BOOST_AUTO_TEST_CASE(cut_head_is_no_response)
{
    const std::vector<std::string> heads { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nServer: s\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" };
    for (const std::string& head : heads) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            for (const std::string method : { "GET", "HEAD" }) {
                const exchange_outcome outcome(method, head.substr(0, cut));
                BOOST_TEST(!outcome.hasHead, method << ' ' << head.substr(0, cut));
                BOOST_TEST(!outcome.isWhole);
            }
        }
    }
}

// Guards against a response that HTTP does not define and that is forwarded as a response of the server.
BOOST_AUTO_TEST_CASE(status_out_of_range_is_no_response)
{
    for (const std::string status : { "000", "001", "099", "600", "999" }) {
        const std::string final = "HTTP/1.1 " + status + " X\r\nContent-Length: 5\r\n\r\nwhole";
        BOOST_TEST(!exchange_outcome("GET", final).hasHead, status);
        BOOST_TEST(!exchange_outcome("GET", "HTTP/1.1 103 Early Hints\r\n\r\n" + final).hasHead, status);
    }
}

// Guards against a body that is not the server's: still in a coding, or with the heads of its chunks.
BOOST_AUTO_TEST_CASE(unknown_transfer_coding_is_no_response)
{
    for (const std::string codings : { "chunked, identity", "gzip, chunked", "gzip", "identity",
             "identity\r\nTransfer-Encoding: chunked" }) {
        const exchange_outcome outcome(
            "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codings + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
        BOOST_TEST(!outcome.hasHead, codings);
    }
    BOOST_TEST(exchange_outcome(
        "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
                   .isWhole);
}

// Guards against a header line that is forwarded in another form than the server's, or that hides another.
BOOST_AUTO_TEST_CASE(malformed_header_name_is_no_response)
{
    using namespace std::string_literals;
    for (const std::string& line :
        { "X Name: v"s, "X-Name : v"s, " X-Name: v"s, "X\tName: v"s, "X\x01Name: v"s, "X\0Name: v"s,
            "X\x7fName: v"s, "X\x80Name: v"s, "X(Name: v"s, ": v"s, "X-Name"s }) {
        const exchange_outcome outcome(
            "GET", "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nwhole");
        BOOST_TEST(!outcome.hasHead, line);
    }
}

// Guards against a part of a response that is taken for a whole one: the server responds without a length and
// resets the connection while it is still being sent the request.
BOOST_AUTO_TEST_CASE(reset_while_the_request_is_sent_is_no_response)
{
    constexpr std::size_t longBody = 16'000'000; // bytes; fits into no buffers
    const exchange_outcome outcome(
        "POST", "HTTP/1.1 200 OK\r\n\r\npart", std::string(longBody, 'x'), server_end::Reset);
    BOOST_TEST(!outcome.isWhole);
    BOOST_TEST(!outcome.detail.empty());
}

// Guards against an interim response that is taken for the answer, or as many as a server likes to send.
BOOST_AUTO_TEST_CASE(interim_responses_are_skipped)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n";
    const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    const exchange_outcome answered("GET", interim + interim + final);
    BOOST_TEST(answered.status == 200);
    BOOST_TEST(answered.isWhole);
    std::string flood;
    for (unsigned i = 0; i < 100; ++i)
        flood += interim;
    BOOST_TEST(!exchange_outcome("GET", flood + final).hasHead);
}

BOOST_AUTO_TEST_SUITE_END()

#include "platform/storeclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>
#include <vector>

namespace asio = boost::asio;
using asio::ip::tcp;
using gateway::store_status;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// A store of three items, one a page. It closes the connection instead of answering the calls that are to
/// fail.
struct paged_store {
    asio::io_context io;
    tcp::acceptor acceptor { io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0) };
    platform::store_client client { io.get_executor(), acceptor.local_endpoint() };
    std::vector<std::string> targets; ///< of all calls
    std::set<std::size_t> failing; ///< numbers of the calls that are to fail, from 1

    asio::awaitable<void> serve()
    {
        while (acceptor.is_open()) {
            auto [error, socket] = co_await acceptor.async_accept(asTuple);
            if (!error)
                co_await serveConnection(std::move(socket));
        }
    }

    asio::awaitable<void> serveConnection(tcp::socket socket)
    {
        std::string bytes;
        while (true) {
            const auto [error, length]
                = co_await asio::async_read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", asTuple);
            if (error)
                co_return;
            const std::string head = bytes.substr(0, length);
            bytes.erase(0, length);
            targets.push_back(head.substr(4, head.find(' ', 4) - 4));
            if (failing.contains(targets.size()))
                co_return;
            const std::string body = pageFor(targets.back());
            const std::string answer
                = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            co_await asio::async_write(socket, asio::buffer(answer), asTuple);
        }
    }

    /// The page behind the key that the target names; the revision of the store rises with each call.
    std::string pageFor(const std::string& target) const
    {
        const std::size_t at = target.find("after=k");
        const int next = at == std::string::npos ? 1 : target[at + 7] - '0' + 1;
        return R"({"items":[{"key":"k)" + std::to_string(next)
            + R"(","value":"eA==","revision":3,"createRev":3,"lease":0}],"hasMore":)"
            + (next < 3 ? "true" : "false") + R"(,"asOf":)" + std::to_string(100 + targets.size()) + "}";
    }

    /// Reads the range as often as there are statuses expected, and returns the last result.
    gateway::store_range read(const std::vector<store_status>& expected)
    {
        gateway::store_range last;
        asio::co_spawn(io, serve(), asio::detached);
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                for (const store_status status : expected) {
                    last = co_await client.range(std::string());
                    BOOST_TEST((last.status == status));
                }
                client.close();
                acceptor.close();
            },
            asio::detached);
        io.run();
        return last;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(client_of_the_store)

BOOST_FIXTURE_TEST_CASE(a_range_is_read_page_by_page, paged_store)
{
    const gateway::store_range range = read({ store_status::Done });
    BOOST_TEST(range.items.size() == 3u);
    BOOST_TEST(range.asOf == 101u);
}

// Hundreds of nodes read thousands of entries at once and pages come late. Guards against nodes that begin
// anew after each late page, so that none of them ever has all.
BOOST_FIXTURE_TEST_CASE(a_range_is_read_on_behind_the_page_that_failed, paged_store)
{
    failing = { 2, 4 };
    const gateway::store_range range
        = read({ store_status::NoAnswer, store_status::NoAnswer, store_status::Done });
    BOOST_REQUIRE(range.items.size() == 3u);
    BOOST_TEST(range.items.at(0).key == "k1");
    BOOST_TEST(range.items.at(2).key == "k3");
    // A watch goes on from the revision of the first page.
    BOOST_TEST(range.asOf == 101u);
    BOOST_TEST(targets.size() == 5u);
}

// Guards against a complete read that is taken for the beginning of the next one.
BOOST_FIXTURE_TEST_CASE(a_read_after_a_complete_one_begins_anew, paged_store)
{
    const gateway::store_range range = read({ store_status::Done, store_status::Done });
    BOOST_TEST(range.items.size() == 3u);
    BOOST_TEST(range.asOf == 104u);
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/peers/peerlink.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <numeric>

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
// 1,000,000 bytes: the largest value of the store, and 0.8 s over a link of 10 Mbit/s.
constexpr std::size_t largeConfiguration = 1000000;

gateway::view_copy largeCopy()
{
    gateway::view_copy copy;
    copy.configuration.push_back({ { "config", std::string(largeConfiguration, 'x'), 7 } });
    copy.isFull = false;
    copy.serversAsOf = 9;
    return copy;
}

/// Proxies connections to a holder's port, with 10 Mbit/s in the direction of the asking node.
class slow_link {
public:
    slow_link(asio::io_context& io, tcp::endpoint holder)
        : m_io(io)
        , m_holder(std::move(holder))
        , m_acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::co_spawn(io, accept(), asio::detached);
    }
    tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

private:
    using socket_ptr = std::shared_ptr<tcp::socket>;

    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, accepted] = co_await m_acceptor.async_accept(asTuple);
            if (error)
                co_return;
            const auto near = std::make_shared<tcp::socket>(std::move(accepted));
            const auto far = std::make_shared<tcp::socket>(m_io);
            const auto [connectError] = co_await far->async_connect(m_holder, asTuple);
            if (connectError)
                continue;
            asio::co_spawn(m_io, carry(near, far, 0ms), asio::detached);
            asio::co_spawn(m_io, carry(far, near, chunkDelay), asio::detached);
        }
    }

    asio::awaitable<void> carry(socket_ptr from, socket_ptr to, utils::duration pause)
    {
        std::string bytes(chunkSize, '\0');
        asio::steady_timer timer(m_io);
        while (true) {
            const auto [error, count] = co_await from->async_read_some(asio::buffer(bytes), asTuple);
            if (error)
                break;
            timer.expires_after(pause);
            co_await timer.async_wait(asTuple);
            const auto [writeError, written]
                = co_await asio::async_write(*to, asio::buffer(bytes, count), asTuple);
            if (writeError)
                break;
        }
        boost::system::error_code ignored; // the other side sees the end of the stream either way
        to->shutdown(tcp::socket::shutdown_send, ignored);
    }

    static constexpr std::size_t chunkSize = 25000; // bytes
    static constexpr utils::duration chunkDelay = 20ms;

    asio::io_context& m_io;
    tcp::endpoint m_holder;
    tcp::acceptor m_acceptor;
};

/// A node that holds a large copy, and a node that asks for it.
struct link_fixture {
    asio::io_context io;
    std::shared_ptr<gateway::peer_link> holder = makeLink();
    std::shared_ptr<gateway::peer_link> asking = makeLink();
    tcp::endpoint address;

    link_fixture()
    {
        // The link uses one port number for both TCP and UDP; the probe finds one that is free for TCP.
        tcp::acceptor probe(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        address = probe.local_endpoint();
        probe.close();
        holder->listen(address);
    }
    ~link_fixture()
    {
        holder->close();
        asking->close();
    }

    std::shared_ptr<gateway::peer_link> makeLink()
    {
        gateway::peer_events events;
        events.onHeartbeat = [](const gateway::peer_heartbeat&) {};
        events.makeCopy = [](const gateway::view_request&) { return largeCopy(); };
        return std::make_shared<gateway::peer_link>(io.get_executor(), std::move(events));
    }

    /// The copy received from that address; nothing if the fetch failed.
    std::optional<gateway::view_copy> fetch(const tcp::endpoint& endpoint)
    {
        std::optional<gateway::view_copy> result;
        bool isDone = false;
        const std::string text = endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
        asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                gateway::fetched_copy copy = co_await asking->fetchView(text, {});
                if (copy.outcome == gateway::copy_outcome::Done)
                    result = std::move(copy.view);
                isDone = true;
            },
            asio::detached);
        while (!isDone)
            io.run_one();
        return result;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(link_between_peers)

BOOST_FIXTURE_TEST_CASE(a_copy_arrives_complete, link_fixture)
{
    const auto copy = fetch(address);
    BOOST_REQUIRE(copy.has_value());
    BOOST_TEST(copy->serversAsOf == 9u);
    BOOST_TEST(copy->configuration.front().item.value.size() == largeConfiguration);
}

// Guards against abandoning a fetch while its data arrives and starting over with the next peer: over a slow
// link no large copy was ever completed, and partial copies saturated the link.
BOOST_FIXTURE_TEST_CASE(a_large_copy_arrives_complete_over_a_slow_link, link_fixture)
{
    slow_link link(io, address);
    const auto copy = fetch(link.address());
    BOOST_REQUIRE(copy.has_value());
    BOOST_TEST(copy->configuration.front().item.value.size() == largeConfiguration);
}

// Guards against a node that queues copies for all askers at its link at once: all its requests, answers and
// calls to the store wait behind them.
BOOST_FIXTURE_TEST_CASE(copies_that_are_not_read_do_not_fill_the_link, link_fixture)
{
    // A tenth of a second at 10 Mbit/s.
    constexpr std::size_t maxQueuedBytes = 125000;
    std::vector<tcp::socket> peers;
    for (int i = 0; i < 8; ++i) {
        gateway::view_request wanted;
        wanted.part = i % 2 == 0 ? gateway::view_part::Servers : gateway::view_part::Configuration;
        const std::string request = gateway::encodeRequest(wanted);
        peers.emplace_back(io);
        peers.back().connect(address);
        asio::write(peers.back(), asio::buffer(request));
    }
    io.run_for(200ms);
    const std::size_t arrived = std::accumulate(peers.begin(), peers.end(), std::size_t(0),
        [](std::size_t sum, const tcp::socket& peer) { return sum + peer.available(); });
    BOOST_TEST(arrived > 0u);
    BOOST_TEST(arrived <= maxQueuedBytes);
}

BOOST_AUTO_TEST_SUITE_END()

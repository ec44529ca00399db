#include "gatewaytestbed.h"

#include "gateway/peermessages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace asio = boost::asio;
using platform_standin::store_mode;

namespace {

/// A peer whose datagrams arrive and that answers nothing else: its link, or that of the node, is full.
class unresponsive_peer {
public:
    unresponsive_peer(std::string name, const std::string& address, unsigned short port)
        : m_name(std::move(name))
        , m_address(address + ':' + std::to_string(port))
        , m_socket(m_io, asio::ip::udp::endpoint(asio::ip::make_address(address), port))
        , m_acceptor(m_io, asio::ip::tcp::endpoint(asio::ip::make_address(address), port))
    {
    }

    /// Tells the node that it follows the store and knows all changes up to that revision.
    void tell(const gateway_node& node, unsigned short peerPort, std::uint64_t serversRevision)
    {
        gateway::peer_heartbeat beat;
        beat.node = m_name;
        beat.address = m_address;
        beat.bootId = 1;
        beat.sequence = ++m_sequence;
        beat.serversRevision = serversRevision;
        beat.followsStore = true;
        beat.isSettled = true;
        beat.omitsLists = true;
        m_socket.send_to(
            asio::buffer(gateway::encodeHeartbeat(beat)), { asio::ip::make_address(node.address), peerPort });
    }

private:
    asio::io_context m_io;
    std::string m_name;
    std::string m_address;
    asio::ip::udp::socket m_socket;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint64_t m_sequence = 0;
};

} // namespace

// What a node does while it knows that its view of the backend servers is old.
BOOST_AUTO_TEST_SUITE(gateway_view)

// Guards against requests that are sent to servers that have left, by a view that the node knows to be old.
// Once no peer tells of more, the view is the best there is, and the node serves on by it.
BOOST_FIXTURE_TEST_CASE(a_node_that_knows_it_lacks_changes_sends_nothing, ready_testbed)
{
    constexpr std::uint64_t later = 1000; // a revision that this node never gets
    unresponsive_peer first("muted-1", "127.0.7.1", peerPort());
    unresponsive_peer second("muted-2", "127.0.7.2", peerPort());
    store().setMode(node(0).storePort, store_mode::Silent);
    BOOST_TEST(ask(node(0), question("GET", "/look/1")).status == 200);
    http_reply reply;
    BOOST_TEST(waitUntil([&] {
        first.tell(node(0), peerPort(), later);
        second.tell(node(0), peerPort(), later);
        reply = ask(node(0), question("GET", "/look/1"));
        return reply.status == 503;
    }));
    BOOST_TEST(reply.headers.contains("Retry-After"));
    const std::size_t before = press(0).requestCount() + press(1).requestCount();
    first.tell(node(0), peerPort(), later);
    BOOST_TEST(ask(node(0), question("POST", "/pay/1", "5")).status == 503);
    BOOST_TEST(press(0).requestCount() + press(1).requestCount() == before);
    BOOST_TEST(waitUntil([&] { return ask(node(0), question("GET", "/look/1")).status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

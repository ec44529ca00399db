#include "gatewaytestbed.h"

#include "gateway/peers/peermessages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace asio = boost::asio;
using platform_standin::store_mode;

namespace {

/// A peer that sends heartbeats and answers nothing, as when its link or that of the node is saturated.
class unresponsive_peer {
public:
    unresponsive_peer(std::string name, const std::string& address, unsigned short port)
        : m_name(std::move(name))
        , m_address(address + ':' + std::to_string(port))
        , m_socket(m_io, asio::ip::udp::endpoint(asio::ip::make_address(address), port))
        , m_acceptor(m_io, asio::ip::tcp::endpoint(asio::ip::make_address(address), port))
    {
    }

    /// Sends a heartbeat: the peer follows the store and has all changes up to that revision.
    void sendHeartbeat(const gateway_node& node, unsigned short peerPort, std::uint64_t serversRevision)
    {
        gateway::peer_heartbeat heartbeat;
        heartbeat.node = m_name;
        heartbeat.address = m_address;
        heartbeat.bootId = 1;
        heartbeat.sequence = ++m_sequence;
        heartbeat.serversRevision = serversRevision;
        heartbeat.followsStore = true;
        heartbeat.isSettled = true;
        heartbeat.omitsLists = true;
        m_socket.send_to(asio::buffer(gateway::encodeHeartbeat(heartbeat)),
            { asio::ip::make_address(node.address), peerPort });
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

// A node that knows its view of the backend servers to be outdated.
BOOST_AUTO_TEST_SUITE(gateway_view)

// Guards against requests to servers that have left, sent by a node that knows its view to be outdated. Once
// no peer reports a newer revision any more, the view is the best available and the node serves again.
BOOST_FIXTURE_TEST_CASE(a_node_with_a_known_outdated_view_sends_no_requests, ready_testbed)
{
    constexpr std::uint64_t unreachableRevision = 1000; // a revision that this node never receives
    unresponsive_peer first("muted-1", "127.0.7.1", peerPort());
    unresponsive_peer second("muted-2", "127.0.7.2", peerPort());
    store().setMode(node(0).storePort, store_mode::Silent);
    BOOST_TEST(ask(node(0), question("GET", "/look/1")).status == 200);
    http_reply reply;
    BOOST_TEST(waitUntil([&] {
        first.sendHeartbeat(node(0), peerPort(), unreachableRevision);
        second.sendHeartbeat(node(0), peerPort(), unreachableRevision);
        reply = ask(node(0), question("GET", "/look/1"));
        return reply.status == 503;
    }));
    BOOST_TEST(reply.headers.contains("Retry-After"));
    const std::size_t before = press(0).requestCount() + press(1).requestCount();
    first.sendHeartbeat(node(0), peerPort(), unreachableRevision);
    BOOST_TEST(ask(node(0), question("POST", "/pay/1", "5")).status == 503);
    BOOST_TEST(press(0).requestCount() + press(1).requestCount() == before);
    BOOST_TEST(waitUntil([&] { return ask(node(0), question("GET", "/look/1")).status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

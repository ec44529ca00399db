#include "gateway/peers/peerforwarder.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace {

const std::string service = "engines";

/// A node with peers that tell what they hear of one service.
class peers_fixture {
public:
    peers_fixture()
        : m_context(m_io.get_executor(), {})
        , m_peers("vm-0", "127.0.0.1:1", 1)
        , m_forwarder(m_context, m_peers)
    {
        m_plan.configuration = std::make_shared<catalogue::configuration>();
        m_plan.route = &m_route;
        m_plan.service = service;
    }

    /// The peer sends a heartbeat at `time`.
    void tell(const std::string& peer, bool isInUse, bool isQuiet, utils::duration time)
    {
        gateway::peer_heartbeat heartbeat;
        heartbeat.node = peer;
        heartbeat.address = "127.0.0.2:7000";
        heartbeat.bootId = 7;
        heartbeat.sequence = ++m_sequence;
        heartbeat.forwardPort = 7001;
        if (isQuiet)
            heartbeat.cutOffServices.push_back({ service });
        BOOST_REQUIRE(m_peers.applyHeartbeat(heartbeat, at(time)));
        m_peers.setServicesInUse(
            peer, isInUse ? std::set<std::string> { service } : std::set<std::string>(), at(time));
    }
    /// The peer for an attempt that has received nothing since `since`; empty if there is none.
    std::string chosen(utils::duration since, utils::duration now) const
    {
        const auto target = m_forwarder.chooseHearing(m_plan, {}, 1, at(since), at(now));
        return target ? target->node : std::string();
    }

private:
    static utils::time_point at(utils::duration time) { return utils::time_point() + 1h + time; }

    boost::asio::io_context m_io;
    gateway::node_context m_context;
    gateway::peer_table m_peers;
    gateway::peer_forwarder m_forwarder;
    catalogue::route m_route;
    gateway::request_plan m_plan;
    std::uint64_t m_sequence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peerforwarder)

// Guards against handing a stalled stream to a peer that has lost the same servers.
BOOST_FIXTURE_TEST_CASE(peers_that_hear_nothing_get_no_stalled_attempt, peers_fixture)
{
    tell("vm-1", true, true, 1s);
    tell("vm-2", false, false, 1s);
    BOOST_TEST(chosen(0s, 1100ms).empty());
    tell("vm-3", true, false, 1s);
    BOOST_TEST(chosen(0s, 1100ms) == "vm-3");
}

// Guards against news from before the silence that passes for a sign of life.
BOOST_FIXTURE_TEST_CASE(what_peers_told_before_the_silence_says_nothing, peers_fixture)
{
    tell("vm-1", true, false, 300ms);
    BOOST_TEST(chosen(0s, 900ms).empty());
    tell("vm-1", true, false, 800ms);
    BOOST_TEST(chosen(0s, 900ms) == "vm-1");
}

// Guards against a node with all callers of a service that gets no help because its peers have none.
BOOST_FIXTURE_TEST_CASE(idle_peers_help_where_none_is_quiet, peers_fixture)
{
    tell("vm-1", false, false, 800ms);
    BOOST_TEST(chosen(0s, 900ms) == "vm-1");
}

BOOST_AUTO_TEST_SUITE_END()

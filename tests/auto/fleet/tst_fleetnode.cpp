#include "fleetchecks.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace fleetchecks;

BOOST_AUTO_TEST_SUITE(fleetnode)

BOOST_AUTO_TEST_CASE(seven_nodes_that_start_together_are_soon_current_and_agree)
{
    virtual_fleet fleet({});
    BOOST_REQUIRE(fleet.runUntil([&] { return areAllCurrent(fleet) && doAllAgree(fleet); }, 10s));
    const utils::server_id server("engine-1");
    const auto home = fleet.node(0).homes().homeOf(server, utils::data_centre_id("dc-1"));
    for (std::size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST((fleet.node(i).homes().homeOf(server, utils::data_centre_id("dc-1")) == home));
    BOOST_TEST(fleet.node(0).state() == "current");
}

BOOST_AUTO_TEST_CASE(a_killed_node_is_dead_to_all_within_seconds)
{
    // A VM fails without announcing that it leaves. Direct and relayed probes of it are unanswered, it is
    // suspected, has two seconds to refute the suspicion, and is then dead in the view of all nodes.
    virtual_fleet fleet({});
    fleet.run(10s);
    fleet.kill(3);
    const auto detected = fleet.runUntil([&] { return doAllAgree(fleet); }, 30s);
    BOOST_REQUIRE(detected.has_value());
    BOOST_TEST(utils::toSeconds(*detected) < 8);
}

BOOST_AUTO_TEST_CASE(packet_loss_causes_no_false_deaths)
{
    // One datagram in twenty is lost for five minutes, so probes of healthy nodes sometimes fail. Without
    // relayed probes and the time for refutation, callers would see homes move needlessly.
    virtual_fleet fleet({});
    fleet.run(10s);
    bool hasFalseDeath = false;
    for (int second = 0; second < 300; ++second) {
        fleet.run(1s);
        hasFalseDeath = hasFalseDeath || !doAllAgree(fleet) || !areAllCurrent(fleet);
    }
    BOOST_TEST(!hasFalseDeath);
}

BOOST_AUTO_TEST_CASE(a_cut_link_between_two_nodes_causes_no_false_deaths)
{
    // Two nodes cannot reach each other, but all other nodes reach both. Each learns from the other nodes
    // that its peer is alive: views stay equal, no home moves, and few suspicions have to be refuted.
    virtual_fleet fleet({});
    fleet.run(10s);
    fleet.network().setCut(virtual_fleet::name(0), virtual_fleet::name(1), true);
    fleet.network().setCut(virtual_fleet::name(1), virtual_fleet::name(0), true);
    bool doAgree = true;
    for (int second = 0; second < 60; ++second) {
        fleet.run(1s);
        doAgree = doAgree && doAllAgree(fleet);
    }
    BOOST_TEST(doAgree);
    BOOST_TEST(fleet.node(0).members().refutations() + fleet.node(1).members().refutations() < 8U);
}

BOOST_AUTO_TEST_CASE(a_paused_node_suspects_no_other_node)
{
    // A process is stopped for five seconds just after it sent a probe. When it resumes, its timer fires
    // before the answers queued in its socket are read, so the probe appears unanswered. Without the pause
    // check the node would suspect a healthy node, and every suspicion is sent to the whole fleet.
    virtual_fleet fleet({});
    fleet.run(10s);
    unsigned suspects = 0;
    for (int pause = 0; pause < 20; ++pause) {
        const std::uint64_t sent = fleet.traffic(2).packetsSent;
        fleet.runUntil([&] { return fleet.traffic(2).packetsSent > sent; }, 2s, 100us);
        fleet.stop(2);
        fleet.run(5s);
        fleet.resume(2, true);
        for (const auto& [id, m] : fleet.node(2).members().members().all())
            suspects += m.state != fleet::member_state::Alive ? 1 : 0;
        fleet.run(3s);
    }
    BOOST_TEST(suspects == 0U);
    BOOST_TEST(doAllAgree(fleet));
}

BOOST_AUTO_TEST_CASE(a_network_partition_heals_without_a_restart)
{
    virtual_fleet fleet({});
    fleet.run(10s);
    fleet.network().split({ { virtual_fleet::name(0), virtual_fleet::name(1), virtual_fleet::name(2) },
        { virtual_fleet::name(3), virtual_fleet::name(4), virtual_fleet::name(5), virtual_fleet::name(6) } });
    fleet.run(30s);
    BOOST_TEST(fleet.node(0).homes().candidates().size() == 3U);
    BOOST_TEST(fleet.node(6).homes().candidates().size() == 4U);
    fleet.network().mendAll();
    BOOST_TEST(fleet.runUntil([&] { return doAllAgree(fleet) && areAllCurrent(fleet); }, 20s).has_value());
}

BOOST_AUTO_TEST_CASE(a_leaving_node_hands_over_its_servers_within_two_seconds)
{
    // An operator replaces a VM. Its servers must have another home within two seconds. While one of its
    // requests is in flight, the node stays so that the caller's stream is not cut; then it leaves on its
    // own.
    virtualfleet::fleet_options options;
    options.servers = servers(12);
    virtual_fleet fleet(options);
    fleet.run(20s);
    const utils::server_id busy = [&] {
        for (const fleet::homed_server& server : options.servers) {
            if (fleet.node(0).shareOf(server.id, fleet.now()) > 0)
                return server.id;
        }
        return utils::server_id();
    }();
    BOOST_REQUIRE(!busy.isEmpty());
    fleet.with(0, [&](fleet::fleet_node& node, utils::time_point now) { node.setInFlight(busy, 2, now); });
    fleet.leave(0);
    fleet.run(2s);
    std::size_t successor = 0;
    for (const fleet::homed_server& server : options.servers) {
        BOOST_TEST(fleet.node(0).shareOf(server.id, fleet.now()) == 0);
        BOOST_TEST(shareSum(fleet, server.id) > 0);
    }
    for (std::size_t i = 1; i < fleet.size(); ++i)
        successor = fleet.node(i).shareOf(busy, fleet.now()) > 0 ? i : successor;
    BOOST_TEST(fleet.node(successor).handover().inherited(busy) == 2U);
    BOOST_TEST(fleet.node(0).state() == "leaving");
    fleet.with(0, [&](fleet::fleet_node& node, utils::time_point now) { node.setInFlight(busy, 0, now); });
    fleet.run(2s);
    BOOST_TEST(fleet.node(successor).handover().inherited(busy) == 0U);
    BOOST_TEST(!fleet.isRunning(0));
    BOOST_TEST(fleet.runUntil([&] { return doAllAgree(fleet); }, 5s).has_value());
}

BOOST_AUTO_TEST_CASE(control_traffic_stays_within_the_budget)
{
    // Each node may use 2 KB/s for control traffic at any fleet size, including IP and UDP headers.
    for (const std::size_t nodes : { 7U, 50U }) {
        virtualfleet::fleet_options options;
        options.nodes = nodes;
        options.servers = servers(2 * nodes);
        virtual_fleet fleet(options);
        fleet.run(40s);
        fleet.resetTraffic();
        fleet.run(20s);
        for (std::size_t i = 0; i < nodes; ++i) {
            const virtualfleet::node_traffic& traffic = fleet.traffic(i);
            BOOST_TEST(static_cast<double>(traffic.bytesSent + traffic.bytesReceived) / 20 < 2000);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

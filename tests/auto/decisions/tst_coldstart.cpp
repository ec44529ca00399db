#include "decisions/coldstart.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace std::chrono_literals;
using decisions::cold_start_limiter;

namespace {

constexpr double perSecond = 8.7;

const utils::time_point longAgo {}; ///< when processes have started

std::string addressOf(std::size_t node)
{
    return "10.0." + std::to_string(node / 250) + '.' + std::to_string(node % 250) + ":7340";
}

/// Nodes that all want to send to the same cold servers at every moment.
struct eager_fleet {
    explicit eager_fleet(std::size_t size)
        : nodes(size, cold_start_limiter(longAgo))
    {
        for (std::size_t i = 0; i < size; ++i)
            know(i, size);
    }

    /// Lets a node know the first `known` nodes, besides itself.
    void know(std::size_t node, std::size_t known)
    {
        std::vector<std::string> others;
        for (std::size_t i = 0; i < known; ++i) {
            if (i != node)
                others.push_back(addressOf(i));
        }
        nodes.at(node).setNodes(addressOf(node), others);
    }

    /// Plays `length` in steps of 10 ms; returns the most requests that reach the server in one second, and
    /// all.
    std::pair<std::size_t, std::size_t> play(
        const utils::server_id& server, utils::duration length, double rate = perSecond)
    {
        std::deque<utils::time_point> arrivals;
        std::size_t most = 0;
        std::size_t all = 0;
        std::mt19937_64 random(1);
        for (const utils::time_point end = now + length; now < end; now += 10ms) {
            for (cold_start_limiter& node : nodes) {
                if (!node.maySend(server, rate, now))
                    continue;
                node.recordSent(server, now);
                // Some are 200 ms late: their first packet was lost.
                arrivals.push_back(now + (random() % 20 == 0 ? 204ms : 4ms));
                ++all;
            }
            std::ranges::sort(arrivals);
            while (!arrivals.empty() && arrivals.front() <= now - 1s)
                arrivals.pop_front();
            const auto inSecond = std::ranges::count_if(arrivals, [&](auto at) { return at <= now; });
            most = std::max(most, static_cast<std::size_t>(inSecond));
        }
        return { most, all };
    }

    std::vector<cold_start_limiter> nodes;
    utils::time_point now = utils::time_point {} + 1h;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_start)

// A server that comes back cold is the best choice of all nodes at once. Guards against its being overrun, in
// fleets of any size, and against its getting nothing.
BOOST_AUTO_TEST_CASE(all_nodes_together_keep_the_rate_of_a_cold_server)
{
    for (const std::size_t size : { 1U, 2U, 7U, 61U, 300U, 600U }) {
        eager_fleet fleet(size);
        const auto [most, all] = fleet.play(utils::server_id("i-1"), 10s);
        BOOST_TEST_CONTEXT("nodes " << size)
        {
            BOOST_TEST(static_cast<double>(most) <= perSecond);
            BOOST_TEST(static_cast<double>(all) >= perSecond * 10 / 2);
        }
    }
}

// Guards against a bound that holds only where every node knows the whole fleet: here each knows six of ten.
// The bound is 1.5 times the rate and 5 more.
BOOST_AUTO_TEST_CASE(nodes_that_know_a_part_of_the_fleet_keep_the_bound)
{
    eager_fleet fleet(61);
    std::mt19937_64 random(7);
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        std::vector<std::string> others;
        for (std::size_t other = 0; other < fleet.nodes.size(); ++other) {
            if (other != i && random() % 10 < 6)
                others.push_back(addressOf(other));
        }
        fleet.nodes[i].setNodes(addressOf(i), others);
    }
    std::size_t above = 0;
    for (int server = 0; server < 40; ++server) {
        const auto [most, all] = fleet.play(utils::server_id("i-" + std::to_string(server)), 3s);
        above += static_cast<double>(most) > perSecond * 1.5 + 5 ? 1 : 0;
    }
    BOOST_TEST(above == 0u);
}

// Guards against many restarted nodes that know nobody yet and each take themselves for a sender.
BOOST_AUTO_TEST_CASE(a_node_that_does_not_know_its_fleet_sends_nothing_to_cold_servers)
{
    cold_start_limiter limiter(longAgo);
    BOOST_TEST(!limiter.maySend(utils::server_id("i-1"), perSecond, utils::time_point {} + 1h));
}

// A whole data centre is cold at once: the senders differ from server to server, so that every node may send
// somewhere.
BOOST_AUTO_TEST_CASE(every_node_has_cold_servers_of_its_own)
{
    eager_fleet fleet(61);
    for (cold_start_limiter& node : fleet.nodes) {
        int own = 0;
        for (int server = 0; server < 47; ++server)
            own += node.maySend(utils::server_id("i-" + std::to_string(server)), perSecond, fleet.now) ? 1
                                                                                                       : 0;
        BOOST_TEST(own > 0);
        BOOST_TEST(own < 20);
    }
}

// A server that takes one request in four seconds has one sender, which keeps to that.
BOOST_AUTO_TEST_CASE(rates_below_one_a_second_are_kept)
{
    eager_fleet fleet(10);
    const auto [most, all] = fleet.play(utils::server_id("i-1"), 20s, 0.25);
    BOOST_TEST(most == 1u);
    BOOST_TEST(all >= 4u);
    BOOST_TEST(all <= 5u);
}

// A crashed server is back before its entry says so. Guards against all nodes returning to it at once, while
// it is cold, because they believe that it still holds a hot part.
BOOST_AUTO_TEST_CASE(a_server_that_was_unreachable_is_suspect_for_a_while)
{
    cold_start_limiter limiter(longAgo);
    const utils::server_id server("i-1");
    const utils::time_point now = utils::time_point {} + 1h;
    BOOST_TEST(!limiter.isSuspect(server, 3s, now));
    limiter.recordUnreachable(server, now);
    BOOST_TEST(limiter.isSuspect(server, 3s, now + 6s));
    BOOST_TEST(!limiter.isSuspect(server, 3s, now + 7s));
    limiter.expire(now + 3min);
    BOOST_TEST(!limiter.isSuspect(server, 3min, now + 3min));
}

// Guards against cold servers that are overrun by nodes which are killed in series: each process would send
// the part of its second anew.
BOOST_AUTO_TEST_CASE(nodes_killed_in_series_keep_the_rate_of_a_cold_server)
{
    eager_fleet fleet(7);
    const utils::server_id server("i-1");
    for (int kill = 0; kill < 20; ++kill) {
        for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
            fleet.nodes[node] = cold_start_limiter(fleet.now);
            fleet.know(node, fleet.nodes.size());
        }
        const auto [most, all] = fleet.play(server, kill % 2 == 0 ? 700ms : 1900ms);
        BOOST_TEST(static_cast<double>(most) <= perSecond);
        BOOST_TEST((kill % 2 == 0) == (all == 0));
    }
}

BOOST_AUTO_TEST_SUITE_END()

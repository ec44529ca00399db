#include "fleetchecks.h"

#include <boost/test/unit_test.hpp>

#include <random>

#include <rapidcheck/boost_test.h>

using namespace std::chrono_literals;
using namespace fleetchecks;

namespace {

std::vector<utils::node_id> names(const std::vector<std::size_t>& indexes)
{
    std::vector<utils::node_id> list;
    list.reserve(indexes.size());
    for (const std::size_t i : indexes)
        list.push_back(virtual_fleet::name(i));
    return list;
}

double largestShareSumDuring(
    virtual_fleet& fleet, const std::vector<fleet::homed_server>& servers, utils::duration time)
{
    double largest = 0;
    for (utils::duration passed {}; passed < time; passed += 20ms) {
        fleet.run(20ms);
        largest = std::max(largest, largestShareSum(fleet, servers));
    }
    return largest;
}

virtualfleet::fleet_options withServers()
{
    virtualfleet::fleet_options options;
    options.servers = servers(12);
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(handover)

BOOST_AUTO_TEST_CASE(every_server_has_one_home_soon_after_a_start)
{
    virtual_fleet fleet(withServers());
    const auto ready = fleet.runUntil([&] { return smallestShareSum(fleet, servers(12)) == 1.0; }, 20s);
    BOOST_REQUIRE(ready.has_value());
    BOOST_TEST(largestShareSum(fleet, servers(12)) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_joining_node_takes_its_servers_over_without_a_gap_or_an_overlap)
{
    // An eighth VM starts and becomes home of some servers. It admits nothing until the old homes have
    // granted its claims. No engine may have two homes, or be without one for more than a second.
    virtual_fleet fleet(withServers());
    fleet.run(20s);
    const std::vector<fleet::listed_vm> list = fleet.rows(0, 8);
    const std::size_t added = fleet.start(list);
    fleet.setListedEverywhere(list);
    double largest = 0;
    unsigned idleSteps = 0;
    for (int step = 0; step < 1000; ++step) {
        fleet.run(20ms);
        largest = std::max(largest, largestShareSum(fleet, servers(12)));
        idleSteps += smallestShareSum(fleet, servers(12)) > 0 ? 0 : 1;
    }
    BOOST_TEST(largest <= 1 + tolerance);
    BOOST_TEST(idleSteps <= 50U);
    bool isHome = false;
    for (const fleet::homed_server& server : servers(12))
        isHome = isHome || fleet.node(added).shareOf(server.id, fleet.now()) > 0;
    BOOST_TEST(isHome);
}

BOOST_AUTO_TEST_CASE(a_network_partition_and_its_healing_never_exceed_the_cap)
{
    // A network partition separates three of seven nodes from the other four for half a minute. On both sides
    // a node becomes home of each engine. During the partition, the shares of both must add up to at most the
    // cap; after it heals, neither may take the whole cap before the other has granted it.
    virtual_fleet fleet(withServers());
    fleet.run(20s);
    fleet.network().split({ names({ 0, 1, 2 }), names({ 3, 4, 5, 6 }) });
    double largest = largestShareSumDuring(fleet, servers(12), 30s);
    const double during = smallestShareSum(fleet, servers(12));
    fleet.network().mendAll();
    largest = std::max(largest, largestShareSumDuring(fleet, servers(12), 30s));
    BOOST_TEST(largest <= 1 + tolerance);
    BOOST_TEST(during == 1.0, boost::test_tools::tolerance(tolerance)); // both sides serve
    BOOST_TEST(smallestShareSum(fleet, servers(12)) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_resumed_home_never_exceeds_the_cap)
{
    // A home is stopped for fifteen seconds, and another node takes over its engines. When it resumes, it
    // still is home in its own view. It must send a claim before it admits, or the engine gets twice its cap.
    virtual_fleet fleet(withServers());
    fleet.run(20s);
    double largest = 0;
    for (std::size_t stopped = 0; stopped < 7; ++stopped) {
        fleet.stop(stopped);
        largest = std::max(largest, largestShareSumDuring(fleet, servers(12), 15s));
        fleet.resume(stopped);
        largest = std::max(largest, largestShareSum(fleet, servers(12)));
        largest = std::max(largest, largestShareSumDuring(fleet, servers(12), 10s));
    }
    BOOST_TEST(largest <= 1 + tolerance);
    BOOST_TEST(smallestShareSum(fleet, servers(12)) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_dead_home_is_replaced_and_the_server_report_counts)
{
    // A home dies with requests in flight. No node knows how many still run, so the new home waits until T
    // has passed and at first relies on the engine's own load report.
    virtual_fleet fleet(withServers());
    fleet.run(20s);
    fleet.kill(1);
    const auto replaced
        = fleet.runUntil([&] { return smallestShareSum(fleet, servers(12)) > 0.8; }, 30s, 20ms);
    BOOST_REQUIRE(replaced.has_value());
    BOOST_TEST_MESSAGE("replaced after " << utils::toSeconds(*replaced) << " s");
    BOOST_TEST(utils::toSeconds(*replaced) < 12);
    bool countsReport = false;
    for (std::size_t i = 0; i < 7; ++i) {
        for (const fleet::homed_server& server : servers(12))
            countsReport = countsReport
                || (i != 1 && fleet.node(i).handover().countsServerReport(server.id, fleet.now()));
    }
    BOOST_TEST(countsReport);
}

RC_BOOST_PROP(no_history_of_faults_passes_the_cap, ())
{
    // Nodes are stopped, resumed, killed and replaced, network partitions start and heal, and lists lag, in
    // any order for a virtual minute. Checked every 20 ms: the homes of an engine never exceed its cap
    // together, and two seconds' worth of an earlier revision never comes back.
    virtualfleet::fleet_options options = withServers();
    options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    virtual_fleet fleet(options);
    fleet.run(15s);
    const std::vector<int> steps = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 7));
    utils::config_revision revision = 0;
    double largest = 0;
    for (const int step : steps) {
        const auto pick = *rc::gen::inRange<std::size_t>(0, fleet.size());
        switch (step) {
        case 0:
            if (fleet.isAtWork(pick))
                fleet.stop(pick);
            break;
        case 1:
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                if (fleet.isRunning(i) && fleet.isStopped(i))
                    fleet.resume(i);
            }
            break;
        case 2:
            fleet.kill(pick);
            break;
        case 3: {
            std::vector<utils::node_id> first;
            std::vector<utils::node_id> second;
            for (std::size_t i = 0; i < fleet.size(); ++i)
                (*rc::gen::arbitrary<bool>() ? first : second).push_back(virtual_fleet::name(i));
            fleet.network().split({ first, second });
            break;
        }
        case 4:
            fleet.network().mendAll();
            break;
        case 5: {
            // The list is updated to the running nodes and a new one.
            std::vector<fleet::listed_vm> list;
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                if (fleet.isRunning(i))
                    list.push_back(fleet.rowOf(i));
            }
            list.push_back(fleet.rowOf(fleet.size()));
            fleet.start(list);
            fleet.setListedEverywhere(list);
            break;
        }
        default:
            fleet.moveHead(++revision);
            break;
        }
        largest = std::max(largest, largestShareSumDuring(fleet, options.servers, 5s));
    }
    RC_ASSERT(largest <= 1 + tolerance);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        RC_ASSERT(std::ranges::is_sorted(fleet.history(i), std::less_equal<>()));
}

BOOST_AUTO_TEST_SUITE_END()

#include "fleetchecks.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace fleetchecks;

namespace {

std::vector<utils::node_id> names(std::size_t first, std::size_t last)
{
    std::vector<utils::node_id> list;
    list.reserve(last - first + 1);
    for (std::size_t i = first; i <= last; ++i)
        list.push_back(virtual_fleet::name(i));
    return list;
}

/// Samples for `time`. Returns the largest number of partitions that were current at the same time.
std::size_t maxCurrentPartitions(
    virtual_fleet& fleet, const std::vector<std::vector<std::size_t>>& partitions, utils::duration time)
{
    std::size_t largest = 0;
    for (utils::duration passed {}; passed < time; passed += 20ms) {
        fleet.run(20ms);
        std::size_t current = 0;
        for (const auto& partition : partitions) {
            current += std::ranges::any_of(partition, [&](std::size_t i) {
                return fleet.isAtWork(i) && fleet.node(i).evidence().hasMajority(fleet.now());
            });
        }
        largest = std::max(largest, current);
    }
    return largest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(currency)

BOOST_AUTO_TEST_CASE(two_partitions_are_never_both_current_by_majority)
{
    // A network partition separates three of seven nodes from the other four while the platform is down. Once
    // T has passed, callers of the smaller partition must be refused, since an approval may have been revoked
    // on the other side; callers of the larger one are served.
    virtual_fleet fleet({});
    fleet.setPlatformUp(false);
    fleet.run(10s);
    fleet.network().split({ names(0, 2), names(3, 6) });
    fleet.run(fleet.node(0).evidence().window());
    BOOST_TEST(maxCurrentPartitions(fleet, { { 0, 1, 2 }, { 3, 4, 5, 6 } }, 60s) == 1U);
    BOOST_TEST(!fleet.node(1).isCurrent(fleet.now()));
    BOOST_TEST(fleet.node(5).isCurrent(fleet.now()));
    fleet.setPlatformUp(true);
    // With the platform available again, the smaller partition reads the head itself and serves.
    BOOST_TEST(fleet.runUntil([&] { return fleet.node(1).isCurrent(fleet.now()); }, 5s).has_value());
    BOOST_TEST((fleet.node(1).reason(fleet.now()) == fleet::currency_reason::HeadRead));
}

BOOST_AUTO_TEST_CASE(only_one_partition_of_a_large_fleet_is_current)
{
    // As above with fifty nodes, where evidence of twelve witnesses is relayed by other nodes: evidence that
    // circulates within a partition after the cut must not keep it current.
    virtualfleet::fleet_options options;
    options.nodes = 50;
    virtual_fleet fleet(options);
    fleet.setPlatformUp(false);
    fleet.run(20s);
    BOOST_TEST(areAllCurrent(fleet));
    std::vector<std::size_t> first(25);
    std::vector<std::size_t> second(25);
    for (std::size_t i = 0; i < 25; ++i) {
        first[i] = i;
        second[i] = 25 + i;
    }
    fleet.network().split({ names(0, 24), names(25, 49) });
    fleet.run(fleet.node(0).evidence().window());
    BOOST_TEST(maxCurrentPartitions(fleet, { first, second }, 30s) <= 1U);
}

BOOST_AUTO_TEST_CASE(a_stopped_node_is_not_current_when_it_resumes)
{
    // A node is stopped (SIGSTOP) just after it sent a probe. The answer, with the witnesses' times in it, is
    // queued in its socket for half a minute and read first when the node resumes. It must not make the node
    // current, since an approval may have been revoked in the meantime. The answer to a new probe does.
    virtual_fleet fleet({});
    fleet.setPlatformUp(false);
    fleet.run(10s);
    for (int pause = 0; pause < 10; ++pause) {
        const std::uint64_t sent = fleet.traffic(4).packetsSent;
        fleet.runUntil([&] { return fleet.traffic(4).packetsSent > sent; }, 2s, 100us);
        fleet.stop(4);
        fleet.run(30s);
        fleet.resume(4);
        BOOST_TEST(!fleet.node(4).isCurrent(fleet.now()));
        BOOST_TEST(fleet.node(4).capShare(fleet.now()) < 0.2);
        BOOST_TEST(fleet.node(4).state() == "not_current");
        BOOST_TEST(fleet.runUntil([&] { return fleet.node(4).isCurrent(fleet.now()); }, 10s).has_value());
    }
}

BOOST_AUTO_TEST_CASE(differing_lists_do_not_yield_two_majorities)
{
    // One VM is replaced during a network partition. Nodes 0 to 3 still have the old list (0 to 6), nodes 4
    // to 7 the new one (1 to 7), so each side hears four of the seven VMs of its own list. Both sides would
    // be current if the old list did not still count for the nodes that have the new one.
    virtual_fleet fleet({});
    fleet.setPlatformUp(false);
    fleet.run(10s);
    const std::size_t added = fleet.start(fleet.rows(1, 7));
    fleet.run(5s);
    fleet.network().split({ names(0, 3), names(4, 7) });
    fleet.run(fleet.node(0).evidence().window());
    for (std::size_t i = 4; i <= added; ++i)
        fleet.setListed(i, fleet.rows(1, 7));
    BOOST_TEST(maxCurrentPartitions(fleet, { { 0, 1, 2, 3 }, { 4, 5, 6 } }, 8s) == 1U);
}

BOOST_AUTO_TEST_CASE(survivors_of_a_data_centre_loss_serve_immediately_with_the_platform_up)
{
    // Four of seven VMs fail with their data centres. The remaining three are not a majority, but read the
    // head themselves, so callers are served. Each engine gets three sevenths of its cap until the lost VMs
    // are removed from the list, then its whole cap.
    virtualfleet::fleet_options options;
    options.servers = servers(12);
    virtual_fleet fleet(options);
    fleet.run(20s);
    for (const std::size_t lost : { 1, 2, 4, 5 })
        fleet.kill(lost);
    unsigned refusedSteps = 0;
    for (int step = 0; step < 200; ++step) {
        fleet.run(100ms);
        refusedSteps += areAllCurrent(fleet) ? 0 : 1;
    }
    BOOST_TEST(refusedSteps <= 3U); // one round of head reads
    BOOST_TEST(fleet.node(0).capShare(fleet.now()) == 3.0 / 7, boost::test_tools::tolerance(tolerance));
    fleet.setListedEverywhere({ fleet.rowOf(0), fleet.rowOf(3), fleet.rowOf(6) });
    fleet.run(30s);
    BOOST_TEST(fleet.node(0).capShare(fleet.now()) == 1.0);
    BOOST_TEST(smallestShareSum(fleet, options.servers) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_fleet_of_one_is_current)
{
    virtualfleet::fleet_options options;
    options.nodes = 1;
    options.servers = servers(3);
    virtual_fleet fleet(options);
    fleet.setPlatformUp(false);
    fleet.run(5s);
    BOOST_TEST(fleet.node(0).isCurrent(fleet.now()));
    BOOST_TEST(smallestShareSum(fleet, options.servers) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_rolling_replacement_keeps_a_majority_of_nodes_current)
{
    // All seven VMs are replaced one by one within a minute; each old one leaves gracefully, and the list
    // lags by three seconds. Callers must find current nodes at all times, even with the platform down.
    virtualfleet::fleet_options options;
    options.servers = servers(12);
    virtual_fleet fleet(options);
    fleet.run(20s);
    fleet.setPlatformUp(false);
    std::size_t fewestCurrent = fleet.size();
    for (std::size_t i = 0; i < 7; ++i) {
        const std::size_t added = fleet.start(fleet.rows(i + 1, 7));
        fleet.leave(i);
        for (int step = 0; step < 80; ++step) {
            fleet.run(100ms);
            if (step == 30)
                fleet.setListedEverywhere(fleet.rows(i + 1, 7));
            std::size_t current = 0;
            for (std::size_t n = 0; n <= added; ++n)
                current += fleet.isAtWork(n) && fleet.node(n).isCurrent(fleet.now()) ? 1 : 0;
            fewestCurrent = std::min(fewestCurrent, current);
        }
    }
    BOOST_TEST(fewestCurrent >= 4U);
    fleet.run(20s);
    BOOST_TEST(areAllCurrent(fleet));
    BOOST_TEST(smallestShareSum(fleet, options.servers) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

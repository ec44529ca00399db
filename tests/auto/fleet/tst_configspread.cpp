#include "fleetchecks.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using namespace fleetchecks;

BOOST_AUTO_TEST_SUITE(configspread)

BOOST_AUTO_TEST_CASE(a_change_is_in_force_everywhere_within_a_second_at_seven_nodes)
{
    // An operator revokes an approval. Within a second, no node may serve that calling team any more,
    // although one datagram in twenty is lost. The operator must be notified when a majority has the
    // revision.
    virtual_fleet fleet({});
    fleet.run(10s);
    for (utils::config_revision revision = 1; revision <= 20; ++revision) {
        fleet.moveHead(revision);
        const auto taken = fleet.runUntil([&] { return isInForce(fleet, revision); }, 5s, 1ms);
        BOOST_REQUIRE(taken.has_value());
        BOOST_TEST(utils::toSeconds(*taken) < 1.0);
        fleet.with(0, [&](fleet::fleet_node& node, utils::time_point now) { node.confirm(revision, now); });
        const auto told = fleet.runUntil(
            [&] { return fleet.node(0).acknowledged(revision, fleet.now()).isEverywhere(); }, 5s);
        BOOST_TEST(told.has_value());
        BOOST_TEST(fleet.node(0).acknowledged(revision, fleet.now()).isMajority());
    }
}

BOOST_AUTO_TEST_CASE(platform_calls_do_not_grow_with_the_fleet)
{
    // Ten changes are distributed to nine nodes, then to ninety. The numbers of platform calls and of open
    // watches must be the same for both fleet sizes.
    std::vector<std::uint64_t> calls;
    std::vector<std::size_t> watches;
    for (const std::size_t nodes : { 9U, 90U }) {
        virtualfleet::fleet_options options;
        options.nodes = nodes;
        virtual_fleet fleet(options);
        fleet.run(20s);
        const virtualfleet::platform_calls before = fleet.calls();
        for (utils::config_revision revision = 1; revision <= 10; ++revision) {
            fleet.moveHead(revision);
            BOOST_TEST(fleet.runUntil([&] { return isInForce(fleet, revision); }, 5s).has_value());
        }
        calls.push_back(
            fleet.calls().headReads + fleet.calls().documentReads - before.headReads - before.documentReads);
        watches.push_back(fleet.calls().watches);
    }
    BOOST_TEST(calls[0] == calls[1]);
    BOOST_TEST(watches[0] == watches[1]);
    BOOST_TEST(watches[0] == 6U);
}

BOOST_AUTO_TEST_CASE(a_new_node_in_an_outage_takes_the_highest_revision_from_its_peers)
{
    // The platform is down. One node missed the last change and is the first to answer the new VM, which must
    // still reach the newest revision and never return to the earlier one.
    virtual_fleet fleet({});
    fleet.run(10s);
    fleet.moveHead(1);
    fleet.run(5s);
    fleet.stop(2);
    fleet.moveHead(2);
    fleet.run(5s);
    fleet.setPlatformUp(false);
    fleet.resume(2);
    const std::vector<fleet::listed_vm> list = fleet.rows(0, 8);
    const std::size_t added = fleet.start(list);
    const auto taken = fleet.runUntil([&] { return fleet.node(added).spread().inForce() == 2; }, 10s);
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST(fleet.node(added).isCurrent(fleet.now()));
    BOOST_TEST(fleet.runUntil([&] { return isInForce(fleet, 2); }, 10s).has_value());
    BOOST_TEST(std::ranges::is_sorted(fleet.history(added)));
}

BOOST_AUTO_TEST_CASE(an_earlier_revision_that_arrives_late_is_refused)
{
    // Two fetches complete out of order: the response with the earlier document arrives last. Putting it in
    // force would restore the access of a calling team whose approval was revoked.
    fleet::config_spread spread({ utils::node_id("a"), utils::data_centre_id("dc") }, {}, 1);
    const utils::time_point now {};
    spread.onHead(8, now);
    spread.onInForce(8, now);
    BOOST_TEST(!spread.mayAdopt(7));
    BOOST_TEST(!spread.mayAdopt(8));
    BOOST_TEST(spread.mayAdopt(9));
    spread.onHead(5, now); // the platform answers from a stale copy
    BOOST_TEST(spread.known() == 8U);
}

BOOST_AUTO_TEST_CASE(a_node_that_cannot_get_a_known_revision_stops_serving)
{
    // Peers report revision 2, but every fetch fails. After T the node must not be current; otherwise it
    // would continue to serve a calling team whose approval the other nodes no longer accept.
    fleet::currency currency(utils::node_id("n0"), {});
    const utils::time_point start {};
    currency.setListed({ { utils::node_id("n0"), "10.0.0.1:1", utils::data_centre_id("dc"), false } }, start);
    BOOST_TEST(currency.isCurrent(start));
    currency.onRevisions(2, 1, start);
    BOOST_TEST(currency.isCurrent(start + 1s));
    BOOST_TEST(!currency.isCurrent(start + currency.window() + 1ms));
    currency.onRevisions(2, 2, start + 20s);
    BOOST_TEST(currency.isCurrent(start + 20s));
}

BOOST_AUTO_TEST_SUITE_END()

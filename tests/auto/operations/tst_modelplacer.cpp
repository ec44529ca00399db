#include "placerbench.h"

#include "utils/statechart.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace std::chrono_literals;

namespace {

const utils::state_chart& orderChart()
{
    static const utils::state_chart chart
        = utils::state_chart::load(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/charts/order.yaml").value();
    return chart;
}

bool allRun(placer_bench& bench, const std::string& version)
{
    return std::ranges::all_of(
        bench.engines(), [&](const auto& item) { return item.second.running.version == version; });
}

/// Whether no engine applied an order with a lower fencing number after one with a higher number.
bool numbersOnlyGrow(placer_bench& bench)
{
    return std::ranges::all_of(
        bench.engines(), [](const auto& item) { return std::ranges::is_sorted(item.second.numbers); });
}

std::size_t orderCount(placer_bench& bench)
{
    std::size_t sum = 0;
    for (const auto& [server, engine] : bench.engines())
        sum += engine.numbers.size();
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(orders)

BOOST_AUTO_TEST_CASE(the_chart_names_only_actions_that_the_machine_has)
{
    BOOST_TEST(static_cast<bool>(operations::model_placer::checkChart(orderChart())));
}

BOOST_AUTO_TEST_CASE(one_placer_orders_each_engine_once)
{
    placer_bench bench(orderChart(), 3, true);
    for (std::size_t node = 0; node < 3; ++node)
        bench.setWanted(node, "7");
    bench.time().advance(5min);
    BOOST_TEST(allRun(bench, "7"));
    BOOST_TEST(orderCount(bench) == 3U);
}

BOOST_AUTO_TEST_CASE(a_holder_paused_past_its_lease_orders_nothing_even_where_engines_ignore_the_number)
{
    // Node 0 holds the claim and is paused before it sends an order for version 7; its lease expires. Node 1
    // orders version 8. When node 0 resumes, it must check its clock and not send its outdated order.
    placer_bench bench(orderChart(), 2, false);
    bench.setWanted(0, "7");
    bench.setWanted(1, "8");
    bench.beforeEvent = [&](std::size_t node) {
        if (node == 0 && bench.placer(0).state() == "ordering")
            bench.nodes().pause(0);
    };
    bench.time().advance(5min);
    BOOST_TEST(bench.nodes().isPaused(0));
    BOOST_TEST(allRun(bench, "8"));
    bench.beforeEvent = [](std::size_t) {};
    bench.nodes().resume(0);
    bench.time().advance(20s);
    BOOST_TEST(allRun(bench, "8"));
    BOOST_TEST(numbersOnlyGrow(bench));
}

BOOST_AUTO_TEST_CASE(a_slow_connection_does_not_let_an_order_out_after_the_margin)
{
    // The platform goes down while node 0 needs 12 s to connect to an engine, so its lease is not renewed. By
    // node 0's clock, the order must not be sent in the last 5 s of the lease.
    placer_bench bench(orderChart(), 1, false);
    bench.orderFate = [] { return order_fate::SlowToReach; };
    bench.setWanted(0, "7");
    bench.time().advance(5200ms);
    BOOST_REQUIRE(bench.placer(0).state() == "ordering");
    const utils::time_point downSince = bench.time().now();
    bench.kv().fate = [](const auto&) { return kv_fate::NotSent; };
    bench.time().advance(5min);
    for (const auto& [server, engine] : bench.engines()) {
        for (const utils::time_point at : engine.times)
            BOOST_TEST((at <= downSince + placer_bench::leaseTime - bench.settings.stopMargin + 100ms));
    }
    bench.kv().fate = [](const auto&) { return kv_fate::Answered; };
    bench.orderFate = [] { return order_fate::Answered; };
    bench.time().advance(5min);
    BOOST_TEST(allRun(bench, "7"));
}

BOOST_AUTO_TEST_CASE(an_order_whose_answer_is_lost_is_read_back_not_repeated)
{
    placer_bench bench(orderChart(), 1, true);
    int orders = 0;
    bench.orderFate = [&] { return orders++ == 0 ? order_fate::CutAfter : order_fate::Answered; };
    bench.setWanted(0, "7");
    bench.time().advance(5min);
    BOOST_TEST(allRun(bench, "7"));
    BOOST_TEST(orderCount(bench) == 3U);
}

BOOST_AUTO_TEST_CASE(fetches_share_one_rate_over_all_models)
{
    // Six placers keep sending orders that each fetch weights. The store serves two fetches per 30 s; without
    // the weight slots all fetches would start at once and become too slow to be usable.
    const std::vector<std::string> models { "a", "b", "c", "d", "e", "f" };
    placer_bench bench(orderChart(), models.size(), false, models);
    std::vector<utils::time_point> times;
    for (std::size_t node = 0; node < models.size(); ++node)
        bench.setWanted(node, "v" + std::to_string(node));
    bench.time().advance(10min);
    for (const auto& [server, engine] : bench.engines())
        times.insert(times.end(), engine.times.begin(), engine.times.end());
    std::ranges::sort(times);
    BOOST_TEST(times.size() > 10U);
    for (std::size_t i = 2; i < times.size(); ++i)
        BOOST_TEST((times[i] - times[i - 2] >= 29s));
}

BOOST_AUTO_TEST_CASE(hottest_prefixes_of_a_leaving_engine_move_to_the_engines_of_returning_chats)
{
    const std::vector<utils::server_id> staying { utils::server_id("e2"), utils::server_id("e3") };
    const auto moves
        = operations::cacheMovesFor(utils::server_id("e1"), { { 11, 1 }, { 12, 9 }, { 13, 5 } }, staying, 2);
    BOOST_REQUIRE(moves.size() == 2U);
    BOOST_TEST(moves[0].prefix == 12U);
    BOOST_TEST(moves[1].prefix == 13U);
    BOOST_TEST(operations::cacheMovesFor(utils::server_id("e1"), { { 11, 1 } }, {}, 2).empty());
}

BOOST_AUTO_TEST_SUITE_END()

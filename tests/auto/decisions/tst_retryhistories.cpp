#include "retryhistory.h"

#include <boost/test/unit_test.hpp>

using decisions::repeat_limits;

namespace {

// Platforms give a fleet about as many retries beyond its share of requests: 54 to seven nodes with two spare
// ones, 630 to 295.
constexpr double extraPerNode = 2.1;
constexpr double smallestExtra = 54;

repeat_limits limitsFor(unsigned nodes)
{
    repeat_limits limits;
    limits.extra = std::max(smallestExtra, extraPerNode * nodes);
    return limits;
}

double excessOf(const retry_history& history)
{
    const repeat_limits limits = limitsFor(history.nodes);
    return retry_player(history, limits).play().excess(limits);
}

/// Eight nodes with the traffic of a small deployment.
retry_history smallFleet()
{
    retry_history history;
    history.requestsPerSecond = 110;
    history.seed = 20261203;
    return history;
}

void checkDrawnHistories(unsigned nodes, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const double excess = excessOf(drawHistory(seed, nodes));
        BOOST_TEST(excess <= 0,
            nodes << " nodes, seed " << seed << ": " << excess << " retries beyond the fleet's bound");
    }
}

} // namespace

// The fleet's bound on retries holds in every window, whatever happens to its nodes.
BOOST_AUTO_TEST_SUITE(retry_histories)

// Guards against retries that each process is granted anew: all nodes are killed every three seconds while
// the servers fail nine requests in ten.
BOOST_AUTO_TEST_CASE(nodes_killed_in_series_keep_the_bound_together)
{
    retry_history history = smallFleet();
    history.requestsPerSecond = 45;
    history.phases = { { 0, 0.9 } };
    for (double at = 1; at < 20; at += 3)
        history.outages.push_back({ at, 0.5, false, history.allNodes() });
    BOOST_TEST(excessOf(history) <= 0);
}

// Guards against retries that were saved up before a crash of the servers, spent at once, and earned again by
// the processes that follow.
BOOST_AUTO_TEST_CASE(nodes_killed_after_a_burst_of_retries_keep_the_bound_together)
{
    retry_history history = smallFleet();
    history.requestsPerSecond = 160;
    history.phases = { { 0, 0 }, { 15, 1 } };
    history.crashes = { { 15, 4 } };
    history.outages = { { 15.5, 0.3, false, history.allNodes() } };
    BOOST_TEST(excessOf(history) <= 0);
}

// Guards against retries that two halves of a fleet spend one after the other for the same callers, who move
// from one half to the other.
BOOST_AUTO_TEST_CASE(nodes_whose_callers_move_keep_the_bound_together)
{
    retry_history history = smallFleet();
    history.requestsPerSecond = 160;
    history.movingShare = 1;
    history.movePeriod = 10;
    history.phases = { { 0, 0 }, { 10, 1 } };
    history.crashes = { { 10, 4 } };
    BOOST_TEST(excessOf(history) <= 0);
}

// Guards against a bound that holds in the usual order of events only.
BOOST_AUTO_TEST_CASE(drawn_histories_of_small_fleets_keep_the_bound)
{
    checkDrawnHistories(1, 100);
    checkDrawnHistories(3, 100);
    checkDrawnHistories(8, 200);
}

// Guards against parts that are right for a few nodes and add up to too much for hundreds.
BOOST_AUTO_TEST_CASE(drawn_histories_of_large_fleets_keep_the_bound)
{
    checkDrawnHistories(61, 12);
    checkDrawnHistories(300, 4);
}

BOOST_AUTO_TEST_SUITE_END()

#include "decisions/poisonregister.h"
#include "decisions/repeatallowance.h"
#include "decisions/serverhealth.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace std::chrono_literals;
using decisions::repeat_allowance;
using decisions::repeat_limits;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

const utils::time_point longAgo = at(-1min); ///< when processes have started

struct sent_times {
    std::vector<utils::time_point> first;
    std::vector<utils::time_point> repeats;

    static double within(
        const std::vector<utils::time_point>& times, utils::time_point from, utils::duration span)
    {
        return static_cast<double>(std::ranges::count_if(
            times, [&](utils::time_point time) { return time >= from && time < from + span; }));
    }
};

/// Seven nodes and a failing service: each request needs a repeat. Traffic stops and resumes.
sent_times simulateFailingService(const repeat_limits& limits)
{
    std::vector<repeat_allowance> nodes(7, repeat_allowance(limits, 9, longAgo));
    std::mt19937_64 random(20261203);
    sent_times sent;
    for (int i = 0; i < 60000; ++i) {
        const utils::time_point now = at(i * 1ms);
        const bool isPause = (i / 1000) % 20 >= 14;
        if (random() % 1000 >= (isPause ? 1 : 60))
            continue;
        repeat_allowance& node = nodes[random() % nodes.size()];
        node.forwarded(now);
        sent.first.push_back(now);
        for (int again = 0; again < 3; ++again) {
            if (node.trySpend(now + 20ms))
                sent.repeats.push_back(now + 20ms);
        }
    }
    return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(repeats)

// A service fails all requests. Each node repeats what its own share allows. In no window do all nodes
// together send more than the bound, whichever of the preceding windows has the most requests.
BOOST_AUTO_TEST_CASE(all_nodes_together_keep_the_bound_in_every_window)
{
    const repeat_limits limits;
    const sent_times sent = simulateFailingService(limits);
    double largestUse = 0;
    for (int ms = 0; ms < 60000; ms += 50) {
        const utils::time_point from = at(ms * 1ms);
        const double repeats = sent_times::within(sent.repeats, from, limits.window);
        double requests = 0;
        for (const utils::duration before : { utils::duration(0), limits.window / 2, limits.window })
            requests = std::max(requests, sent_times::within(sent.first, from - before, limits.window));
        BOOST_REQUIRE(repeats <= limits.ratio * requests + limits.extra);
        largestUse = std::max(largestUse, repeats / (limits.ratio * requests + limits.extra));
    }
    BOOST_TEST_MESSAGE("largest used fraction of the bound: " << largestUse);
    BOOST_TEST(largestUse > 0.5);
}

BOOST_AUTO_TEST_CASE(the_share_of_an_idle_node_shrinks_with_the_fleet)
{
    const repeat_limits limits;
    repeat_allowance small(limits, 9, longAgo);
    repeat_allowance large(limits, 9, longAgo);
    large.setNodes(54);
    large.setNodes(2);
    int spentBySmall = 0;
    int spentByLarge = 0;
    while (small.trySpend(at(0s)))
        ++spentBySmall;
    while (large.trySpend(at(0s)))
        ++spentByLarge;
    BOOST_TEST(spentBySmall == 4);
    BOOST_TEST(spentByLarge == 0);
}

// Guards against a fleet that exceeds its bound after all nodes have started at once: each of 300 knows few
// others, and would take a large part of the extra for its own.
BOOST_AUTO_TEST_CASE(nodes_that_do_not_know_the_fleet_keep_its_bound)
{
    repeat_limits limits;
    limits.extra = 630;
    int spent = 0;
    for (int node = 0; node < 300; ++node) {
        repeat_allowance allowance(limits, 0, longAgo);
        while (allowance.trySpend(at(0s)))
            ++spent;
        BOOST_TEST(allowance.left(at(0s)) < 1);
        allowance.setNodes(300);
        while (allowance.trySpend(at(1s)))
            ++spent;
    }
    BOOST_TEST(spent >= 300);
    BOOST_TEST(spent <= 630);
}

BOOST_AUTO_TEST_CASE(spent_repeats_return_after_a_window)
{
    repeat_allowance allowance(repeat_limits(), 9, longAgo);
    while (allowance.trySpend(at(0s)))
        ;
    BOOST_TEST(!allowance.trySpend(at(9s)));
    BOOST_TEST(allowance.trySpend(at(11s)));
}

// Guards against a fixed part that each process of a node spends anew.
BOOST_AUTO_TEST_CASE(a_process_has_no_fixed_part_in_its_first_window)
{
    repeat_allowance allowance(repeat_limits(), 9, at(0s));
    BOOST_TEST(!allowance.trySpend(at(9900ms)));
    BOOST_TEST(allowance.trySpend(at(10s)));
}

// Guards against repeats that are saved up for a whole window, and earned again meanwhile by other nodes.
BOOST_AUTO_TEST_CASE(the_share_of_a_request_has_to_be_spent_soon)
{
    repeat_limits limits;
    limits.extra = 0;
    repeat_allowance allowance(limits, 9, longAgo);
    for (int i = 0; i < 100; ++i)
        allowance.forwarded(at(0s));
    BOOST_TEST(allowance.left(at(2s)) == repeat_allowance::safetyFactor * limits.ratio * 100);
    BOOST_TEST(allowance.trySpend(at(2s)));
    BOOST_TEST(!allowance.trySpend(at(3s)));
}

// A server crashes and connections fail at once. It is skipped for a short time that doubles, also while
// other servers fail, and a success ends the backoff.
BOOST_AUTO_TEST_CASE(an_unreachable_server_is_paused_with_backoff)
{
    decisions::server_health health { decisions::outlier_limits() };
    const utils::server_id a("a");
    health.setServers("s", { a });
    BOOST_TEST(health.weight("s", a, at(0s)) == 1);
    health.unreachable(a, at(0s));
    health.unreachable(a, at(100ms));
    BOOST_TEST(health.isInBackoff(a, at(300ms)));
    BOOST_TEST(!health.isInBackoff(a, at(500ms)));
    health.unreachable(a, at(500ms));
    BOOST_TEST(health.isInBackoff(a, at(1200ms)));
    BOOST_TEST(!health.isInBackoff(a, at(1400ms)));
    health.succeeded("s", a, 10ms, at(1400ms));
    health.unreachable(a, at(2s));
    BOOST_TEST(!health.isInBackoff(a, at(2500ms)));
}

// Engines always run many requests, so that no suspect is ever alone. Three crashes without a completed run
// in between convict a request, two do not, and a completed run clears it.
BOOST_AUTO_TEST_CASE(three_shared_crashes_convict)
{
    decisions::poison_limits limits;
    limits.crashes = 3;
    limits.sharedCrashes = 3;
    decisions::poison_register poison(limits);
    const auto bad = decisions::digestOf("bad");
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        const auto neighbour = decisions::digestOf("neighbour " + std::to_string(crash));
        BOOST_TEST((poison.check(bad, at(0s)) != decisions::poison_verdict::Refuse));
        poison.crashed(crash, { bad, neighbour }, at(crash * 10s));
    }
    BOOST_TEST((poison.check(bad, at(40s)) == decisions::poison_verdict::Refuse));
    const auto last = decisions::digestOf("neighbour 3");
    BOOST_TEST((poison.check(last, at(40s)) != decisions::poison_verdict::Refuse));
    poison.completed(bad, at(50s));
    BOOST_TEST((poison.check(bad, at(50s)) == decisions::poison_verdict::Run));
}

BOOST_AUTO_TEST_SUITE_END()

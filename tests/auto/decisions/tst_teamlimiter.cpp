#include "limitersimulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace std::chrono_literals;
using decisions::limit_verdict;

namespace {

limiter_simulation::settings withRate(double requestsPerSecond)
{
    limiter_simulation::settings chosen;
    chosen.limit.requestsPerSecond = requestsPerSecond;
    return chosen;
}

limiter_simulation::settings withConcurrent(unsigned concurrent)
{
    limiter_simulation::settings chosen;
    chosen.limit.concurrent = concurrent;
    return chosen;
}

/// The bound that team_limiter states for any window while all nodes reach the home.
double rateBound(const limiter_simulation::settings& chosen, utils::duration window)
{
    const double rate = chosen.limit.requestsPerSecond;
    const double bucket = std::max(rate * utils::toSeconds(chosen.lender.burst), chosen.lender.minBucketSize);
    return rate * utils::toSeconds(window + chosen.lender.expiry) + bucket;
}

limiter_simulation::settings anyNetwork()
{
    auto chosen = withConcurrent(*rc::gen::inRange(1U, 30U));
    chosen.loss = *rc::gen::element(0.0, 0.1, 0.5);
    chosen.maxDelay = *rc::gen::element(utils::duration(5ms), utils::duration(50ms), utils::duration(400ms));
    chosen.seed = *rc::gen::arbitrary<unsigned>();
    return chosen;
}

void simulateRandomRequests(limiter_simulation& simulation, unsigned seed)
{
    std::mt19937 random(seed);
    simulation.run(6s, [&] {
        if (random() % 4 == 0)
            simulation.send(random() % 7, std::chrono::milliseconds(random() % 500));
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(teamlimiter)

// All requests of a team arrive at one of seven nodes. They are owed the team's whole limit, not the
// seventh that a fixed share would give them.
BOOST_AUTO_TEST_CASE(one_node_can_use_the_whole_limit)
{
    const auto chosen = withRate(70);
    limiter_simulation simulation(chosen);
    int tick = 0;
    simulation.run(20s, [&] {
        if (++tick % 10 == 0)
            simulation.send(3, 100ms);
    });
    BOOST_TEST(simulation.admitted() >= 70U * 20 * 9 / 10);
    BOOST_TEST(static_cast<double>(simulation.maxAdmittedIn(10s)) <= rateBound(chosen, 10s));
}

// A team sends ten times its limit at all nodes at once. The admitted requests keep to the bound in sum;
// the others are refused at once with Retry-After. Nodes that enforced the limit independently would admit
// seven times the limit.
BOOST_AUTO_TEST_CASE(surge_at_all_nodes_keeps_to_the_limit)
{
    const auto chosen = withRate(70);
    limiter_simulation simulation(chosen);
    simulation.run(30s, [&] {
        if (simulation.now().time_since_epoch() % 10ms == 0ms) {
            for (std::size_t node = 0; node < 7; ++node)
                simulation.send(node, 100ms);
        }
    });
    BOOST_TEST(static_cast<double>(simulation.maxAdmittedIn(10s)) <= rateBound(chosen, 10s));
    BOOST_TEST(simulation.admitted() >= 70U * 30 * 9 / 10);
    BOOST_TEST(simulation.admitted() <= 70U * 32);
}

// 30% of the messages are lost, in both directions. Grants that never arrived are credited back, so the
// team still gets most of its limit, and never more.
BOOST_AUTO_TEST_CASE(lost_grants_are_credited_back)
{
    auto chosen = withRate(70);
    chosen.loss = 0.3;
    limiter_simulation simulation(chosen);
    int tick = 0;
    simulation.run(20s, [&] {
        if (++tick % 5 == 0)
            simulation.send(static_cast<std::size_t>(tick / 5) % 7, 50ms);
    });
    BOOST_TEST(simulation.admitted() >= 70U * 20 * 8 / 10);
    BOOST_TEST(static_cast<double>(simulation.maxAdmittedIn(10s)) <= rateBound(chosen, 10s));
}

// A team's traffic moves from one node to another because the load balancer routes it differently. The
// first node returns what it no longer uses, so that the requests at the second one are not refused.
BOOST_AUTO_TEST_CASE(unused_leases_are_returned)
{
    auto chosen = withConcurrent(20);
    limiter_simulation simulation(chosen);
    int tick = 0;
    simulation.run(10s, [&] {
        if (++tick % 10 == 0)
            simulation.send(1, 200ms);
    });
    simulation.run(3s);
    BOOST_TEST(simulation.lender().lentConcurrent(simulation.team, simulation.now()) <= 3U);
    int refused = 0;
    simulation.run(5s, [&] {
        if (++tick % 20 == 0)
            refused += simulation.send(2, 200ms) == limit_verdict::Refused ? 1 : 0;
    });
    BOOST_TEST(refused == 0);
}

// Random requests, run times, losses, delays and reordering, while no node considers the home unreachable:
// the concurrent requests over all nodes never exceed the team's limit.
RC_BOOST_PROP(lent_slots_keep_to_the_limit_in_any_history, ())
{
    auto chosen = anyNetwork();
    chosen.limiter.maxUnanswered = 1'000'000;
    limiter_simulation simulation(chosen);
    simulateRandomRequests(simulation, chosen.seed + 1);
    RC_ASSERT(simulation.maxRunning() <= chosen.limit.concurrent);
}

// The same, where nodes that receive nothing use their static shares although the home, which still
// receives their messages, has lent the rest: the stated bound of twice the limit holds.
RC_BOOST_PROP(static_shares_at_most_double_the_limit_in_any_history, ())
{
    const auto chosen = anyNetwork();
    limiter_simulation simulation(chosen);
    simulateRandomRequests(simulation, chosen.seed + 1);
    RC_ASSERT(simulation.maxRunning() <= 2 * chosen.limit.concurrent);
}

// As above for the rate, in every window of three seconds.
RC_BOOST_PROP(rate_bound_holds_in_any_history, ())
{
    auto chosen = withRate(*rc::gen::inRange(1, 60));
    chosen.loss = *rc::gen::element(0.0, 0.1, 0.5);
    chosen.maxDelay = *rc::gen::element(utils::duration(5ms), utils::duration(400ms));
    chosen.seed = *rc::gen::arbitrary<unsigned>();
    limiter_simulation simulation(chosen);
    std::mt19937 random(chosen.seed + 1);
    simulation.run(10s, [&] {
        if (random() % 4 == 0)
            simulation.send(random() % 7, 1ms);
    });
    RC_ASSERT(static_cast<double>(simulation.maxAdmittedIn(3s)) <= rateBound(chosen, 3s) + 1);
}

// The team's home is unreachable for all nodes. After the leases have expired, each node admits its static
// share: requests are still served, and the sum keeps to the limit.
BOOST_AUTO_TEST_CASE(static_shares_while_the_home_is_unreachable)
{
    const auto chosen = withRate(70);
    limiter_simulation simulation(chosen);
    const auto surge = [&] {
        if (simulation.now().time_since_epoch() % 20ms == 0ms) {
            for (std::size_t node = 0; node < 7; ++node)
                simulation.send(node, 10ms);
        }
    };
    simulation.run(5s, surge);
    for (std::size_t node = 0; node < 7; ++node)
        simulation.cut(node, true, true);
    simulation.run(6s, surge);
    const std::size_t before = simulation.admitted();
    simulation.run(20s, surge);
    BOOST_TEST(simulation.admitted() - before <= 70U * 20 + 7);
    BOOST_TEST(simulation.admitted() - before >= 70U * 20 * 9 / 10);
}

// Two of seven nodes lose the home in a network partition. Once the home's membership has detected it, the
// home reserves their static shares, and the sum over both sides stays within the limit.
BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_keep_to_the_limit)
{
    const auto chosen = withRate(70);
    limiter_simulation simulation(chosen);
    const auto surge = [&] {
        if (simulation.now().time_since_epoch() % 20ms == 0ms) {
            for (std::size_t node = 0; node < 7; ++node)
                simulation.send(node, 10ms);
        }
    };
    simulation.run(5s, surge);
    simulation.cut(5, true, true);
    simulation.cut(6, true, true);
    simulation.lender().setMembers(
        simulation.members(), { simulation.members()[5], simulation.members()[6] });
    simulation.run(8s, surge);
    const std::size_t before = simulation.admitted();
    simulation.run(20s, surge);
    BOOST_TEST(simulation.admitted() - before <= 70U * 21);
    BOOST_TEST(simulation.admitted() - before >= 70U * 20 * 9 / 10);
}

// A node receives nothing from the home while its own requests arrive there (cut in one direction). The
// home must not lend again what the node may be using: the home has given up the lost grants, and the node
// uses its static share.
BOOST_AUTO_TEST_CASE(one_way_cut_keeps_to_the_concurrent_limit)
{
    const auto chosen = withConcurrent(14);
    limiter_simulation simulation(chosen);
    const auto surge = [&] {
        if (simulation.now().time_since_epoch() % 20ms == 0ms) {
            for (std::size_t node = 0; node < 7; ++node)
                simulation.send(node, 300ms);
        }
    };
    simulation.run(5s, surge);
    simulation.cut(4, false, true);
    simulation.lender().setMembers(simulation.members(), { simulation.members()[4] });
    simulation.run(20s, surge);
    BOOST_TEST(simulation.maxRunning() <= 14U + 2);
}

// One caller waits for a lease and asks again every 20 ms, as the daemon does, while the home's answer
// takes 150 ms. The node requests a lease for one request, not one for each call: the excess would be
// missing at other nodes.
BOOST_AUTO_TEST_CASE(caller_that_asks_again_is_counted_once)
{
    decisions::team_limiter limiter(utils::node_id("node1"));
    const utils::time_point start = utils::time_point {} + 1h;
    const utils::team_id team("press");
    limiter.setLimit(team, { 10, 4 });
    limiter.admit(team, 1, start);
    BOOST_TEST(limiter.poll(start).size() == 1U);
    for (auto time = 20ms; time <= 200ms; time += 20ms)
        BOOST_TEST((limiter.admit(team, 1, start + time).verdict == limit_verdict::AwaitGrant));
    const auto again = limiter.poll(start + 200ms);
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again.front().wantedRequests == 1U);
    BOOST_TEST(again.front().wantedConcurrent == 1U);
}

// The home moves to a node that does not know what its predecessor has lent. It lends nothing until those
// leases must have expired.
BOOST_AUTO_TEST_CASE(new_home_waits_for_its_predecessors_leases)
{
    decisions::quota_lender lender;
    const utils::time_point start = utils::time_point {} + 1h;
    const utils::team_id team("press");
    lender.setLimit(team, { 10, 4 }, start);
    lender.becomeHome(team, start);
    decisions::quota_lease_request request;
    request.team = team;
    request.borrower = utils::node_id("node1");
    request.sequence = 1;
    request.wantedConcurrent = 4;
    BOOST_TEST(!lender.answer(request, start + 32s).isHome);
    request.sequence = 2;
    const auto grant = lender.answer(request, start + 34s);
    BOOST_TEST(grant.isHome);
    BOOST_TEST(grant.concurrent > 0U);
}

// The static shares of all nodes sum exactly to the limit, also where it is not divisible.
RC_BOOST_PROP(static_shares_sum_to_the_limit, ())
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 50);
    const decisions::fleet_limit limit { 10, *rc::gen::inRange(0U, 200U) };
    std::vector<utils::node_id> members;
    for (std::size_t i = 0; i < count; ++i)
        members.emplace_back("n" + std::to_string(i));
    unsigned sum = 0;
    for (const utils::node_id& node : members)
        sum += decisions::staticShareOf(utils::team_id("t"), limit, node, members).concurrent;
    RC_ASSERT(sum == limit.concurrent);
}

BOOST_AUTO_TEST_SUITE_END()

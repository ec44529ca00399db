#include "limiterplay.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace std::chrono_literals;
using decisions::limit_verdict;

namespace {

limiter_play::settings withRate(double requestsPerSecond)
{
    limiter_play::settings chosen;
    chosen.limit.requestsPerSecond = requestsPerSecond;
    return chosen;
}

limiter_play::settings withConcurrent(unsigned concurrent)
{
    limiter_play::settings chosen;
    chosen.limit.concurrent = concurrent;
    return chosen;
}

/// The bound that team_limiter states for any window, with the home in reach.
double rateBound(const limiter_play::settings& chosen, utils::duration window)
{
    const double rate = chosen.limit.requestsPerSecond;
    const double bucket = std::max(rate * utils::toSeconds(chosen.lender.burst), chosen.lender.minBucketSize);
    return rate * utils::toSeconds(window + chosen.lender.expiry) + bucket;
}

limiter_play::settings anyNetwork()
{
    auto chosen = withConcurrent(*rc::gen::inRange(1U, 30U));
    chosen.loss = *rc::gen::element(0.0, 0.1, 0.5);
    chosen.mostDelay = *rc::gen::element(utils::duration(5ms), utils::duration(50ms), utils::duration(400ms));
    chosen.seed = *rc::gen::arbitrary<unsigned>();
    return chosen;
}

void playRandomRequests(limiter_play& play, unsigned seed)
{
    std::mt19937 random(seed);
    play.run(6s, [&] {
        if (random() % 4 == 0)
            play.send(random() % 7, std::chrono::milliseconds(random() % 500));
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(teamlimiter)

// All callers of a team come in through one of seven nodes. They are owed the team's whole limit, not the
// seventh that a fixed share would give them.
BOOST_AUTO_TEST_CASE(one_node_can_use_the_whole_limit)
{
    const auto chosen = withRate(70);
    limiter_play play(chosen);
    int tick = 0;
    play.run(20s, [&] {
        if (++tick % 10 == 0)
            play.send(3, 100ms);
    });
    BOOST_TEST(play.admitted() >= 70U * 20 * 9 / 10);
    BOOST_TEST(static_cast<double>(play.mostIn(10s)) <= rateBound(chosen, 10s));
}

// A team surges at all nodes at once with ten times its limit. The sum that is let in keeps to the bound;
// the others are told at once when to come back. Each node on its own would let seven times the limit in.
BOOST_AUTO_TEST_CASE(surge_at_all_nodes_keeps_to_the_limit)
{
    const auto chosen = withRate(70);
    limiter_play play(chosen);
    play.run(30s, [&] {
        if (play.now().time_since_epoch() % 10ms == 0ms) {
            for (std::size_t node = 0; node < 7; ++node)
                play.send(node, 100ms);
        }
    });
    BOOST_TEST(static_cast<double>(play.mostIn(10s)) <= rateBound(chosen, 10s));
    BOOST_TEST(play.admitted() >= 70U * 30 * 9 / 10);
    BOOST_TEST(play.admitted() <= 70U * 32);
}

// Three in ten messages are lost, in both directions. Grants that never arrived are credited back, so the
// callers still get most of the limit, and never more.
BOOST_AUTO_TEST_CASE(lost_grants_are_credited_back)
{
    auto chosen = withRate(70);
    chosen.loss = 0.3;
    limiter_play play(chosen);
    int tick = 0;
    play.run(20s, [&] {
        if (++tick % 5 == 0)
            play.send(static_cast<std::size_t>(tick / 5) % 7, 50ms);
    });
    BOOST_TEST(play.admitted() >= 70U * 20 * 8 / 10);
    BOOST_TEST(static_cast<double>(play.mostIn(10s)) <= rateBound(chosen, 10s));
}

// A team's traffic moves from one node to another (the balancer has changed its mind). What the first node
// no longer uses goes back, so that the callers at the second are not turned away.
BOOST_AUTO_TEST_CASE(unused_lumps_return)
{
    auto chosen = withConcurrent(20);
    limiter_play play(chosen);
    int tick = 0;
    play.run(10s, [&] {
        if (++tick % 10 == 0)
            play.send(1, 200ms);
    });
    play.run(3s);
    BOOST_TEST(play.lender().lentConcurrent(play.team, play.now()) <= 3U);
    int refused = 0;
    play.run(5s, [&] {
        if (++tick % 20 == 0)
            refused += play.send(2, 200ms) == limit_verdict::Refused ? 1 : 0;
    });
    BOOST_TEST(refused == 0);
}

// Random sends, lengths, losses, delays and reordering, with no node taking the home for lost: no more than
// the team's concurrent requests ever run at once over all nodes.
RC_BOOST_PROP(lent_slots_keep_to_the_limit_in_any_history, ())
{
    auto chosen = anyNetwork();
    chosen.limiter.maxUnanswered = 1'000'000;
    limiter_play play(chosen);
    playRandomRequests(play, chosen.seed + 1);
    RC_ASSERT(play.mostRunning() <= chosen.limit.concurrent);
}

// The same, where nodes that hear nothing fall back to their static shares although the home, which still
// hears them, has lent the rest out: the stated bound of twice the limit holds.
RC_BOOST_PROP(static_shares_at_most_double_the_limit_in_any_history, ())
{
    const auto chosen = anyNetwork();
    limiter_play play(chosen);
    playRandomRequests(play, chosen.seed + 1);
    RC_ASSERT(play.mostRunning() <= 2 * chosen.limit.concurrent);
}

// As above for the rate, in every window of three seconds.
RC_BOOST_PROP(rate_bound_holds_in_any_history, ())
{
    auto chosen = withRate(*rc::gen::inRange(1, 60));
    chosen.loss = *rc::gen::element(0.0, 0.1, 0.5);
    chosen.mostDelay = *rc::gen::element(utils::duration(5ms), utils::duration(400ms));
    chosen.seed = *rc::gen::arbitrary<unsigned>();
    limiter_play play(chosen);
    std::mt19937 random(chosen.seed + 1);
    play.run(10s, [&] {
        if (random() % 4 == 0)
            play.send(random() % 7, 1ms);
    });
    RC_ASSERT(static_cast<double>(play.mostIn(3s)) <= rateBound(chosen, 3s) + 1);
}

// The team's home cannot be reached by anyone. After the lumps have lapsed each node lets its static share
// in: callers are served on, and the sum is the limit.
BOOST_AUTO_TEST_CASE(static_shares_while_the_home_is_lost)
{
    const auto chosen = withRate(70);
    limiter_play play(chosen);
    const auto surge = [&] {
        if (play.now().time_since_epoch() % 20ms == 0ms) {
            for (std::size_t node = 0; node < 7; ++node)
                play.send(node, 10ms);
        }
    };
    play.run(5s, surge);
    for (std::size_t node = 0; node < 7; ++node)
        play.cut(node, true, true);
    play.run(6s, surge);
    const std::size_t before = play.admitted();
    play.run(20s, surge);
    BOOST_TEST(play.admitted() - before <= 70U * 20 + 7);
    BOOST_TEST(play.admitted() - before >= 70U * 20 * 9 / 10);
}

// Two of seven nodes lose the home in a split. Once the home's membership has seen it, the home sets their
// static shares aside, and the sum over both sides stays within the limit.
BOOST_AUTO_TEST_CASE(both_sides_of_a_split_keep_to_the_limit)
{
    const auto chosen = withRate(70);
    limiter_play play(chosen);
    const auto surge = [&] {
        if (play.now().time_since_epoch() % 20ms == 0ms) {
            for (std::size_t node = 0; node < 7; ++node)
                play.send(node, 10ms);
        }
    };
    play.run(5s, surge);
    play.cut(5, true, true);
    play.cut(6, true, true);
    play.lender().setMembers(play.members(), { play.members()[5], play.members()[6] });
    play.run(8s, surge);
    const std::size_t before = play.admitted();
    play.run(20s, surge);
    BOOST_TEST(play.admitted() - before <= 70U * 21);
    BOOST_TEST(play.admitted() - before >= 70U * 20 * 9 / 10);
}

// A node hears nothing from the home while its own requests arrive (cut in one direction). The home must
// not lend twice what the node may be using: it has given up the lost grants, and the node serves from its
// static share.
BOOST_AUTO_TEST_CASE(one_way_cut_keeps_to_the_concurrent_limit)
{
    const auto chosen = withConcurrent(14);
    limiter_play play(chosen);
    const auto surge = [&] {
        if (play.now().time_since_epoch() % 20ms == 0ms) {
            for (std::size_t node = 0; node < 7; ++node)
                play.send(node, 300ms);
        }
    };
    play.run(5s, surge);
    play.cut(4, false, true);
    play.lender().setMembers(play.members(), { play.members()[4] });
    play.run(20s, surge);
    BOOST_TEST(play.mostRunning() <= 14U + 2);
}

// One caller waits for a lump and looks again every 20 ms, as the daemon does, while the home's answer takes
// 150 ms. The node asks for one request, not for one each look: what it asks for too much is missing
// elsewhere.
BOOST_AUTO_TEST_CASE(caller_that_looks_again_is_counted_once)
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
// lumps must have lapsed.
BOOST_AUTO_TEST_CASE(new_home_waits_for_its_predecessors_lumps)
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

// The parts of all nodes sum to the limit exactly, also where it does not divide.
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

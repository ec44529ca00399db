#include "decisions/poisonregister.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <deque>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using decisions::body_digest;
using decisions::poison_register;
using decisions::poison_strike;
using decisions::poison_verdict;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + std::chrono::hours(1) + since;
}

const body_digest poison = decisions::digestOf("team a\nmarked");

std::vector<body_digest> withInnocents(int count)
{
    std::vector<body_digest> inFlight { poison };
    for (int i = 0; i < count; ++i)
        inFlight.push_back(decisions::digestOf("innocent " + std::to_string(i)));
    return inFlight;
}

poison_strike randomStrike()
{
    poison_strike strike;
    strike.digest = { 1, *rc::gen::inRange<std::uint64_t>(0, 3) };
    strike.crash = *rc::gen::inRange<std::uint64_t>(0, 4);
    strike.wasAlone = *rc::gen::arbitrary<bool>();
    strike.isCleared = *rc::gen::arbitrary<bool>();
    strike.remaining = std::chrono::seconds(*rc::gen::inRange(0, 2000));
    return strike;
}

std::string describe(const poison_register& strikes, utils::time_point now)
{
    std::string text;
    for (std::uint64_t low = 0; low < 3; ++low) {
        const body_digest digest { 1, low };
        text += std::to_string(static_cast<int>(strikes.check(digest, now))) + " ";
        text += std::to_string(strikes.refusedFor(digest, now).count()) + ";";
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(poisonregister)

// One request crashes the engine that runs it together with eight innocent chats; all nine callers repeat
// their requests. All are suspects and run alone: the poison request crashes a second engine and is refused
// from then on, the innocent ones are answered and cleared.
BOOST_AUTO_TEST_CASE(second_crash_refuses_only_the_poison_request)
{
    poison_register strikes;
    const auto inFlight = withInnocents(8);
    strikes.crashed(1, inFlight, at(0s));
    for (const body_digest& digest : inFlight)
        BOOST_TEST((strikes.check(digest, at(1s)) == poison_verdict::RunAlone));

    strikes.crashed(2, { poison }, at(2s));
    BOOST_TEST((strikes.check(poison, at(3s)) == poison_verdict::Refuse));
    for (std::size_t i = 1; i < inFlight.size(); ++i) {
        BOOST_TEST((strikes.check(inFlight[i], at(3s)) == poison_verdict::RunAlone));
        strikes.completed(inFlight[i], at(4s));
        BOOST_TEST((strikes.check(inFlight[i], at(4s)) == poison_verdict::Run));
    }
}

// The caller repeats the refused request through another node, which knows the strikes only from the
// fleet's digests. It is refused there at once too, and may run again after the lifetime.
BOOST_AUTO_TEST_CASE(refused_on_every_node_until_expiry)
{
    poison_register first;
    poison_register second;
    first.crashed(1, withInnocents(2), at(0s));
    first.crashed(2, { poison }, at(2s));
    second.merge(first.strikes(at(3s), 100), at(3s));
    BOOST_TEST((second.check(poison, at(4s)) == poison_verdict::Refuse));
    BOOST_TEST((second.refusedFor(poison, at(4s)) > 25min));
    BOOST_TEST((second.check(poison, at(31min)) == poison_verdict::Run));
}

// Two nodes each lose an engine to the same request before either has heard of the other's crash. The
// request was alone in neither crash, so an innocent request that was in both is not refused either: both
// run alone next, and only the one that crashes an engine alone is convicted.
BOOST_AUTO_TEST_CASE(concurrent_crashes_on_two_nodes_convict_no_innocent_request)
{
    poison_register first;
    poison_register second;
    const auto inFlight = withInnocents(1);
    first.crashed(1, inFlight, at(0s));
    second.crashed(2, inFlight, at(0s));
    first.merge(second.strikes(at(1s), 100), at(1s));
    BOOST_TEST((first.check(inFlight[0], at(1s)) == poison_verdict::RunAlone));
    BOOST_TEST((first.check(inFlight[1], at(1s)) == poison_verdict::RunAlone));
    first.crashed(3, { poison }, at(2s));
    BOOST_TEST((first.check(poison, at(2s)) == poison_verdict::Refuse));
    BOOST_TEST((first.check(inFlight[1], at(2s)) == poison_verdict::RunAlone));
}

// A rack fails: four engines fail within a second, each with its own requests in flight. No request ran on
// all four engines, so none is a suspect, and the other engines serve them at once.
BOOST_AUTO_TEST_CASE(failed_rack_makes_no_suspects)
{
    poison_register strikes;
    std::vector<body_digest> all;
    for (std::uint64_t crash = 1; crash <= 4; ++crash) {
        const auto a = decisions::digestOf("a" + std::to_string(crash));
        const auto b = decisions::digestOf("b" + std::to_string(crash));
        strikes.crashed(crash, { a, b }, at(std::chrono::milliseconds(200 * crash)));
        all.insert(all.end(), { a, b });
    }
    for (const body_digest& digest : all)
        BOOST_TEST((strikes.check(digest, at(2s)) == poison_verdict::Run));
}

// Two nodes exchange a strike continuously over a link with a delay of 250 ms, so that a message sent
// before the strike expired arrives after it. The strike expires all the same: passing it around does not
// extend its lifetime, and an expired strike is not added again.
BOOST_AUTO_TEST_CASE(strikes_expire_although_they_are_exchanged)
{
    poison_register first;
    poison_register second;
    first.crashed(1, { poison }, at(0s));
    std::deque<std::vector<poison_strike>> toSecond(13);
    std::deque<std::vector<poison_strike>> toFirst(13);
    for (utils::duration time = 0s; time < 40min; time += 20ms) {
        toSecond.push_back(first.strikes(at(time), 100));
        toFirst.push_back(second.strikes(at(time), 100));
        second.merge(toSecond.front(), at(time));
        first.merge(toFirst.front(), at(time));
        toSecond.pop_front();
        toFirst.pop_front();
        first.expire(at(time));
        second.expire(at(time));
        if (time < 30min + 300ms)
            continue;
        BOOST_REQUIRE((first.check(poison, at(time)) == poison_verdict::Run));
        BOOST_REQUIRE((second.check(poison, at(time)) == poison_verdict::Run));
    }
    first.expire(at(61min));
    BOOST_TEST(first.size() == 0U);
}

// Strikes arrive in any order and any number of times: all nodes that have received the same strikes decide
// the same.
RC_BOOST_PROP(merge_is_commutative_and_idempotent, ())
{
    const auto a = *rc::gen::container<std::vector<poison_strike>>(rc::gen::exec(randomStrike));
    const auto b = *rc::gen::container<std::vector<poison_strike>>(rc::gen::exec(randomStrike));
    poison_register first;
    first.merge(a, at(0s));
    first.merge(b, at(0s));
    poison_register second;
    second.merge(b, at(0s));
    second.merge(a, at(0s));
    second.merge(b, at(0s));
    RC_ASSERT(describe(first, at(1s)) == describe(second, at(1s)));
}

BOOST_AUTO_TEST_SUITE_END()

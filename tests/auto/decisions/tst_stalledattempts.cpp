#include "decisions/stalledattempts.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using decisions::areMostSilent;
using decisions::isKnownToRun;
using decisions::isLikelyToRun;
using decisions::replacement_query;

namespace {

constexpr auto service = "engines";

utils::time_point at(utils::duration time)
{
    return utils::time_point() + 1h + time;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stalled_attempts)

// Guards against a retry that goes to whichever attempt asks first while more urgent ones wait.
BOOST_AUTO_TEST_CASE(the_most_urgent_and_oldest_come_first)
{
    decisions::stalled_attempts stalls;
    stalls.stalled(service, 1, 2, at(0s));
    stalls.stalled(service, 2, 0, at(1s));
    stalls.stalled(service, 3, 0, at(500ms));
    BOOST_TEST(stalls.mayRetry(3, 1));
    BOOST_TEST(!stalls.mayRetry(2, 1.9));
    BOOST_TEST(stalls.mayRetry(2, 2));
    BOOST_TEST(!stalls.mayRetry(1, 2));
    BOOST_TEST(stalls.mayRetry(1, 3));
    stalls.ended(3);
    BOOST_TEST(stalls.mayRetry(2, 1));
    BOOST_TEST(!stalls.mayRetry(2, 0.5));
}

// Guards against attempts of one service that hold up those of another.
BOOST_AUTO_TEST_CASE(services_do_not_wait_for_each_other)
{
    decisions::stalled_attempts stalls;
    stalls.stalled(service, 1, 0, at(0s));
    stalls.stalled("press", 2, 5, at(3s));
    BOOST_TEST(stalls.mayRetry(2, 1));
}

// Guards against attempts that stay in the order after their end, so that others wait for them for ever.
BOOST_AUTO_TEST_CASE(ended_attempts_leave_nothing)
{
    decisions::stalled_attempts stalls;
    for (std::uint64_t number = 1; number <= 100; ++number)
        stalls.stalled(service, number, static_cast<int>(number % 3), at(0s));
    for (std::uint64_t number = 1; number <= 100; ++number)
        stalls.ended(number);
    stalls.ended(7);
    BOOST_TEST(stalls.size() == 0);
}

// Guards against a retry at a server that stopped together with the silent one.
BOOST_AUTO_TEST_CASE(a_server_that_stopped_at_the_same_time_is_not_likely_to_run)
{
    BOOST_TEST(!isLikelyToRun(replacement_query { 1s, 1s, 0, 0 }));
    BOOST_TEST(!isLikelyToRun(replacement_query { 1s, 900ms, 5, 0 }));
    BOOST_TEST(!isLikelyToRun(replacement_query { 1s, 1100ms, 0, 0 }));
    BOOST_TEST(isLikelyToRun(replacement_query { 1s, 100ms, 0, 5 }));
    BOOST_TEST(isLikelyToRun(replacement_query { 10s, 1s, 0, 5 }));
}

// Guards against a retry at a server of which nothing is known while all the others are silent.
BOOST_AUTO_TEST_CASE(an_idle_server_is_judged_by_the_others)
{
    BOOST_TEST(isLikelyToRun(replacement_query { 1s, std::nullopt, 0, 0 }));
    BOOST_TEST(isLikelyToRun(replacement_query { 1s, std::nullopt, 3, 2 }));
    BOOST_TEST(!isLikelyToRun(replacement_query { 1s, std::nullopt, 2, 3 }));
}

// Guards against a retry at a server of which nothing is known, while another one is known to run.
BOOST_AUTO_TEST_CASE(an_idle_server_is_not_known_to_run)
{
    BOOST_TEST(!isKnownToRun(replacement_query { 1s, std::nullopt, 3, 0 }));
    BOOST_TEST(!isKnownToRun(replacement_query { 1s, 900ms, 3, 0 }));
    BOOST_TEST(isKnownToRun(replacement_query { 1s, 100ms, 0, 3 }));
}

// Guards against one silent server among many, or as many that send as do not, taken for a silence of most.
BOOST_AUTO_TEST_CASE(most_servers_are_silent_if_more_are_quiet_than_heard)
{
    BOOST_TEST(areMostSilent(replacement_query { 1s, {}, 2, 3 }));
    BOOST_TEST(!areMostSilent(replacement_query { 1s, {}, 3, 3 }));
    BOOST_TEST(!areMostSilent(replacement_query { 1s, {}, 0, 0 }));
}

// Guards against retries for attempts whose servers go on at that moment, all of them together.
BOOST_AUTO_TEST_CASE(attempts_get_their_time_anew_after_most_servers_were_silent)
{
    decisions::stalled_attempts stalls;
    BOOST_TEST(!stalls.isSettling(service, at(0s)));
    stalls.mostSilent(service, at(0s));
    stalls.mostSilent(service, at(500ms));
    BOOST_TEST(stalls.isSettling(service, at(1400ms)));
    BOOST_TEST(!stalls.isSettling(service, at(1500ms)));
    BOOST_TEST(!stalls.isSettling("press", at(500ms)));
}

BOOST_AUTO_TEST_SUITE_END()

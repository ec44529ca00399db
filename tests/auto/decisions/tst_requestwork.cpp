#include "decisions/requestwork.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace std::chrono_literals;
using decisions::request_work;

BOOST_AUTO_TEST_SUITE(requestwork)

// Guards against requests of all lengths that count alike.
BOOST_AUTO_TEST_CASE(routes_are_told_apart)
{
    request_work work(1s);
    BOOST_TEST(work.forecast("drafts", {}) == 1.0);
    for (int i = 0; i < 100; ++i) {
        work.record("drafts", {}, 2s);
        work.record("tags", {}, 100ms);
    }
    BOOST_TEST(work.forecast("drafts", {}) == 2.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(work.forecast("tags", {}) == 0.1, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(hints_that_were_right_count)
{
    request_work work(1s);
    for (std::uint32_t i = 0; i < 200; ++i) {
        const std::uint32_t tokens = 50 + (i * 37) % 400;
        work.record("drafts", tokens, utils::fromSeconds(tokens * 0.01));
    }
    BOOST_TEST(work.forecast("drafts", 400) > 2 * work.forecast("drafts", 100));
}

// Guards against hints that are wrong by ten times in either direction and decide all the same.
BOOST_AUTO_TEST_CASE(hints_that_say_nothing_do_not_count)
{
    request_work work(1s);
    std::mt19937_64 random(20261204);
    std::uniform_real_distribution<double> exponent(-1, 1);
    for (int i = 0; i < 1000; ++i) {
        const auto hint = static_cast<std::uint32_t>(200 * std::pow(10.0, exponent(random)));
        work.record("drafts", hint, utils::fromSeconds(1.5 + exponent(random) * 0.5));
    }
    const double spread = work.forecast("drafts", 2000) / work.forecast("drafts", 20);
    BOOST_TEST(spread < 1.5);
    BOOST_TEST(spread > 0.67);
}

// Guards against state that grows with the routes of a configuration.
BOOST_AUTO_TEST_CASE(many_routes_take_bounded_state)
{
    request_work work(1s);
    for (int i = 0; i < 3000; ++i)
        work.record("route-" + std::to_string(i), {}, 3s);
    BOOST_TEST(work.forecast("route-2999", {}) == 3.0, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()

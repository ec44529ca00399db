#include "decisions/serverchoice.h"
#include "decisions/serverpace.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using decisions::server_pace;
using utils::server_id;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

} // namespace

BOOST_AUTO_TEST_SUITE(serverpace)

BOOST_AUTO_TEST_CASE(a_servers_word_counts_and_fades)
{
    server_pace pace;
    const server_id server("server");
    BOOST_TEST(pace.slowdown(server, at(0s)) == 1.0);
    pace.reported(server, 2.5, at(0s));
    BOOST_TEST(pace.slowdown(server, at(0s)) == 2.5);
    const double later = pace.slowdown(server, at(600ms));
    BOOST_TEST(later > 1.3);
    BOOST_TEST(later < 2.0);
    BOOST_TEST(pace.slowdown(server, at(10s)) == 1.0, boost::test_tools::tolerance(0.01));
}

// Guards against requests that queue at a slow server while others are as free.
BOOST_AUTO_TEST_CASE(a_plain_request_avoids_a_slow_server)
{
    std::vector<decisions::server_candidate> candidates { { server_id("slow"), "a", 6 },
        { server_id("usual"), "a", 6 } };
    candidates[0].slowdown = 2.5;
    decisions::server_loads loads;
    loads.started(server_id("usual"), 0);
    loads.started(server_id("usual"), 0);
    const decisions::server_choice choice;
    const decisions::placement_query query { {}, 0, "a" };
    std::vector<decisions::candidate_cost> costs;
    const auto chosen = choice.choose(candidates, query, loads, at(0s), &costs);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(chosen->server == server_id("usual"));
    BOOST_TEST(costs.size() == 2U);
    // A full one is worse than a slow one.
    for (int i = 0; i < 4; ++i)
        loads.started(server_id("usual"), 0);
    BOOST_TEST(choice.choose(candidates, query, loads, at(0s))->server == server_id("slow"));
}

BOOST_AUTO_TEST_CASE(what_was_not_heard_for_long_is_forgotten)
{
    server_pace pace;
    pace.reported(server_id("server"), 2, at(0s));
    pace.expire(at(20s));
    BOOST_TEST(pace.age(server_id("server"), at(20s)).has_value());
    pace.expire(at(40s));
    BOOST_TEST(!pace.age(server_id("server"), at(40s)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

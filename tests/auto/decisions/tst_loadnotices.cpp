#include "decisions/loadnotices.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using decisions::bound_view;
using decisions::load_notices;
using utils::server_id;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

const bound_view view { 5, 5, 12 };
const server_id engine("engine-1");

} // namespace

BOOST_AUTO_TEST_SUITE(loadnotices)

// Guards against datagrams to all nodes for each answer of an engine in ordinary use.
BOOST_AUTO_TEST_CASE(a_load_within_the_bound_is_not_passed_on)
{
    load_notices notices;
    BOOST_TEST(!notices.mustTell(engine, 11, view, at(0s)));
    BOOST_TEST(notices.mustTell(engine, 12, view, at(0s)));
}

// Guards against one notice from each node that gets an answer of the engine.
BOOST_AUTO_TEST_CASE(an_engine_is_told_once_within_the_interval)
{
    load_notices notices;
    BOOST_TEST(notices.mustTell(engine, 20, view, at(0s)));
    BOOST_TEST(!notices.mustTell(engine, 20, view, at(load_notices::interval - 1ms)));
    notices.heard(engine, at(load_notices::interval - 1ms));
    BOOST_TEST(!notices.mustTell(engine, 20, view, at(2 * load_notices::interval - 2ms)));
    BOOST_TEST(notices.mustTell(engine, 20, view, at(2 * load_notices::interval - 1ms)));
}

// Guards against a node that floods the fleet where all engines are full.
BOOST_AUTO_TEST_CASE(notices_of_a_node_are_bounded)
{
    load_notices notices;
    std::size_t told = 0;
    for (int i = 0; i < 240; ++i)
        told += notices.mustTell(server_id("engine-" + std::to_string(i)), 20, view, at(0s)) ? 1 : 0;
    BOOST_TEST(told == load_notices::maxNotices);
    notices.expire(at(load_notices::interval));
    BOOST_TEST(notices.size() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

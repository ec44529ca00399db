#include "virtualfleet/virtualfleet.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using virtualfleet::virtual_fleet;

namespace {

bool areAllCurrent(const virtual_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isAtWork(i) && !fleet.node(i).isCurrent(fleet.now()))
            return false;
    }
    return true;
}

bool doAllKnowAll(const virtual_fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.isAtWork(i) && fleet.node(i).homes().candidates().size() != fleet.size())
            return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleetnode)

BOOST_AUTO_TEST_CASE(seven_nodes_that_start_together_are_soon_current_and_agree)
{
    virtual_fleet fleet({});
    const auto current = fleet.runUntil([&] { return areAllCurrent(fleet); }, 20s);
    BOOST_REQUIRE(current.has_value());
    BOOST_TEST_MESSAGE("current after " << utils::toSeconds(*current) << " s");
    const auto known = fleet.runUntil([&] { return doAllKnowAll(fleet); }, 20s);
    BOOST_REQUIRE(known.has_value());
    BOOST_TEST_MESSAGE("known after another " << utils::toSeconds(*known) << " s");
    const utils::server_id server("engine-1");
    const auto home = fleet.node(0).homes().homeOf(server, utils::data_centre_id("dc-1"));
    for (std::size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST((fleet.node(i).homes().homeOf(server, utils::data_centre_id("dc-1")) == home));
    BOOST_TEST(fleet.node(0).state() == "current");
}

BOOST_AUTO_TEST_SUITE_END()

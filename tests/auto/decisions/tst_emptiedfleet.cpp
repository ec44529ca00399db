#include "fleetsimulation.h"

BOOST_AUTO_TEST_SUITE(emptiedfleet)

// Guards against engines above the load limit while a data centre is emptied, where each node hears the loads
// of few others.
BOOST_AUTO_TEST_CASE(the_load_limit_holds_while_a_third_of_the_engines_is_emptied)
{
    const fleet_outcome outcome = runEmptiedFleet(61, 96);
    BOOST_TEST(outcome.aboveLimit < 0.03 * outcome.sent);
}

BOOST_AUTO_TEST_SUITE_END()

#include "decisions/standstilldetector.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using decisions::standstill_detector;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

} // namespace

BOOST_AUTO_TEST_SUITE(standstilldetector)

// Guards against word that has waited while the node stood still, and is taken for word of the present.
BOOST_AUTO_TEST_CASE(a_standstill_is_known_before_the_first_tick_after_it_and_for_a_while)
{
    standstill_detector detector(500ms);
    BOOST_TEST(!detector.isRecent(at(0s)));
    for (utils::duration since {}; since <= 2s; since += 250ms) {
        detector.tick(at(since));
        BOOST_TEST(!detector.isRecent(at(since + 250ms)));
    }
    BOOST_TEST(detector.isRecent(at(5s)));
    detector.tick(at(5s));
    BOOST_TEST(detector.isRecent(at(5s)));
    detector.tick(at(5250ms));
    BOOST_TEST(detector.isRecent(at(5500ms)));
    detector.tick(at(5500ms));
    BOOST_TEST(!detector.isRecent(at(5501ms)));
}

BOOST_AUTO_TEST_SUITE_END()

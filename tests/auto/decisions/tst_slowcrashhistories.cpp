#include "crashhistoryseries.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(slow_crash_histories)

// Guards against requests with a crashing part that go on to reach servers where a server takes a second and
// more to begin an answer, so that many are under way when the first one crashes.
BOOST_AUTO_TEST_CASE(a_crashing_part_stops_before_slow_servers)
{
    for (const double crashingPerS : { 2.0, 4.0 }) {
        const totals all = playAll({ .crashingPerS = crashingPerS, .longestBeginMs = 1500 }, 6);
        BOOST_TEST(all.broken == 0u);
    }
}

BOOST_AUTO_TEST_SUITE_END()

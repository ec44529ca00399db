#include "crashhistoryseries.h"

#include <boost/test/unit_test.hpp>

namespace {

constexpr unsigned maxCrashes = 5; ///< aim for a small fleet
constexpr double minServed = 0.95; ///< of sound requests

} // namespace

BOOST_AUTO_TEST_SUITE(crash_histories)

// Guards against a fleet in which requests with a crashing part go on to reach servers, and against sound
// requests that are refused for it.
BOOST_AUTO_TEST_CASE(a_crashing_part_stops_and_sound_ones_go_on_in_a_small_fleet)
{
    const totals all = playAll({ .nodes = 7, .servers = 9 }, 12);
    BOOST_TEST(all.broken == 0u);
    BOOST_TEST(all.leastServed >= minServed);
}

// Guards against a part in steady use that is refused with the crashing one, because engines are so slow that
// no answer begins between the crashes, or because it is used seldom.
BOOST_AUTO_TEST_CASE(parts_that_share_requests_with_a_crashing_one_are_not_refused)
{
    for (const double soundPerS : { 5.0, 60.0 }) {
        const totals all = playAll({ .soundPerS = soundPerS, .crashingPerS = 4, .longestBeginMs = 1500 }, 6);
        BOOST_TEST(1 - static_cast<double>(all.refused) / all.sound >= minServed);
    }
}

// Guards against the same in fleets where a node's news reaches a few others only.
BOOST_AUTO_TEST_CASE(a_crashing_part_stops_and_sound_ones_go_on_in_large_fleets)
{
    for (const unsigned nodes : { 61U, 300U }) {
        const totals all
            = playAll({ .nodes = nodes, .servers = nodes * 8 / 10, .soundPerS = nodes * 7.0 }, 1);
        BOOST_TEST(all.broken == 0u);
        BOOST_TEST(all.leastServed >= minServed);
    }
}

// Guards against servers that end while the news is already known: few more than convict the part.
BOOST_AUTO_TEST_CASE(few_servers_end_under_a_new_crashing_part)
{
    totals all;
    for (unsigned seed = 1; seed <= 40; ++seed)
        all.add(crash_history({ .isFirstPart = seed % 3 == 0, .seed = seed }).run());
    BOOST_TEST_MESSAGE("crashes " << all.crashes << " in " << all.histories << ", most " << all.mostCrashes);
    BOOST_TEST(all.crashes <= maxCrashes * all.histories);
}

BOOST_AUTO_TEST_SUITE_END()

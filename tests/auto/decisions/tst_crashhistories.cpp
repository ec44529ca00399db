#include "crashhistory.h"

#include <boost/test/unit_test.hpp>

namespace {

constexpr unsigned maxLateArrivals = 3; ///< later than three seconds after the fifth crash
constexpr unsigned maxCrashes = 5; ///< aim for a small fleet
constexpr double minServed = 0.95; ///< of sound requests

struct totals {
    unsigned histories = 0;
    unsigned broken = 0; ///< histories with too many late arrivals
    unsigned crashes = 0;
    unsigned mostCrashes = 0;
    unsigned sound = 0;
    unsigned refused = 0;
    double leastServed = 1;

    void add(const history_result& result)
    {
        ++histories;
        broken += result.late > maxLateArrivals ? 1 : 0;
        crashes += result.crashes;
        mostCrashes = std::max(mostCrashes, result.mostCrashes);
        sound += result.sound;
        refused += result.refused;
        if (result.sound > 0)
            leastServed = std::min(leastServed, 1 - static_cast<double>(result.refused) / result.sound);
    }
};

/// Plays all faults with that many seeds each.
totals playAll(history_options options, unsigned seeds)
{
    totals all;
    for (unsigned fault = 0; fault < static_cast<unsigned>(history_fault::Count_); ++fault) {
        totals ofFault;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            options.fault = static_cast<history_fault>(fault);
            options.isFirstPart = seed % 3 == 0;
            options.seed = 1000 * options.nodes + 100 * fault + seed;
            const history_result result = crash_history(options).run();
            all.add(result);
            ofFault.add(result);
        }
        BOOST_TEST_MESSAGE("nodes " << options.nodes << " fault " << fault << ": broken " << ofFault.broken
                                    << " of " << ofFault.histories << ", crashes " << ofFault.crashes
                                    << ", most " << ofFault.mostCrashes << ", sound refused "
                                    << ofFault.refused << " of " << ofFault.sound << ", least served "
                                    << ofFault.leastServed);
    }
    return all;
}

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

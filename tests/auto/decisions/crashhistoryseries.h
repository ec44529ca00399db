#pragma once

#include "crashhistory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

inline constexpr unsigned maxLateArrivals = 3; ///< later than three seconds after the fifth crash

/// What several histories have shown.
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
inline totals playAll(history_options options, unsigned seeds)
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

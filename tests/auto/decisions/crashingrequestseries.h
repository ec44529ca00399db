#pragma once

#include "crashingrequesthistory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

inline constexpr unsigned maxLate
    = 3; ///< arrivals of a request later than three seconds after its third crash
inline constexpr unsigned maxCrashes = 5; ///< of one request
inline constexpr unsigned maxCrashesMore = 3; ///< of each further one
inline constexpr double minServed = 0.95; ///< of the sound requests, once the servers are back

/// What several histories have shown.
struct history_totals {
    unsigned histories = 0;
    unsigned broken = 0; ///< with too many late arrivals
    unsigned crowded = 0; ///< with too many crashes
    unsigned crashes = 0;
    unsigned late = 0; ///< the most of a history
    unsigned refused = 0; ///< sound requests that were taken for crashing ones
    double leastServed = 1;
};

/// Plays each of the faults with that many seeds.
inline history_totals playFaults(
    request_history_options options, const std::vector<request_history_fault>& faults, unsigned seeds)
{
    history_totals all;
    for (const request_history_fault fault : faults) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            options.fault = fault;
            options.seed = 1000 * options.nodes + 100 * static_cast<unsigned>(fault) + seed;
            const request_history_result played = request_history(options).run();
            ++all.histories;
            all.broken += played.late > maxLate ? 1 : 0;
            all.crowded += played.crashes > maxCrashes + maxCrashesMore * (options.crashing - 1) ? 1 : 0;
            all.crashes += played.crashes;
            all.late = std::max(all.late, played.late);
            all.refused += played.refused;
            const double served = played.sound == 0 ? 0 : static_cast<double>(played.served) / played.sound;
            all.leastServed = std::min(all.leastServed, served);
        }
    }
    BOOST_TEST_MESSAGE("nodes " << options.nodes << ", servers " << options.servers << ", crashing "
                                << options.crashing << ", attempts " << options.maxAttempts << ", equal "
                                << options.equalShare << ": broken " << all.broken << ", crowded "
                                << all.crowded << " of " << all.histories << ", crashes " << all.crashes
                                << ", late " << all.late << ", sound refused " << all.refused
                                << ", least served " << all.leastServed);
    return all;
}

/// Requires that crashing requests came to an end, and that sound ones did not suffer for long.
inline void check(const history_totals& all)
{
    BOOST_TEST(all.broken == 0u);
    BOOST_TEST(all.crowded == 0u);
    BOOST_TEST(all.leastServed >= minServed);
}

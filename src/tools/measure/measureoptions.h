#pragma once

#include <string>

namespace measure {

/// What the command line asks of a measurement.
struct measure_options {
    bool json = false; ///< print JSON in place of tables
    std::string reportDir; ///< write an HTML page with plots there; empty: none
    bool quick = false; ///< only today's sizes
    unsigned engines = 0; ///< only this number of engines; 0: all sizes
    std::string only; ///< only policies whose name contains this
    unsigned threads = 4; ///< runs side by side; no figure depends on it
};

/// `lycheefront-measure placement-cost`: time and memory of the decisions. Its times differ from run to run.
int runPlacementCost(const measure_options& options);
/// `lycheefront-measure placement`: policies side by side on one trace. Returns the exit code.
int runPlacement(const measure_options& options);

} // namespace measure

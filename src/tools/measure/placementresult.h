#pragma once

#include "enginebench.h"

#include <array>
#include <string>
#include <vector>

namespace measure {

/// Skew over the samples of a phase.
struct skew_figures {
    double mean = 0; ///< of max/mean over samples
    double p99 = 0;
    double worst = 0;
    double p99Engine = 0; ///< mean over samples of (99th percentile of engines)/mean
    double aboveBound = 0; ///< share of samples with max/mean above c
    std::size_t samples = 0;
};

/// Waiting of one class in seconds, over the whole run after the warm-up.
struct wait_figures {
    double p50 = 0;
    double p99 = 0;
};

/// One row of the table: a policy on one trace.
struct placement_result {
    std::string user;
    std::string policy;
    unsigned nodes = 0;
    unsigned engines = 0;
    double bound = 0;
    std::array<double, static_cast<std::size_t>(phase::Count_)> reuse {}; ///< share of the oracle's, by phase
    skew_figures steady;
    skew_figures later; ///< from the change to the end
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t cut = 0;
    std::array<wait_figures, 3> waits;
    double bytesMean = 0; ///< per router and second, sent and received
    double bytesLargest = 0;
    double packetsMean = 0;
    double packetsLargest = 0;
    double asksPerRequest = 0; ///< homes asked; 0 for policies without homes
    std::size_t largestMemory = 0; ///< chats remembered by the node with most
};

/// Sums up a played bench. `oracle`: oracleReuse of the same trace.
placement_result summarize(const engine_bench& bench, const std::string& policy,
    const std::array<double, static_cast<std::size_t>(phase::Count_)>& oracle);

/// Tables for a terminal.
void printTable(const std::vector<placement_result>& results);
/// One JSON document on standard output.
void printJson(const std::vector<placement_result>& results);
/// DIR/placement.html with tables and SVG plots. Returns false when it cannot be written.
bool writeReport(const std::string& directory, const std::vector<placement_result>& results);

} // namespace measure

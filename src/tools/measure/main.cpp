// Measures the deciding code on small fakes in virtual time: fixed seeds, the same figures on every run.

#include "fleetbench.h"
#include "limitbench.h"
#include "loadbench.h"
#include "measureoptions.h"
#include "queuecost.h"

#include <gflags/gflags.h>

#include <array>
#include <iostream>
#include <string_view>

DEFINE_bool(json, false, "print JSON in place of tables");
DEFINE_string(report, "", "directory for an HTML page with plots");
DEFINE_bool(quick, false, "only today's sizes");
DEFINE_uint32(engines, 0, "only fleets of so many engines; 0: all");
DEFINE_string(only, "", "only policies whose name contains this");
DEFINE_uint32(threads, 4, "runs side by side; no figure depends on it");

namespace {

/// A subcommand: add a row and one function in a file of its own.
struct measurement {
    std::string_view name;
    std::string_view help;
    int (*run)(const measure::measure_options&);
};

constexpr std::array measurements {
    measurement { "placement", "cache reuse, load skew and control traffic of placement policies",
        measure::runPlacement },
    measurement { "placement-cost", "time and memory of a placement decision; times differ from run to run",
        measure::runPlacementCost },
    measurement { "load", "what callers get under five patterns of load, with safeguards and without",
        measure::runLoadBench },
    measurement { "fleet", "control traffic, detection and spread of the configuration by size of the fleet",
        measure::runFleet },
    measurement { "limits", "what team limits over the fleet cost a node", measure::runLimitBench },
    measurement { "costs", "processor time and memory of queue, limits and poison register (real time)",
        measure::runQueueCost },
};

void printUsage()
{
    std::cerr << "usage: lycheefront-measure [--json] [--report=DIR] [--quick] [--engines=N] [--only=TEXT] "
                 "NAME...\n\n";
    for (const auto& row : measurements)
        std::cerr << "  " << row.name << "  " << row.help << "\n";
}

int runByName(std::string_view name, const measure::measure_options& options)
{
    constexpr int usageError = 2;
    for (const auto& row : measurements) {
        if (row.name == name)
            return row.run(options);
    }
    std::cerr << "lycheefront-measure: unknown measurement '" << name << "'\n";
    printUsage();
    return usageError;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the deciding code in virtual time: lycheefront-measure NAME...");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const measure::measure_options options { FLAGS_json, FLAGS_report, FLAGS_quick, FLAGS_engines, FLAGS_only,
        FLAGS_threads };
    if (argc < 2) {
        printUsage();
        return 2;
    }
    for (int i = 1; i < argc; ++i) {
        const int code = runByName(argv[i], options);
        if (code != 0)
            return code;
    }
    return 0;
}

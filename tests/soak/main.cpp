// Plays the fleet's programs as processes under faults from outside, one seed after another, and checks from
// what callers and backend servers saw whether a promise was broken. Ends with 1 when one was; the logs of
// such a seed are kept.

#include "soakrun.h"

#include <gflags/gflags.h>

#include <filesystem>
#include <iostream>

DEFINE_uint64(first_seed, 1, "the first seed");
DEFINE_uint64(seeds, 1, "how many seeds, one after another");
DEFINE_uint64(nodes, 3, "nodes of the fleet");
DEFINE_uint64(servers, 3, "backend servers of each of two services");
DEFINE_uint64(callers, 8, "callers, each with one request at a time");
DEFINE_uint64(seconds, 12, "traffic of each seed");
DEFINE_bool(bounds, true, "also check promises that have a time bound");
DEFINE_bool(plan, false, "print the faults of each seed");

namespace {

bool playSeed(std::uint64_t seed, const soak::soak_size& size)
{
    soak::soak_run run(seed, size);
    if (FLAGS_plan)
        std::cout << run.describePlan();
    const soak::soak_evidence evidence = run.play();
    const auto bounds = FLAGS_bounds ? std::optional(soak::soak_bounds {}) : std::nullopt;
    const std::vector<std::string> broken = soak::brokenPromises(evidence, bounds);
    std::size_t served = 0;
    std::size_t resumed = 0;
    std::size_t wentOn = 0;
    for (const soak::call_record& call : evidence.calls) {
        served += call.status == 200 && call.isWhole ? 1 : 0;
        resumed += call.resumes.empty() ? 0 : 1;
        wentOn += call.resumes.empty() || call.versions.empty() ? 0 : 1;
    }
    std::cout << "seed " << seed << ": " << evidence.calls.size() << " calls, " << served << " served, "
              << wentOn << " of " << resumed << " streams taken up went on, " << broken.size()
              << " promises broken" << std::endl;
    for (const std::string& each : broken)
        std::cout << "  " << each << '\n';
    if (broken.empty())
        return true;
    const std::string kept = run.folder() + "-seed-" + std::to_string(seed);
    std::filesystem::copy(run.folder(), kept,
        std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing);
    std::cout << "  logs: " << kept << '\n';
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("real processes under faults from outside; ends with 1 when a promise is broken");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    soak::soak_size size;
    size.nodes = FLAGS_nodes;
    size.servers = FLAGS_servers;
    size.callers = FLAGS_callers;
    size.length = std::chrono::seconds(FLAGS_seconds);
    bool isKept = true;
    for (std::uint64_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds; ++seed)
        isKept = playSeed(seed, size) && isKept;
    return isKept ? 0 : 1;
}

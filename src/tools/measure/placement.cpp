#include "homepolicy.h"
#include "measureoptions.h"
#include "placementresult.h"
#include "placementrun.h"
#include "simplepolicies.h"

#include <atomic>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace measure {

namespace {

constexpr std::uint64_t traceSeed = 2026;

/// A trace with what the oracle makes of it, shared by all policies.
struct prepared_trace {
    workload load;
    fleet_size size;
    placement_trace trace;
    std::array<double, static_cast<std::size_t>(phase::Count_)> oracle {};
};

using run_function = std::function<placement_result(const prepared_trace&)>;

/// A policy by the name in the table.
struct named_run {
    std::string name;
    run_function run;
};

template <class Policy> named_run simpleRun(const std::string& name)
{
    return { name, [name](const prepared_trace& prepared) {
                engine_bench bench(prepared.load, prepared.size, prepared.trace);
                Policy policy(bench);
                playTrace(bench, policy);
                return summarize(bench, name, prepared.oracle);
            } };
}

named_run homeRun(const std::string& name, const home_policy_settings& settings)
{
    return { name, [name, settings](const prepared_trace& prepared) {
                engine_bench bench(prepared.load, prepared.size, prepared.trace);
                home_policy policy(bench, settings);
                playTrace(bench, policy);
                auto result = summarize(bench, name, prepared.oracle);
                result.asksPerRequest
                    = static_cast<double>(policy.asks()) / static_cast<double>(prepared.trace.turns.size());
                result.largestMemory = policy.largestMemory();
                return result;
            } };
}

std::vector<named_run> allPolicies()
{
    return { simpleRun<random_policy>("random"), simpleRun<round_robin_policy>("round robin"),
        simpleRun<least_loaded_policy>("least loaded, lagging"),
        simpleRun<exact_least_policy>("least loaded, exact"),
        simpleRun<two_choices_policy>("two choices, lagging"), simpleRun<rendezvous_policy>("rendezvous"),
        simpleRun<local_bound_policy>("rendezvous, local bound"), homeRun("home nodes", {}) };
}

/// All policies, then home nodes with one part switched off at a time.
std::vector<named_run> withAblations()
{
    auto runs = allPolicies();
    const auto add = [&](const std::string& name, auto change) {
        home_policy_settings settings;
        change(settings);
        runs.push_back(homeRun(name, settings));
    };
    for (const double bound : { 1.05, 1.1, 1.15, 1.2, 1.3, 1.4, 1.6, 2.0 })
        add("curve c=" + std::to_string(bound).substr(0, 4), [bound](auto& s) { s.bound = bound; });
    add("- c on present mean", [](auto& s) { s.usesLowestMean = false; });
    add("- drafts wait as others", [](auto& s) { s.draftWaitWorth = 1; });
    add("- without memory", [](auto& s) { s.remembers = false; });
    add("- without new-chat bound", [](auto& s) { s.newChatShare = 1; });
    add("- without wait for cache", [](auto& s) { s.waitsForCache = false; });
    add("- without former anchor", [](auto& s) { s.asksFormerAnchor = false; });
    add("- without cache export", [](auto& s) { s.exportsCache = false; });
    add("- without asking loaded last", [](auto& s) { s.skipsLoaded = false; });
    add("- digests of 32 entries", [](auto& s) { s.digestEntries = 32; });
    add("- without shared loads", [](auto& s) { s.sharesLoads = false; });
    add("- without cache events", [](auto& s) { s.hearsEvictions = false; });
    return runs;
}

fleet_size todaysSize(unsigned engines)
{
    return { 7, engines, { 3600, 7200, 7800, 9000 } };
}

fleet_size largeSize(unsigned engines)
{
    return { 400, engines, { 600, 1200, 1500, 1800 } };
}

prepared_trace prepare(const workload& load, const fleet_size& size)
{
    prepared_trace prepared { load, size, makeTrace(load, size, traceSeed), {} };
    prepared.oracle = oracleReuse(load, size, prepared.trace);
    return prepared;
}

/// One run to do.
struct job {
    std::shared_ptr<const prepared_trace> trace;
    named_run run;
};

std::vector<placement_result> runAll(const std::vector<job>& jobs, unsigned threads)
{
    std::vector<placement_result> results(jobs.size());
    std::atomic<std::size_t> next { 0 };
    const auto work = [&] {
        for (std::size_t i = next++; i < jobs.size(); i = next++)
            results[i] = jobs[i].run.run(*jobs[i].trace);
    };
    std::vector<std::jthread> workers;
    for (unsigned i = 0; i < threads; ++i)
        workers.emplace_back(work);
    workers.clear();
    return results;
}

void addJobs(std::vector<job>& jobs, const measure_options& options, const workload& load,
    const fleet_size& size, const std::vector<named_run>& runs)
{
    if (options.engines != 0 && options.engines != size.engines)
        return;
    const auto trace = std::make_shared<const prepared_trace>(prepare(load, size));
    for (const auto& run : runs) {
        if (run.name.find(options.only) != std::string::npos)
            jobs.push_back({ trace, run });
    }
}

} // namespace

int runPlacement(const measure_options& options)
{
    const auto today = withAblations();
    std::vector<job> jobs;
    addJobs(jobs, options, printShop(), todaysSize(9), today);
    addJobs(jobs, options, teaDances(), todaysSize(12), today);
    for (const unsigned engines : { 40U, 200U, 600U }) {
        if (options.quick)
            break;
        addJobs(jobs, options, printShop(), largeSize(engines), allPolicies());
        addJobs(jobs, options, teaDances(), largeSize(engines), allPolicies());
    }
    const auto results = runAll(jobs, options.threads);
    if (options.json)
        printJson(results);
    else
        printTable(results);
    if (!options.reportDir.empty() && !writeReport(options.reportDir, results)) {
        std::cerr << "lycheefront-measure: cannot write to " << options.reportDir << "\n";
        return 1;
    }
    return 0;
}

} // namespace measure

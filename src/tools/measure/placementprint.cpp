#include "placementresult.h"

#include <boost/json.hpp>

#include <cstdio>
#include <iostream>

namespace measure {

namespace {

double reuseIn(const placement_result& result, phase which)
{
    return result.reuse.at(static_cast<std::size_t>(which));
}

void printHead(const placement_result& first)
{
    std::printf("\n%s: %u engines, %u nodes, c = %.2f\n", first.user.c_str(), first.engines, first.nodes,
        first.bound);
    std::printf("%-28s | %-20s | %-29s | %-12s | %-15s | %-9s | %-7s %-5s | %-33s | %-5s\n", "policy",
        "reuse of oracle", "steady max/mean", "later", "bytes/s router", "packets/s", "refused", "cut",
        "wait p50/p99 s: interact chat draft", "asks");
    std::printf("%-28s | %-6s %-6s %-6s | %-5s %-5s %-5s %-5s %-5s | %-5s %-6s | %-7s %-7s | %-4s %-4s | "
                "%-7s %-5s | %-33s | %-5s\n",
        "", "steady", "change", "faults", "mean", "p99", "worst", ">c %", "p99e", "p99", "worst", "mean",
        "largest", "mean", "max", "", "", "", "");
}

void printRow(const placement_result& r)
{
    std::printf("%-28s | %6.3f %6.3f %6.3f | %5.2f %5.2f %5.2f %5.1f %5.2f | %5.2f %6.2f | %7.0f %7.0f | "
                "%4.0f %4.0f | %7llu %5llu "
                "| %4.1f/%5.1f %4.1f/%5.1f %4.1f/%5.1f | %5.2f\n",
        r.policy.c_str(), reuseIn(r, phase::Steady), reuseIn(r, phase::Changed), reuseIn(r, phase::Faults),
        r.steady.mean, r.steady.p99, r.steady.worst, r.steady.aboveBound * 100, r.steady.p99Engine,
        r.later.p99, r.later.worst, r.bytesMean, r.bytesLargest, r.packetsMean, r.packetsLargest,
        static_cast<unsigned long long>(r.refused), static_cast<unsigned long long>(r.cut), r.waits[0].p50,
        r.waits[0].p99, r.waits[1].p50, r.waits[1].p99, r.waits[2].p50, r.waits[2].p99, r.asksPerRequest);
}

boost::json::object skewJson(const skew_figures& skew)
{
    return { { "mean", skew.mean }, { "p99", skew.p99 }, { "worst", skew.worst },
        { "p99_engine", skew.p99Engine }, { "above_bound", skew.aboveBound }, { "samples", skew.samples } };
}

boost::json::object toJson(const placement_result& r)
{
    boost::json::array waits;
    for (const auto& wait : r.waits)
        waits.push_back(boost::json::object { { "p50", wait.p50 }, { "p99", wait.p99 } });
    return { { "user", r.user }, { "policy", r.policy }, { "nodes", r.nodes }, { "engines", r.engines },
        { "bound", r.bound },
        { "reuse",
            boost::json::object { { "steady", reuseIn(r, phase::Steady) },
                { "changed", reuseIn(r, phase::Changed) }, { "faults", reuseIn(r, phase::Faults) } } },
        { "steady_skew", skewJson(r.steady) }, { "later_skew", skewJson(r.later) },
        { "requests", r.requests }, { "refused", r.refused }, { "cut", r.cut }, { "waits_by_class", waits },
        { "bytes_mean", r.bytesMean }, { "bytes_largest", r.bytesLargest }, { "packets_mean", r.packetsMean },
        { "packets_largest", r.packetsLargest }, { "asks_per_request", r.asksPerRequest },
        { "largest_memory_chats", r.largestMemory } };
}

} // namespace

void printTable(const std::vector<placement_result>& results)
{
    const placement_result* before = nullptr;
    for (const auto& result : results) {
        if (!before || before->user != result.user || before->engines != result.engines
            || before->nodes != result.nodes)
            printHead(result);
        printRow(result);
        before = &result;
    }
}

void printJson(const std::vector<placement_result>& results)
{
    boost::json::array rows;
    for (const auto& result : results)
        rows.push_back(toJson(result));
    std::cout << boost::json::serialize(rows) << "\n";
}

} // namespace measure

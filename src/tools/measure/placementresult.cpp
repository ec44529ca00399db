#include "placementresult.h"

#include <algorithm>
#include <numeric>

namespace measure {

namespace {

template <class Number> double quantile(std::vector<Number> values, double share)
{
    if (values.empty())
        return 0;
    const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

double meanOf(const std::vector<double>& values)
{
    if (values.empty())
        return 0;
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

template <class Number> void append(std::vector<Number>& to, const std::vector<Number>& from)
{
    to.insert(to.end(), from.begin(), from.end());
}

skew_figures skewOf(
    const std::vector<double>& maxOverMean, const std::vector<double>& p99OverMean, double bound)
{
    skew_figures skew;
    skew.samples = maxOverMean.size();
    skew.mean = meanOf(maxOverMean);
    skew.p99 = quantile(maxOverMean, 0.99);
    skew.worst = quantile(maxOverMean, 1);
    skew.p99Engine = meanOf(p99OverMean);
    const auto above = std::ranges::count_if(maxOverMean, [&](double value) { return value > bound + 1e-9; });
    skew.aboveBound
        = maxOverMean.empty() ? 0 : static_cast<double>(above) / static_cast<double>(maxOverMean.size());
    return skew;
}

void sumControl(const engine_bench& bench, placement_result& result)
{
    const double seconds = bench.size().phases.end;
    const auto nodes = static_cast<double>(bench.control().size());
    for (const auto& count : bench.control()) {
        result.bytesMean += count.bytes / seconds / nodes;
        result.packetsMean += count.packets / seconds / nodes;
        result.bytesLargest = std::max(result.bytesLargest, count.bytes / seconds);
        result.packetsLargest = std::max(result.packetsLargest, count.packets / seconds);
    }
}

} // namespace

placement_result summarize(const engine_bench& bench, const std::string& policy,
    const std::array<double, static_cast<std::size_t>(phase::Count_)>& oracle)
{
    placement_result result;
    result.user = bench.load().name;
    result.policy = policy;
    result.nodes = bench.size().nodes;
    result.engines = bench.size().engines;
    result.bound = bench.load().loadBound;
    std::vector<double> laterMax;
    std::vector<double> laterP99;
    std::array<std::vector<float>, 3> waits;
    for (std::size_t i = 0; i < oracle.size(); ++i) {
        const auto& figures = bench.figures().at(i);
        result.reuse.at(i) = oracle.at(i) > 0 ? figures.reusedTokens / oracle.at(i) : 0;
        if (i == static_cast<std::size_t>(phase::WarmUp))
            continue;
        result.refused += figures.refused;
        result.cut += figures.cut;
        for (std::size_t rank = 0; rank < waits.size(); ++rank)
            append(waits.at(rank), figures.waits.at(rank));
        if (i == static_cast<std::size_t>(phase::Steady)) {
            result.steady = skewOf(figures.maxOverMean, figures.p99OverMean, result.bound);
        } else {
            append(laterMax, figures.maxOverMean);
            append(laterP99, figures.p99OverMean);
        }
    }
    result.later = skewOf(laterMax, laterP99, result.bound);
    for (std::size_t rank = 0; rank < waits.size(); ++rank) {
        result.requests += waits.at(rank).size();
        result.waits.at(rank) = { quantile(waits.at(rank), 0.5), quantile(waits.at(rank), 0.99) };
    }
    sumControl(bench, result);
    return result;
}

} // namespace measure

#include "loadreport.h"

#include "report/htmlreport.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <set>
#include <string_view>

namespace load {

namespace {

constexpr std::size_t kinds = static_cast<std::size_t>(request_kind::Count_);
constexpr std::array<std::string_view, kinds> kindNames { "chat", "lookup", "payment", "booking", "draft" };
constexpr std::size_t curvePoints = 100;

/// What the calls of one kind came to.
struct kind_summary {
    std::string name;
    std::size_t calls = 0;
    std::size_t whole = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t broken = 0;
    std::vector<double> latencies; ///< of whole answers, sorted
    std::vector<double> firstBytes; ///< likewise
    std::vector<double> refusals; ///< seconds until refused, sorted
};

double quantile(const std::vector<double>& sorted, double q)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

void count(kind_summary& summary, const call_record& record)
{
    ++summary.calls;
    switch (record.end) {
    case call_end::Whole:
        ++summary.whole;
        summary.latencies.push_back(record.latency);
        summary.firstBytes.push_back(record.firstByte);
        break;
    case call_end::Refused:
        ++summary.refused;
        summary.refusals.push_back(record.latency);
        break;
    case call_end::Failed:
        ++summary.failed;
        break;
    case call_end::Broken:
        ++summary.broken;
        break;
    }
}

std::vector<kind_summary> summarize(const load_result& result)
{
    std::vector<kind_summary> summaries(kinds);
    for (std::size_t i = 0; i < kinds; ++i)
        summaries[i].name = std::string(kindNames.at(i));
    for (const call_record& record : result.records)
        count(summaries[static_cast<std::size_t>(record.kind)], record);
    for (kind_summary& summary : summaries) {
        std::ranges::sort(summary.latencies);
        std::ranges::sort(summary.firstBytes);
        std::ranges::sort(summary.refusals);
    }
    return summaries;
}

std::map<std::string, std::size_t> problemsOf(const load_result& result)
{
    std::map<std::string, std::size_t> problems;
    for (const call_record& record : result.records) {
        if (record.end == call_end::Refused || record.end == call_end::Failed)
            ++problems[(record.end == call_end::Refused ? "refused: " : "failed: ") + record.problem];
    }
    return problems;
}

report::table_rows tableOf(const std::vector<kind_summary>& summaries)
{
    using report::formatNumber;
    report::table_rows table { { "kind", "calls", "whole", "refused", "failed", "broken", "p50 ms", "p99 ms",
        "max ms", "first byte p99 ms", "refused p99 ms" } };
    constexpr double milli = 1000;
    for (const kind_summary& each : summaries) {
        table.push_back({ each.name, std::to_string(each.calls), std::to_string(each.whole),
            std::to_string(each.refused), std::to_string(each.failed), std::to_string(each.broken),
            formatNumber(milli * quantile(each.latencies, 0.5), 1),
            formatNumber(milli * quantile(each.latencies, 0.99), 1),
            formatNumber(milli * quantile(each.latencies, 1), 1),
            formatNumber(milli * quantile(each.firstBytes, 0.99), 1),
            formatNumber(milli * quantile(each.refusals, 0.99), 1) });
    }
    return table;
}

std::string ledgerLine(const load_result& result)
{
    if (!result.counts)
        return "ledgers: not read";
    std::set<std::string> keys;
    for (const call_record& record : result.records) {
        if (!record.key.empty() && record.kind != request_kind::Draft)
            keys.insert(record.key);
    }
    std::size_t ran = 0;
    unsigned most = 0;
    for (const std::string& key : keys) {
        const auto found = result.counts->find(key);
        const unsigned runs = found == result.counts->end() ? 0 : found->second;
        ran += runs > 0 ? 1 : 0;
        most = std::max(most, runs);
    }
    return "ledgers: of " + std::to_string(keys.size()) + " keys sent " + std::to_string(ran)
        + " ran, most runs of one " + std::to_string(most);
}

void printJson(const load_result& result, const std::vector<kind_summary>& summaries)
{
    namespace json = boost::json;
    json::array kindList;
    for (const kind_summary& each : summaries) {
        kindList.push_back({ { "kind", each.name }, { "calls", each.calls }, { "whole", each.whole },
            { "refused", each.refused }, { "failed", each.failed }, { "broken", each.broken },
            { "p50", quantile(each.latencies, 0.5) }, { "p99", quantile(each.latencies, 0.99) },
            { "firstByteP99", quantile(each.firstBytes, 0.99) } });
    }
    json::object problems;
    for (const auto& [problem, number] : problemsOf(result))
        problems[problem] = number;
    json::array broken(result.broken.begin(), result.broken.end());
    std::cout << json::serialize(json::object { { "kinds", kindList }, { "problems", problems },
        { "notSent", result.notSent }, { "ledgersRead", result.counts.has_value() }, { "broken", broken } })
              << "\n";
}

report::plot_line curveOf(const kind_summary& summary)
{
    report::plot_line line { summary.name, {} };
    for (std::size_t i = 0; i <= curvePoints && !summary.latencies.empty(); ++i) {
        const double q = static_cast<double>(i) / curvePoints;
        line.points.push_back({ quantile(summary.latencies, q), q });
    }
    return line;
}

} // namespace

void printResult(const load_result& result, bool asJson)
{
    const std::vector<kind_summary> summaries = summarize(result);
    if (asJson) {
        printJson(result, summaries);
        return;
    }
    report::printTable(std::cout, tableOf(summaries));
    for (const auto& [problem, number] : problemsOf(result))
        std::cout << number << "  " << problem << "\n";
    std::cout << ledgerLine(result) << "\n";
    if (result.notSent > 0)
        std::cout << "not sent for too many in flight: " << result.notSent << "\n";
    std::cout << "broken promises: " << result.broken.size() << "\n";
    for (const std::string& line : result.broken)
        std::cout << "  " << line << "\n";
}

bool writeReport(const load_result& result, const std::string& directory)
{
    const std::vector<kind_summary> summaries = summarize(result);
    report::html_report page("Load against real processes");
    page.addTable(tableOf(summaries));
    page.addText(ledgerLine(result));
    page.addText("Broken promises: " + std::to_string(result.broken.size()));
    for (const std::string& line : result.broken)
        page.addText(line);
    std::vector<report::plot_line> curves;
    curves.reserve(summaries.size());
    for (const kind_summary& each : summaries)
        curves.push_back(curveOf(each));
    page.addLines(
        "Latency from the planned arrival to the whole answer", "seconds", "share of answers", curves, true);
    report::table_rows problems { { "problem", "calls" } };
    for (const auto& [problem, number] : problemsOf(result))
        problems.push_back({ problem, std::to_string(number) });
    page.addTable(problems);
    return page.write(directory);
}

} // namespace load

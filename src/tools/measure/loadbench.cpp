#include "loadbench.h"

#include "loadplay/fairness.h"
#include "loadplay/queueplay.h"
#include "loadplay/workloads.h"

#include "report/htmlreport.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iostream>
#include <string_view>

namespace measure {

namespace {

using namespace loadplay;

constexpr unsigned seed = 1;
// Sooner than a person notices.
constexpr double atOnce = 0.1;

/// One line of the table: a class of callers under one load, with safeguards or without.
struct bench_row {
    std::string load;
    std::string safeguards;
    std::string priority;
    std::size_t offered = 0;
    std::size_t served = 0;
    std::size_t later = 0;
    std::size_t refused = 0;
    std::size_t gaveUp = 0;
    double waitP50 = 0;
    double waitP99 = 0;
    double refusedAtOnce = 1; ///< share of all refusals
    double jain = 1;
    double worstTeam = 1;
    double wasted = 0; ///< share of the slots' time
};

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

double shareAtOnce(const std::vector<double>& refusedAfter)
{
    if (refusedAfter.empty())
        return 1;
    const auto soon = std::ranges::count_if(refusedAfter, [](double wait) { return wait <= atOnce; });
    return static_cast<double>(soon) / static_cast<double>(refusedAfter.size());
}

bench_row rowFor(const class_outcome& figures)
{
    bench_row row;
    row.offered = figures.offered;
    row.served = figures.served;
    row.later = figures.later;
    row.refused = figures.refused;
    row.gaveUp = figures.gaveUp;
    row.waitP50 = quantile(figures.waits, 0.5);
    row.waitP99 = quantile(figures.waits, 0.99);
    row.refusedAtOnce = shareAtOnce(figures.refusedAfter);
    return row;
}

void addRows(std::vector<bench_row>& rows, const workload& load, bool isGuarded)
{
    const auto safeguards = isGuarded ? play_safeguards {} : play_safeguards::none();
    const play_outcome outcome = queue_play(load, safeguards).run();
    const double capacity = static_cast<double>(load.servers) * load.slots * utils::toSeconds(load.length);
    const fairness_figures fairness = fairnessOf(outcome, capacity);
    for (std::size_t index = 0; index < classes; ++index) {
        if (outcome.byClass.at(index).offered == 0)
            continue;
        bench_row row = rowFor(outcome.byClass.at(index));
        row.load = load.name;
        row.safeguards = isGuarded ? "with" : "without";
        row.priority = std::string(decisions::toString(static_cast<decisions::priority_class>(index)));
        row.jain = fairness.jain;
        row.worstTeam = fairness.worst;
        row.wasted = outcome.wastedWork / capacity;
        rows.push_back(row);
    }
}

report::table_rows tableOf(const std::vector<bench_row>& rows)
{
    using report::formatNumber;
    report::table_rows table { { "load", "safeguards", "class", "offered", "served", "later", "refused",
        "gave up", "wait p50 s", "wait p99 s", "no at once", "Jain", "worst team", "wasted" } };
    for (const bench_row& row : rows) {
        table.push_back({ row.load, row.safeguards, row.priority, std::to_string(row.offered),
            std::to_string(row.served), std::to_string(row.later), std::to_string(row.refused),
            std::to_string(row.gaveUp), formatNumber(row.waitP50, 3), formatNumber(row.waitP99, 3),
            formatNumber(row.refusedAtOnce, 2), formatNumber(row.jain, 3), formatNumber(row.worstTeam, 2),
            formatNumber(row.wasted, 3) });
    }
    return table;
}

void printJson(const std::vector<bench_row>& rows)
{
    boost::json::array list;
    for (const bench_row& row : rows) {
        list.push_back({ { "load", row.load }, { "safeguards", row.safeguards }, { "class", row.priority },
            { "offered", row.offered }, { "served", row.served }, { "later", row.later },
            { "refused", row.refused }, { "gaveUp", row.gaveUp }, { "waitP50", row.waitP50 },
            { "waitP99", row.waitP99 }, { "refusedAtOnce", row.refusedAtOnce }, { "jain", row.jain },
            { "worstTeam", row.worstTeam }, { "wasted", row.wasted } });
    }
    std::cout << boost::json::serialize(list) << "\n";
}

bool writeReport(
    const std::vector<bench_row>& rows, const std::vector<workload>& loads, const std::string& directory)
{
    report::html_report page("Decisions under load");
    page.addText("What callers get, with the safeguards and without them; virtual time, one seed.");
    for (const workload& load : loads)
        page.addText(load.name + ": " + load.description);
    page.addTable(tableOf(rows));
    std::vector<report::plot_bar> waits;
    std::vector<report::plot_bar> left;
    for (const bench_row& row : rows) {
        const std::string name = row.load + ", " + row.priority;
        waits.push_back({ name, row.safeguards, row.waitP99 });
        left.push_back({ name, row.safeguards,
            static_cast<double>(row.gaveUp) / static_cast<double>(std::max<std::size_t>(row.offered, 1)) });
    }
    page.addBars("Waiting, p99, seconds", waits);
    page.addBars("Share that waited and left without an answer", left);
    return page.write(directory);
}

} // namespace

int runLoadBench(const measure_options& options)
{
    const std::vector<workload> loads = allWorkloads(seed);
    std::vector<bench_row> rows;
    for (const workload& load : loads) {
        addRows(rows, load, true);
        addRows(rows, load, false);
    }
    if (options.json)
        printJson(rows);
    else
        report::printTable(std::cout, tableOf(rows));
    if (!options.reportDir.empty() && !writeReport(rows, loads, options.reportDir + "/load")) {
        std::cerr << "cannot write the report to " << options.reportDir << "\n";
        return 1;
    }
    return 0;
}

} // namespace measure

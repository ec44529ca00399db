#include "limitbench.h"

#include "loadplay/limittraffic.h"

#include "report/htmlreport.h"

#include <boost/json.hpp>

#include <iostream>
#include <vector>

namespace measure {

namespace {

using namespace loadplay;

constexpr unsigned seed = 1;

/// Today's size, and parts of the two-year size with the same load on each node.
std::vector<limit_fleet> fleets(bool quick)
{
    using namespace std::chrono_literals;
    if (quick)
        return { { 7, 154, 31, 60s } };
    return { { 7, 10, 31, 60s }, { 7, 154, 31, 60s }, { 50, 1100, 225, 60s }, { 200, 4400, 900, 60s },
        { 400, 8800, 1800, 60s } };
}

struct limit_row {
    limit_fleet fleet;
    limit_traffic traffic;
};

report::table_rows tableOf(const std::vector<limit_row>& rows)
{
    using report::formatNumber;
    report::table_rows table { { "nodes", "teams", "requests/s", "bytes/node/s", "most loaded",
        "messages/node/s", "teams in memory", "waited for a lump", "wait p99 s", "refused" } };
    for (const limit_row& row : rows) {
        table.push_back({ std::to_string(row.fleet.nodes), std::to_string(row.fleet.teams),
            formatNumber(row.fleet.requestsPerSecond, 0), formatNumber(row.traffic.meanBytes, 0),
            formatNumber(row.traffic.mostBytes, 0), formatNumber(row.traffic.messages, 1),
            formatNumber(row.traffic.activeTeams, 1), formatNumber(row.traffic.awaited, 3),
            formatNumber(row.traffic.awaitP99, 4), formatNumber(row.traffic.refused, 4) });
    }
    return table;
}

void printJson(const std::vector<limit_row>& rows)
{
    boost::json::array list;
    for (const limit_row& row : rows) {
        list.push_back({ { "nodes", row.fleet.nodes }, { "teams", row.fleet.teams },
            { "requestsPerSecond", row.fleet.requestsPerSecond }, { "meanBytes", row.traffic.meanBytes },
            { "mostBytes", row.traffic.mostBytes }, { "messages", row.traffic.messages },
            { "activeTeams", row.traffic.activeTeams }, { "awaited", row.traffic.awaited },
            { "awaitP99", row.traffic.awaitP99 }, { "refused", row.traffic.refused } });
    }
    std::cout << boost::json::serialize(list) << "\n";
}

bool writeReport(const std::vector<limit_row>& rows, const std::string& directory)
{
    report::html_report page("What team limits cost");
    page.addText(
        "Virtual time, one seed; every team limited at twice its mean rate; messages counted at both ends.");
    page.addTable(tableOf(rows));
    report::plot_line mean { "mean node", {} };
    report::plot_line most { "most loaded node", {} };
    for (const limit_row& row : rows) {
        mean.points.push_back({ static_cast<double>(row.fleet.nodes), row.traffic.meanBytes });
        most.points.push_back({ static_cast<double>(row.fleet.nodes), row.traffic.mostBytes });
    }
    page.addLines("Control traffic of team limits", "nodes", "bytes a second", { mean, most }, true);
    return page.write(directory);
}

} // namespace

int runLimitBench(const measure_options& options)
{
    std::vector<limit_row> rows;
    for (const limit_fleet& fleet : fleets(options.quick))
        rows.push_back({ fleet, playLimitTraffic(fleet, seed) });
    if (options.json)
        printJson(rows);
    else
        report::printTable(std::cout, tableOf(rows));
    if (!options.reportDir.empty() && !writeReport(rows, options.reportDir + "/limits")) {
        std::cerr << "cannot write the report to " << options.reportDir << "\n";
        return 1;
    }
    return 0;
}

} // namespace measure

#include "placementresult.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>

namespace measure {

namespace {

constexpr double plotWidth = 420;
constexpr double plotHeight = 300;
constexpr double margin = 50;

std::string number(double value, int digits)
{
    std::ostringstream out;
    out.setf(std::ios::fixed);
    out.precision(digits);
    out << value;
    return out.str();
}

double steadyReuse(const placement_result& result)
{
    return result.reuse.at(static_cast<std::size_t>(phase::Steady));
}

bool isSameTrace(const placement_result& first, const placement_result& second)
{
    return first.user == second.user && first.engines == second.engines && first.nodes == second.nodes;
}

/// One axis of a plot: from low to high, over the plot's inner length.
struct axis {
    double low;
    double high;
    double length;

    double place(double value) const { return (std::clamp(value, low, high) - low) / (high - low) * length; }
};

void writeAxes(std::ostream& out, const std::string& title, const axis& x, const axis& y,
    const std::string& xName, const std::string& yName)
{
    const double bottom = margin + y.length;
    out << "<svg width='" << plotWidth + 2 * margin << "' height='" << plotHeight + 2 * margin << "'>"
        << "<text x='" << margin << "' y='20' font-weight='bold'>" << title << "</text>"
        << "<path d='M" << margin << " " << margin << "V" << bottom << "H" << margin + x.length
        << "' fill='none' stroke='#444'/>"
        << "<text x='" << margin << "' y='" << bottom + 18 << "'>" << number(x.low, 2) << "</text>"
        << "<text x='" << margin + x.length << "' y='" << bottom + 18 << "' text-anchor='end'>"
        << number(x.high, 2) << "</text>"
        << "<text x='" << margin + x.length / 2 << "' y='" << bottom + 36 << "' text-anchor='middle'>"
        << xName << "</text>"
        << "<text x='" << margin - 6 << "' y='" << bottom << "' text-anchor='end'>" << number(y.low, 1)
        << "</text>"
        << "<text x='" << margin - 6 << "' y='" << margin + 8 << "' text-anchor='end'>" << number(y.high, 1)
        << "</text>"
        << "<text x='" << margin << "' y='" << margin - 8 << "'>" << yName << "</text>";
}

/// Reuse over skew: up and left is better.
void writeReusePlot(std::ostream& out, const std::vector<placement_result>& group)
{
    const axis x { 1, 2.5, plotWidth };
    const axis y { 0, 1, plotHeight };
    writeAxes(
        out, "Reuse over skew, steady", x, y, "max/mean load, mean of samples", "reuse, share of the oracle");
    for (const auto& result : group) {
        const double px = margin + x.place(result.steady.mean);
        const double py = margin + y.length - y.place(steadyReuse(result));
        const bool isOurs = result.policy.find("home") != std::string::npos;
        out << "<circle cx='" << px << "' cy='" << py << "' r='5' fill='" << (isOurs ? "#b3123b" : "#37c")
            << "'/>"
            << "<text x='" << px + 7 << "' y='" << py + 4 << "'>" << result.policy << "</text>";
    }
    out << "</svg>\n";
}

/// A bar a policy.
void writeBars(std::ostream& out, const std::string& title, const std::vector<placement_result>& group,
    const std::function<double(const placement_result&)>& valueOf, int digits)
{
    constexpr double barHeight = 18;
    constexpr double labelWidth = 190;
    double largest = 1e-9;
    for (const auto& result : group)
        largest = std::max(largest, valueOf(result));
    out << "<svg width='" << plotWidth + labelWidth + 80 << "' height='"
        << 30 + barHeight * static_cast<double>(group.size()) << "'><text x='0' y='16' font-weight='bold'>"
        << title << "</text>";
    double y = 24;
    for (const auto& result : group) {
        const double value = valueOf(result);
        const double width = value / largest * plotWidth;
        out << "<text x='0' y='" << y + 13 << "'>" << result.policy << "</text><rect x='" << labelWidth
            << "' y='" << y << "' width='" << width << "' height='14' fill='#37c'/><text x='"
            << labelWidth + width + 4 << "' y='" << y + 12 << "'>" << number(value, digits) << "</text>";
        y += barHeight;
    }
    out << "</svg>\n";
}

void writeTable(std::ostream& out, const std::vector<placement_result>& group)
{
    out << "<table><tr><th>policy<th>reuse steady<th>after change<th>with "
           "faults<th>max/mean<th>p99<th>worst<th>above c, %"
           "<th>bytes/s a router<th>largest<th>refused<th>wait p99 s: interactive<th>chat<th>draft</tr>\n";
    for (const auto& r : group) {
        out << "<tr><td>" << r.policy;
        for (const double value : r.reuse) {
            if (&value != &r.reuse.front())
                out << "<td>" << number(value, 3);
        }
        out << "<td>" << number(r.steady.mean, 2) << "<td>" << number(r.steady.p99, 2) << "<td>"
            << number(r.steady.worst, 2) << "<td>" << number(r.steady.aboveBound * 100, 1) << "<td>"
            << number(r.bytesMean, 0) << "<td>" << number(r.bytesLargest, 0) << "<td>" << r.refused;
        for (const auto& wait : r.waits)
            out << "<td>" << number(wait.p99, 1);
        out << "</tr>\n";
    }
    out << "</table>\n";
}

void writeGroup(std::ostream& out, const std::vector<placement_result>& group)
{
    const auto& first = group.front();
    out << "<h2>" << first.user << ": " << first.engines << " engines, " << first.nodes
        << " nodes, c = " << number(first.bound, 2) << "</h2>\n";
    writeTable(out, group);
    writeReusePlot(out, group);
    writeBars(
        out, "Control bytes a second, mean of routers", group, [](const auto& r) { return r.bytesMean; }, 0);
    writeBars(
        out, "Load skew, 99th percentile of samples", group, [](const auto& r) { return r.steady.p99; }, 2);
}

} // namespace

bool writeReport(const std::string& directory, const std::vector<placement_result>& results)
{
    std::error_code error;
    std::filesystem::create_directories(directory, error);
    std::ofstream out(directory + "/placement.html");
    out << "<!doctype html><meta charset='utf-8'><title>lycheefront: placement measured</title><style>"
           "body{font:14px sans-serif;margin:2em}svg{font:12px sans-serif}table{border-collapse:collapse}"
           "td,th{border:1px solid #ccc;padding:2px "
           "6px;text-align:right}td:first-child{text-align:left}</style>\n"
           "<h1>Placement measured</h1><p>Virtual time, fixed seed. docs/MEASURES.md explains the "
           "columns.</p>\n";
    std::vector<placement_result> group;
    for (const auto& result : results) {
        if (!group.empty() && !isSameTrace(group.front(), result)) {
            writeGroup(out, group);
            group.clear();
        }
        group.push_back(result);
    }
    if (!group.empty())
        writeGroup(out, group);
    return static_cast<bool>(out);
}

} // namespace measure

#include "htmlreport.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>

namespace report {

namespace {

constexpr double width = 560;
constexpr double height = 260;
constexpr double margin = 60;
constexpr double barHeight = 16;
constexpr std::array<std::string_view, 6> colours { "#2a6f97", "#b3123b", "#e09f3e", "#4f772d", "#6a4c93",
    "#555555" };

std::string escaped(const std::string& text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '\'':
            result += "&#39;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string label(double x, double y, const std::string& text, const std::string& more = {})
{
    return "<text x='" + formatNumber(x, 1) + "' y='" + formatNumber(y, 1) + "' " + more + ">" + escaped(text)
        + "</text>";
}

std::string colourOf(std::size_t index)
{
    return std::string(colours.at(index % colours.size()));
}

/// Maps values to a place on a plot's axis.
struct axis {
    double low = 0;
    double high = 1;
    double length = 1;
    bool isLog = false;

    double scaled(double value) const { return isLog ? std::log10(value) : value; }
    double place(double value) const
    {
        const double range = std::max(scaled(high) - scaled(low), 1e-12);
        return (scaled(value) - scaled(low)) / range * length;
    }
};

void widen(axis& target, double value, bool isFirst)
{
    target.low = isFirst ? value : std::min(target.low, value);
    target.high = isFirst ? value : std::max(target.high, value);
}

std::string drawLine(const plot_line& line, std::size_t index, const axis& x, const axis& y)
{
    std::string points;
    for (const plot_point& point : line.points) {
        if (x.isLog && point.x <= 0)
            continue;
        points += formatNumber(margin + x.place(point.x), 1) + ","
            + formatNumber(margin + y.length - y.place(point.y), 1) + " ";
    }
    const double row = margin + 14 * static_cast<double>(index);
    return "<polyline fill='none' stroke-width='2' stroke='" + colourOf(index) + "' points='" + points + "'/>"
        + label(margin + width + 8, row, line.name, "fill='" + colourOf(index) + "'");
}

} // namespace

html_report::html_report(const std::string& title)
    : m_title(title)
{
}

void html_report::addHeading(const std::string& text)
{
    m_body += "<h2>" + escaped(text) + "</h2>\n";
}

void html_report::addText(const std::string& text)
{
    m_body += "<p>" + escaped(text) + "</p>\n";
}

void html_report::addTable(const table_rows& rows)
{
    m_body += "<table>\n";
    bool isHeading = true;
    for (const auto& row : rows) {
        const std::string cell = isHeading ? "th" : "td";
        m_body += "<tr>";
        for (const std::string& text : row) {
            m_body += "<" + cell + ">";
            m_body += escaped(text) + "</" + cell + ">";
        }
        m_body += "</tr>\n";
        isHeading = false;
    }
    m_body += "</table>\n";
}

void html_report::addBars(const std::string& title, const std::vector<plot_bar>& bars)
{
    double most = 1e-12;
    std::vector<std::string> series;
    for (const plot_bar& bar : bars) {
        most = std::max(most, bar.value);
        if (std::ranges::find(series, bar.series) == series.end())
            series.push_back(bar.series);
    }
    const double left = 3 * margin;
    const double total = static_cast<double>(bars.size()) * (barHeight + 4) + 2 * margin;
    std::ostringstream out;
    out << "<svg width='" << left + width + margin << "' height='" << total << "'>"
        << label(0, 18, title, "font-weight='bold'");
    double y = 30;
    for (const plot_bar& bar : bars) {
        const auto index = static_cast<std::size_t>(std::ranges::find(series, bar.series) - series.begin());
        const double length = bar.value / most * width * 0.8;
        out << label(left - 6, y + 12, bar.label + ", " + bar.series, "text-anchor='end'") << "<rect x='"
            << left << "' y='" << y << "' width='" << formatNumber(length, 1) << "' height='" << barHeight
            << "' fill='" << colourOf(index) << "'/>"
            << label(left + length + 6, y + 12, formatNumber(bar.value, 3));
        y += barHeight + 4;
    }
    out << "</svg>\n";
    m_body += out.str();
}

void html_report::addLines(const std::string& title, const std::string& xName, const std::string& yName,
    const std::vector<plot_line>& lines, bool isLogX)
{
    axis x { 0, 1, width, isLogX };
    axis y { 0, 1, height, false };
    bool isFirst = true;
    for (const plot_line& line : lines) {
        for (const plot_point& point : line.points) {
            if (isLogX && point.x <= 0)
                continue;
            widen(x, point.x, isFirst);
            widen(y, point.y, isFirst);
            isFirst = false;
        }
    }
    const double bottom = margin + height;
    std::ostringstream out;
    out << "<svg width='" << width + 5 * margin << "' height='" << height + 2 * margin << "'>"
        << label(margin, 20, title, "font-weight='bold'") << "<path d='M" << margin << " " << margin << "V"
        << bottom << "H" << margin + width << "' fill='none' stroke='#444'/>"
        << label(margin, bottom + 16, formatNumber(x.low, 4))
        << label(margin + width, bottom + 16, formatNumber(x.high, 4), "text-anchor='end'")
        << label(margin + width / 2, bottom + 34, xName, "text-anchor='middle'")
        << label(margin - 6, bottom, formatNumber(y.low, 2), "text-anchor='end'")
        << label(margin - 6, margin + 8, formatNumber(y.high, 2), "text-anchor='end'")
        << label(margin, margin - 10, yName);
    for (std::size_t index = 0; index < lines.size(); ++index)
        out << drawLine(lines[index], index, x, y);
    out << "</svg>\n";
    m_body += out.str();
}

bool html_report::write(const std::string& directory) const
{
    std::error_code error;
    std::filesystem::create_directories(directory, error);
    std::ofstream out(std::filesystem::path(directory) / "index.html");
    out << "<!doctype html>\n<html lang='en'><head><meta charset='utf-8'><title>" << escaped(m_title)
        << "</title>\n<style>body{font:14px sans-serif;max-width:62em;margin:2em auto}"
           "table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:3px 8px;"
           "text-align:right}td:first-child,th:first-child{text-align:left}svg{display:block;margin:1em 0;"
           "font:12px sans-serif}</style></head><body>\n<h1>"
        << escaped(m_title) << "</h1>\n"
        << m_body << "</body></html>\n";
    return static_cast<bool>(out.flush());
}

void printTable(std::ostream& out, const table_rows& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            out << (i == 0 ? "" : "  ") << row[i] << std::string(widths[i] - row[i].size(), ' ');
        out << "\n";
    }
}

std::string formatNumber(double value, int digits)
{
    std::ostringstream out;
    out.setf(std::ios::fixed);
    out.precision(digits);
    out << value;
    return out.str();
}

} // namespace report

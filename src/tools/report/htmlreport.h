#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace report {

/// Rows of a table; the first row is the heading.
using table_rows = std::vector<std::vector<std::string>>;

/// One bar of a plot; bars of the same label stand side by side.
struct plot_bar {
    std::string label;
    std::string series;
    double value = 0;
};

struct plot_point {
    double x = 0;
    double y = 0;
};

/// One line of a plot.
struct plot_line {
    std::string name;
    std::vector<plot_point> points;
};

/// A page of texts, tables and plots without scripts or outside files. Not thread safe.
class html_report {
public:
    explicit html_report(const std::string& title);

    void addHeading(const std::string& text);
    void addText(const std::string& text);
    void addTable(const table_rows& rows);
    void addBars(const std::string& title, const std::vector<plot_bar>& bars);
    /// `isLogX`: x on a logarithmic scale; points with x <= 0 are left out.
    void addLines(const std::string& title, const std::string& xName, const std::string& yName,
        const std::vector<plot_line>& lines, bool isLogX);

    /// Writes `index.html` in the directory, which it makes if missing. False when that fails.
    bool write(const std::string& directory) const;

private:
    std::string m_title;
    std::string m_body;
};

/// Prints a table with aligned columns. Thread safe for different streams.
void printTable(std::ostream& out, const table_rows& rows);

/// Fixed digits after the point. Thread safe.
std::string formatNumber(double value, int digits);

} // namespace report

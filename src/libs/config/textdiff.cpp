#include "textdiff.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace config {

namespace {

using lines = std::vector<std::string_view>;

/// Above this the table of common lines would take more than 64 MB; the texts are then shown whole.
constexpr std::size_t largestTable = 16'000'000;

lines split(std::string_view text)
{
    lines found;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        found.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return found;
}

/// Length of the longest common subsequence of the tails that begin at (row, column).
class common_table {
public:
    common_table(const lines& from, const lines& to)
        : m_width(to.size() + 1)
        , m_lengths((from.size() + 1) * m_width)
    {
        for (std::size_t i = from.size(); i-- > 0;) {
            for (std::size_t j = to.size(); j-- > 0;)
                at(i, j) = from[i] == to[j] ? get(i + 1, j + 1) + 1 : std::max(get(i + 1, j), get(i, j + 1));
        }
    }

    std::uint32_t get(std::size_t row, std::size_t column) const { return m_lengths[row * m_width + column]; }

private:
    std::uint32_t& at(std::size_t row, std::size_t column) { return m_lengths[row * m_width + column]; }

    std::size_t m_width;
    std::vector<std::uint32_t> m_lengths;
};

void append(std::string& into, char sign, std::string_view line)
{
    into += sign;
    into += line;
    into += '\n';
}

} // namespace

std::string diffLines(std::string_view from, std::string_view to)
{
    if (from == to)
        return {};
    const lines left = split(from);
    const lines right = split(to);
    const bool isTooLarge = (left.size() + 1) * (right.size() + 1) > largestTable;
    const common_table common(isTooLarge ? lines() : left, isTooLarge ? lines() : right);
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (!isTooLarge && i < left.size() && j < right.size()) {
        if (left[i] == right[j]) {
            append(text, ' ', left[i]);
            ++i;
            ++j;
        } else if (common.get(i + 1, j) >= common.get(i, j + 1)) {
            append(text, '-', left[i++]);
        } else {
            append(text, '+', right[j++]);
        }
    }
    while (i < left.size())
        append(text, '-', left[i++]);
    while (j < right.size())
        append(text, '+', right[j++]);
    return text;
}

} // namespace config

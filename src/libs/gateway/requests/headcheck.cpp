#include "headcheck.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace gateway {

namespace {

using enum head_fault;

constexpr std::array<std::string_view, static_cast<std::size_t>(Count_)> names { "none", "bare_line_end",
    "folded_line", "doubled_header", "two_lengths", "bad_name", "no_host" };

struct header_counts {
    unsigned host = 0;
    unsigned length = 0;
    unsigned coding = 0;
};

bool hasBareLineEnd(std::string_view head)
{
    for (std::size_t i = 0; i < head.size(); ++i) {
        if (head[i] == '\n' && (i == 0 || head[i - 1] != '\r'))
            return true;
        if (head[i] == '\r' && (i + 1 == head.size() || head[i + 1] != '\n'))
            return true;
        if (head[i] == '\0')
            return true;
    }
    return false;
}

bool isValidName(std::string_view name)
{
    return !name.empty()
        && std::ranges::all_of(name, [](unsigned char c) { return c > ' ' && c < 0x7f && c != '"'; });
}

void count(header_counts& counts, std::string_view name)
{
    if (boost::beast::iequals(name, "Host"))
        ++counts.host;
    else if (boost::beast::iequals(name, "Content-Length"))
        ++counts.length;
    else if (boost::beast::iequals(name, "Transfer-Encoding"))
        ++counts.coding;
}

} // namespace

std::string_view toString(head_fault fault)
{
    return names.at(static_cast<std::size_t>(fault));
}

head_fault checkHead(std::string_view head)
{
    if (hasBareLineEnd(head))
        return BareLineEnd;
    header_counts counts;
    std::size_t at = head.find("\r\n");
    while (at != std::string_view::npos && at + 2 < head.size()) {
        at += 2;
        const std::size_t end = head.find("\r\n", at);
        const std::string_view line = head.substr(at, end == std::string_view::npos ? end : end - at);
        if (line.empty())
            break;
        if (line.front() == ' ' || line.front() == '\t')
            return FoldedLine;
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isValidName(line.substr(0, colon)))
            return BadName;
        count(counts, line.substr(0, colon));
        at = end;
    }
    if (counts.host > 1 || counts.length > 1 || counts.coding > 1)
        return DoubledHeader;
    if (counts.length > 0 && counts.coding > 0)
        return TwoLengths;
    return counts.host == 0 ? NoHost : None;
}

} // namespace gateway

#include "fieldformats.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace config {

namespace {

constexpr std::size_t longestName = 64;
constexpr std::size_t digestDigits = 64;
constexpr unsigned highestPort = 65535;

struct duration_unit {
    std::string_view name;
    std::int64_t milliseconds;
};

/// Largest first, so that durationText finds the shortest text.
constexpr std::array units {
    duration_unit { "h", 3'600'000 },
    duration_unit { "m", 60'000 },
    duration_unit { "s", 1000 },
    duration_unit { "ms", 1 },
};

/// Above this a count of hours would overflow microseconds.
constexpr std::int64_t highestAmount = 1'000'000'000;

bool isNameCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return isLetter || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool isPort(std::string_view text)
{
    unsigned port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc() && end == text.data() + text.size() && port <= highestPort;
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= longestName && std::ranges::all_of(text, isNameCharacter);
}

bool isAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !isPort(std::string_view(text).substr(colon + 1)))
        return false;
    std::string host = text.substr(0, colon);
    std::array<unsigned char, sizeof(in6_addr)> parsed {};
    if (host.starts_with('[') && host.ends_with(']'))
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), parsed.data()) == 1;
    return inet_pton(AF_INET, host.c_str(), parsed.data()) == 1;
}

bool isDigest(std::string_view text)
{
    return text.size() == digestDigits
        && std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

std::optional<utils::duration> durationFromText(std::string_view text)
{
    std::int64_t amount = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    if (error != std::errc() || amount < 0 || amount > highestAmount)
        return std::nullopt;
    const std::string_view name(end, text.data() + text.size());
    const auto unit = std::ranges::find(units, name, &duration_unit::name);
    if (unit == units.end())
        return std::nullopt;
    return std::chrono::milliseconds(amount * unit->milliseconds);
}

std::string durationText(utils::duration value)
{
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    for (const duration_unit& unit : units) {
        if (milliseconds % unit.milliseconds == 0)
            return std::to_string(milliseconds / unit.milliseconds) + std::string(unit.name);
    }
    return {};
}

} // namespace config

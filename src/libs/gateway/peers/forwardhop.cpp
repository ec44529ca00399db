#include "forwardhop.h"

#include <charconv>

namespace gateway {

namespace {

constexpr char separator = '-';
constexpr std::string_view paidMark = "-p";
constexpr int hexadecimal = 16;

/// Takes one number and the separator behind it; nothing if there is no number.
template <class Number> std::optional<Number> takeNumber(std::string_view& text)
{
    const std::string_view digits = text.substr(0, text.find(separator));
    Number value {};
    const auto [end, status]
        = std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    if (status != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    text.remove_prefix(std::min(text.size(), digits.size() + 1));
    return value;
}

std::string hex(std::uint64_t value)
{
    std::string digits(sizeof(value) * 2, '0');
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    digits.resize(static_cast<std::size_t>(result.ptr - digits.data()));
    return digits;
}

} // namespace

std::string encodeHop(const forward_hop& hop)
{
    std::string text
        = hex(hop.receiver) + separator + hex(hop.configurationVersion) + separator + hex(hop.earlierRuns);
    // Builds that do not know the attempts sent read a hop without them. Those that do not know the version
    // must not take the request: they would choose among all servers.
    if (hop.earlierSent > hop.earlierRuns || hop.streamVersion)
        text += separator + hex(hop.earlierSent);
    if (hop.streamVersion)
        text += separator + hex(*hop.streamVersion);
    // Builds that do not know the mark must not take the request: they would pay for it a second time.
    if (hop.isRetryPaid)
        text += paidMark;
    return text;
}

std::string encodeProcess(const decisions::server_process& process)
{
    return hex(process.startedAtMs) + separator + process.id.str();
}

std::optional<decisions::server_process> decodeProcess(std::string_view text)
{
    const auto startedAtMs = takeNumber<std::uint64_t>(text);
    if (!startedAtMs || text.empty())
        return std::nullopt;
    return decisions::server_process { utils::server_id(std::string(text)), *startedAtMs };
}

std::string encodeVersion(std::uint64_t version)
{
    return hex(version);
}

std::optional<std::uint64_t> decodeVersion(std::string_view text)
{
    const auto version = takeNumber<std::uint64_t>(text);
    return text.empty() ? version : std::nullopt;
}

std::optional<forward_hop> decodeHop(std::string_view text)
{
    const bool isRetryPaid = text.ends_with(paidMark);
    if (isRetryPaid)
        text.remove_suffix(paidMark.size());
    if (text.ends_with(separator))
        return std::nullopt;
    const auto receiver = takeNumber<std::uint64_t>(text);
    const auto version = receiver ? takeNumber<std::uint64_t>(text) : std::nullopt;
    const auto runs = version ? takeNumber<unsigned>(text) : std::nullopt;
    if (!runs)
        return std::nullopt;
    const auto sent = text.empty() ? runs : takeNumber<unsigned>(text);
    if (!sent || *sent < *runs)
        return std::nullopt;
    forward_hop hop { *receiver, *version, *runs, *sent, {}, isRetryPaid };
    if (text.empty())
        return hop;
    hop.streamVersion = takeNumber<std::uint64_t>(text);
    return hop.streamVersion && text.empty() ? std::optional(hop) : std::nullopt;
}

} // namespace gateway

#pragma once

#include "utils/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace config {

inline constexpr const char* nameFormat = "a name of letters, digits, '.', '_' and '-', at most 64";
inline constexpr const char* addressFormat = "ip:port";
inline constexpr const char* digestFormat = "a SHA-256 of 64 lower-case hexadecimal digits";

/// Thread safe.
bool isName(std::string_view text);
/// "ip:port", IPv6 in brackets; host names are refused, for a process is reached by IP number. Thread safe.
bool isAddress(const std::string& text);
/// Thread safe.
bool isDigest(std::string_view text);
/// "250ms", "30s", "5m", "2h"; nothing for other text. Thread safe.
std::optional<utils::duration> durationFromText(std::string_view text);
/// The shortest text that durationFromText reads back. Below a millisecond the rest is cut. Thread safe.
std::string durationText(utils::duration value);

} // namespace config

#pragma once

#include <algorithm>
#include <cstddef>

namespace decisions {

/// How many orders of requests are told apart; 0 is the most urgent.
inline constexpr int urgencyLevels = 10;

/// The place of an urgency in a table of all; what lies outside counts as the nearest. Thread safe.
constexpr std::size_t urgencyIndex(int urgency)
{
    return static_cast<std::size_t>(std::clamp(urgency, 0, urgencyLevels - 1));
}

} // namespace decisions

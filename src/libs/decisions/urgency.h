#pragma once

#include <algorithm>
#include <cstddef>

namespace decisions {

/// Number of urgency levels; 0 is the most urgent.
inline constexpr int urgencyLevels = 10;

/// Index of an urgency in an array with one element per level. Values out of range count as the nearest
/// level. Thread safe.
constexpr std::size_t urgencyIndex(int urgency)
{
    return static_cast<std::size_t>(std::clamp(urgency, 0, urgencyLevels - 1));
}

} // namespace decisions

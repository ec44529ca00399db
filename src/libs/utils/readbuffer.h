#pragma once

#include <cstddef>

namespace utils {

/// Beast's limit of heads where a parser is given no other, in bytes.
inline constexpr std::size_t defaultMaxHeadBytes = 8192;

/// Limit of the bytes of a connection that are received and not parsed yet, where heads have at most
/// `headBytes`. A parser keeps back incomplete heads, chunk heads and trailers only; without a limit, framing
/// that never ends fills the memory. Thread safe.
constexpr std::size_t readBufferLimit(std::size_t headBytes)
{
    constexpr std::size_t readAhead = 65536; // bytes; what Beast reads at once
    return headBytes + readAhead;
}

} // namespace utils

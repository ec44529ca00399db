#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace serving {

/// Tokens of a prompt as its engine counts them.
struct prompt_usage {
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0; ///< found in the engine's prefix cache
};

/// Finds the usage in an answer that passes by. It stands at the end of a whole answer and in the last event
/// of a streamed one, so only the tail is kept: bytes of a stream are never held back or parsed one by one.
/// Not thread safe.
class usage_scan {
public:
    void feed(std::string_view bytes);
    /// The usage in what was fed last; nothing if the engine reports none.
    std::optional<prompt_usage> find() const;

private:
    std::string m_tail;
};

} // namespace serving

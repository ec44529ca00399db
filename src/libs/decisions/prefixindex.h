#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace decisions {

/// A part of a prompt. Requests may share all parts but the last one.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    template <class Archive> void serialize(Archive& archive) { archive(id, tokens); }
};

/// Estimate of the prompt parts in an engine's KV cache, from the requests that were sent there. Evicts the
/// least recently used parts, as the engine does. Not thread safe.
class prefix_index {
public:
    /// `capacity`: tokens that the engine's cache holds.
    explicit prefix_index(std::uint64_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Records that a request with these parts was sent to the engine.
    void touch(std::span<const prompt_part> parts);
    /// Removes parts whose prefill did not finish.
    void forget(std::span<const prompt_part> parts);
    /// Returns the tokens of the leading parts that the engine holds, for which it needs no prefill.
    std::uint32_t heldTokens(std::span<const prompt_part> parts) const;

private:
    struct held_part {
        std::uint64_t id = 0;
        std::uint32_t tokens = 0;
    };

    std::uint64_t m_capacity;
    std::uint64_t m_held = 0;
    std::list<held_part> m_order; ///< most recently used first
    std::unordered_map<std::uint64_t, std::list<held_part>::iterator> m_places;
};

} // namespace decisions

#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace decisions {

/// A part of a prompt that requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    template <class Archive> void serialize(Archive& archive) { archive(id, tokens); }
};

/// Which parts of prompts an engine is thought to hold, from what this node has sent there. The parts least
/// recently used go first, as in the engine. Not thread safe.
class prefix_index {
public:
    /// `capacity` in tokens: what the engine keeps of parts.
    explicit prefix_index(std::uint64_t capacity)
        : m_capacity(capacity)
    {
    }

    /// A request with these parts was sent there.
    void touch(std::span<const prompt_part> parts);
    /// The engine has not read these parts after all.
    void forget(std::span<const prompt_part> parts);
    /// Tokens that the engine need not read: of the leading parts that it holds.
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

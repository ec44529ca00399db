#pragma once

#include "utils/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace decisions {

/// Remembers when answers began lately, by key.
///
/// Load: most keys are seen once, some again and again. Two generations of bounded size follow each other, so
/// that keys in use are never displaced by those that are seen once. Not thread safe.
class recent_answers {
public:
    /// `lifetime`: for which an answer is remembered at least while there is room. `capacity`: keys of a
    /// generation, 60 bytes each. Precondition: `capacity` is not 0.
    recent_answers(utils::duration lifetime, std::size_t capacity)
        : m_lifetime(lifetime)
        , m_capacity(capacity)
    {
    }

    /// Records that an answer began at `beganAt`.
    void record(std::uint64_t key, utils::time_point beganAt, utils::time_point now);
    /// When the last answer began; nothing if none is remembered.
    std::optional<utils::time_point> find(std::uint64_t key) const;
    /// Whether an answer began within the lifetime.
    bool isRecent(std::uint64_t key, utils::time_point now) const;
    /// Drops what is older than the lifetime.
    void expire(utils::time_point now);
    std::size_t size() const { return m_current.size() + m_previous.size(); }

private:
    using generation = std::unordered_map<std::uint64_t, utils::time_point>;

    void startGeneration(utils::time_point now);

    utils::duration m_lifetime;
    std::size_t m_capacity;
    generation m_current;
    generation m_previous;
    utils::time_point m_startedAt {}; ///< of the current generation
};

} // namespace decisions

#pragma once

#include <cstdint>

namespace wire {

/// Remembers which datagrams of one sender have arrived, so that a recorded one does not pass twice. A
/// repeated "I am alive" would otherwise keep a dead node in the membership. Not thread safe.
class replay_window {
public:
    /// Whether a datagram is new. `bootId` grows from one start of the sender to the next, `sequence`
    /// from one datagram to the next. Datagrams that overtake each other by less than `width` pass.
    bool accept(std::uint64_t bootId, std::uint64_t sequence);

private:
    /// More than a node sends in ten seconds: a datagram later than that is of no use.
    static constexpr std::uint64_t width = 64;

    std::uint64_t m_bootId = 0;
    std::uint64_t m_highest = 0;
    std::uint64_t m_seen = 0; ///< bit i: m_highest - i has arrived
};

} // namespace wire

#pragma once

#include <cstdint>

namespace wire {

/// Tracks which datagrams of one sender have arrived, to reject replays. A replayed "alive" message would
/// otherwise keep a dead node in the membership. Not thread safe.
class replay_window {
public:
    /// Whether a datagram is new; records it. `bootId` increases with each start of the sender, `sequence`
    /// with each datagram. Datagrams reordered by less than `windowSize` are accepted.
    bool accept(std::uint64_t bootId, std::uint64_t sequence);

private:
    /// More datagrams than a node sends in ten seconds; a datagram that is delayed longer is of no use.
    static constexpr std::uint64_t windowSize = 64;

    std::uint64_t m_bootId = 0;
    std::uint64_t m_highest = 0;
    std::uint64_t m_seen = 0; ///< bit i: m_highest - i has arrived
};

} // namespace wire

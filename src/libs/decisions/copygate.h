#pragma once

#include <cstddef>

namespace decisions {

/// Limits the copies of its view that a node sends concurrently.
///
/// Load: a configuration of 800 KB comes into force in a fleet of 80 nodes with links of 10 Mbit/s. All
/// nodes that learn of it request it from the first node that has it. Seven concurrent copies saturate the
/// link for five seconds, in which the node sends nothing else. When copies are sent one after another, the
/// first one arrives after 0.7 s and its receiver sends copies as well: the number of nodes that have it
/// doubles with each round. Not thread safe.
class copy_gate {
public:
    /// Whether a copy of that size may start. If so, it counts as in flight until end() is called with the
    /// same size. A node whose request is denied asks another node.
    bool tryBegin(std::size_t bytes);
    void end(std::size_t bytes);
    /// Whether every copy larger than `alwaysAllowedBytes` would be denied.
    bool isFull() const { return m_inFlightBytes >= maxConcurrentBytes; }

    /// Largest total size of the copies in flight. A larger copy is sent alone.
    static constexpr std::size_t maxConcurrentBytes = 125000;
    /// Copies up to this size are always allowed and not counted, such as changes of a few servers.
    static constexpr std::size_t alwaysAllowedBytes = 16384;

private:
    std::size_t m_inFlightBytes = 0;
};

} // namespace decisions

#pragma once

#include <cstddef>

namespace decisions {

/// Which copies a node hands out at the same time.
///
/// Load: a configuration of 800 KB is put in force in a fleet of 80 nodes with links of 10 Mbit/s. Whoever
/// knows it first is asked by all who hear of it. Seven copies at once take the link for five seconds, in
/// which nothing else leaves the node. One after the other the first is there after 0.7 s, and whoever has it
/// hands it on: each turn doubles their number. Not thread safe.
class copy_gate {
public:
    /// Whether a copy of so many bytes may begin; it is then under way until end() with the same bytes.
    /// Whoever is turned away asks another node.
    bool tryBegin(std::size_t bytes);
    void end(std::size_t bytes);
    /// Whether even the smallest copy that counts would be turned away.
    bool isFull() const { return m_inFlightBytes >= maxConcurrentBytes; }

    /// Bytes of the copies that are under way together; a larger one goes alone.
    static constexpr std::size_t maxConcurrentBytes = 125000;
    /// Bytes up to which a copy is handed out at any time: news of a few servers.
    static constexpr std::size_t alwaysAllowedBytes = 16384;

private:
    std::size_t m_inFlightBytes = 0; ///< bytes
};

} // namespace decisions

#pragma once

#include "wire/shortserialization.h"

#include <cstdint>
#include <string>

namespace gateway {

/// A datagram about an engine that has reported more requests than it should have.
struct load_message {
    std::string server;
    std::uint32_t requests = 0; ///< that run and wait there

    /// Longest id of a server in a datagram.
    static constexpr std::size_t maxServerLength = 200;

    template <class Archive> void serialize(Archive& archive)
    {
        std::uint8_t marker = firstByte;
        archive(marker);
        wire::detail::serializeShort(archive, server);
        archive(requests);
    }

    /// Where a heartbeat has the length of its sender's name, which is shorter. The datagram is shorter than
    /// that, so a build that does not know it drops it as an incomplete heartbeat.
    static constexpr std::uint8_t firstByte = 0xfa;
};

} // namespace gateway

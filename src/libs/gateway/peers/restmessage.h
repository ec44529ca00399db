#pragma once

#include "decisions/serverrests.h"

#include "wire/shortserialization.h"

#include <cstdint>

namespace gateway {

/// A datagram about a backend server that has asked a node for rest, or takes requests again.
struct rest_message {
    decisions::rest_update update;

    /// Longest id of a server in a datagram.
    static constexpr std::size_t maxServerLength = 200;

    template <class Archive> void serialize(Archive& archive)
    {
        std::uint8_t marker = firstByte;
        archive(marker);
        wire::detail::serializeShort(archive, update.server);
        archive(update.startedAtMs, update.leftMs);
    }

    /// Where a heartbeat has the length of its sender's name, which is shorter. The datagram is shorter than
    /// that, so a build that does not know it drops it as an incomplete heartbeat.
    static constexpr std::uint8_t firstByte = 0xfd;
};

} // namespace gateway

#pragma once

#include "decisions/crashingparts.h"

#include "wire/shortserialization.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway {

/// A datagram about parts of prompts under which servers crashed, or that were cleared since.
struct crash_message {
    std::vector<decisions::part_strike> strikes;

    /// Maximum number of strikes in a datagram.
    static constexpr std::size_t maxStrikes = 8;

    template <class Archive> void serialize(Archive& archive)
    {
        std::uint8_t marker = firstByte;
        archive(marker);
        wire::detail::serializeShort(archive, strikes);
    }

    /// Where a heartbeat has the length of its sender's name, which is shorter. The datagram is shorter than
    /// that, so a build that does not know it drops it as an incomplete heartbeat.
    static constexpr std::uint8_t firstByte = 0xfe;
};

/// Whether a datagram is about crashes. Thread safe.
bool isCrashMessage(std::string_view bytes);
/// The encoded datagram. Precondition: at most maxStrikes strikes. Thread safe.
std::string encodeCrashMessage(const crash_message& message);
/// The decoded datagram, or nothing if the bytes are not a valid one. Thread safe.
std::optional<crash_message> decodeCrashMessage(std::string_view bytes);

} // namespace gateway

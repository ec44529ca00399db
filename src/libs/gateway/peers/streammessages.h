#pragma once

#include "decisions/streamorigins.h"

#include "wire/shortserialization.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway {

/// What a datagram about the origins of streams is for.
enum class stream_message_kind : std::uint8_t {
    Report, ///< the sender knows these origins
    Question, ///< the sender looks for the origin of one stream, whose version is 0
    Answer, ///< to a question; version 0: unknown here
    Deposit, ///< the receiver is to write these origins to the store
    Count_
};

/// One origin in a datagram.
struct reported_origin {
    decisions::stream_origin origin;

    template <class Archive> void serialize(Archive& archive) { archive(origin.stream, origin.version); }
};

/// A datagram about the origins of streams.
struct stream_message {
    stream_message_kind kind = stream_message_kind::Report;
    std::uint64_t question = 0; ///< number of the question, chosen by its sender
    std::string sender; ///< "ip:port" of its peer listener
    /// Revision of the sender's record of software versions in the store.
    std::uint64_t recordRevision = 0;
    std::vector<reported_origin> origins;

    /// Maximum number of origins in a datagram.
    static constexpr std::size_t maxOrigins = 12;

    template <class Archive> void serialize(Archive& archive)
    {
        std::uint8_t marker = firstByte;
        archive(marker);
        wire::detail::serializeEnum(archive, kind);
        archive(question, recordRevision);
        wire::detail::serializeShort(archive, sender);
        wire::detail::serializeShort(archive, origins);
    }

    /// Where a heartbeat has the length of its sender's name. Datagrams about streams are shorter than that,
    /// so a build that does not know them drops them as incomplete heartbeats.
    static constexpr std::uint8_t firstByte = 0xff;
};

/// Whether a datagram is about the origins of streams, and no heartbeat. Thread safe.
bool isStreamMessage(std::string_view bytes);
/// The encoded datagram. Precondition: at most maxOrigins origins. Thread safe.
std::string encodeStreamMessage(const stream_message& message);
/// The decoded datagram, or nothing if the bytes are not a valid one. Thread safe.
std::optional<stream_message> decodeStreamMessage(std::string_view bytes);

} // namespace gateway

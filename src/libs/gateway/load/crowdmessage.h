#pragma once

#include "wire/shortserialization.h"

#include <cstdint>
#include <string>

namespace gateway {

/// What a datagram about a crowd is for.
enum class crowd_message_kind : std::uint8_t {
    Question, ///< the sender is about to begin a request with the part
    Answer, ///< the place of that request
    Count_
};

/// A datagram between a node that is about to begin a request with a shared part of a prompt and the part's
/// home, see decisions::crowd_register.
struct crowd_message {
    crowd_message_kind kind = crowd_message_kind::Question;
    std::uint32_t question = 0; ///< number of the question, chosen by its sender
    std::string sender; ///< "ip:port" of its peer listener; of a question only
    std::uint64_t part = 0; ///< of a question only
    float share = 0; ///< of a question only: requests of the part that an engine should get
    std::uint32_t place = 0; ///< of an answer only: in the part's ranking of engines, from 0

    template <class Archive> void serialize(Archive& archive)
    {
        std::uint8_t marker = firstByte;
        archive(marker);
        wire::detail::serializeEnum(archive, kind);
        archive(question);
        if (kind == crowd_message_kind::Answer) {
            archive(place);
            return;
        }
        wire::detail::serializeShort(archive, sender);
        archive(part, share);
    }

    /// Where a heartbeat has the length of its sender's name, which is shorter. The datagram is shorter than
    /// that, so a build that does not know it drops it as an incomplete heartbeat.
    static constexpr std::uint8_t firstByte = 0xfb;
};

} // namespace gateway

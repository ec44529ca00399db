#include "streammessages.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace gateway {

bool isStreamMessage(std::string_view bytes)
{
    // The archive writes its byte order first.
    return bytes.size() > 1 && static_cast<std::uint8_t>(bytes[1]) == stream_message::firstByte;
}

std::string encodeStreamMessage(const stream_message& message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    stream_message copy
        = message; // cereal saves and loads through one function, which needs a mutable message
    archive(copy);
    return std::move(stream).str();
}

std::optional<stream_message> decodeStreamMessage(std::string_view bytes)
{
    if (!isStreamMessage(bytes))
        return std::nullopt;
    std::istringstream stream { std::string(bytes) };
    try {
        stream_message message;
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message);
        return message;
    } catch (const std::exception&) {
        // Exceptions of several types report bytes that are missing or out of range; all mean an invalid
        // message.
        return std::nullopt;
    }
}

} // namespace gateway

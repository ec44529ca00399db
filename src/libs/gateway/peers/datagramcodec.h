#pragma once

#include <cereal/archives/portable_binary.hpp>

#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace gateway::detail {

/// The bytes of a message between nodes. Thread safe.
template <class Message> std::string encodeMessage(const Message& message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    Message copy = message; // cereal saves and loads through one function, which needs a mutable message
    archive(copy);
    return std::move(stream).str();
}

/// The inverse of encodeMessage(); nothing if the bytes are not a valid message. Thread safe.
template <class Message> std::optional<Message> decodeMessage(std::string_view bytes)
{
    std::istringstream stream { std::string(bytes) };
    try {
        Message message;
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message);
        return message;
    } catch (const std::exception&) {
        // A length field that exceeds the data is reported by exceptions of several types; all mean an
        // invalid message.
        return std::nullopt;
    }
}

/// The byte by which a datagram other than a heartbeat tells its type; 0 for a heartbeat. Thread safe.
inline unsigned char datagramMarker(std::string_view bytes)
{
    // The archive writes its byte order first.
    return bytes.size() > 1 ? static_cast<unsigned char>(bytes[1]) : 0;
}

/// Whether the datagram is a `Message`, by its marker. Thread safe.
template <class Message> bool isMessage(std::string_view bytes)
{
    return datagramMarker(bytes) == Message::firstByte;
}

/// The decoded datagram; nothing if it is of another type, or not valid. Thread safe.
template <class Message> std::optional<Message> decodeMarked(std::string_view bytes)
{
    return isMessage<Message>(bytes) ? decodeMessage<Message>(bytes) : std::nullopt;
}

} // namespace gateway::detail

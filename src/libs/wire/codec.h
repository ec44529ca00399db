#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace wire {

/// Serializes a message in a platform-independent byte order. Thread safe.
template <class Message> std::string encode(const Message& message)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
    return std::move(out).str();
}

/// Deserializes a message. Returns std::nullopt for malformed input and for trailing bytes. Thread safe.
template <class Message> std::optional<Message> decode(std::string_view bytes)
{
    try {
        std::istringstream in { std::string(bytes) };
        cereal::PortableBinaryInputArchive archive(in);
        Message message;
        archive(message);
        if (in.peek() != std::istringstream::traits_type::eof())
            return std::nullopt;
        return message;
    } catch (const std::exception&) {
        // cereal throws its own exception for truncated input, and bad_alloc or length_error for a wrong size
        // field: all of them mean that no node of the fleet encoded these bytes.
        return std::nullopt;
    }
}

} // namespace wire

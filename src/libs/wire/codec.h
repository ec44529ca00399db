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

/// Bytes of a message, the same on every machine. Thread safe.
template <class Message> std::string encode(const Message& message)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
    return std::move(out).str();
}

/// The message in those bytes, or nothing when they are not one or when bytes are left over. Thread safe.
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
        // cereal throws its own exception for short input, and bad_alloc or length_error for a size
        // field that lies: all of them mean bytes that no node of ours wrote.
        return std::nullopt;
    }
}

} // namespace wire

#pragma once

#include <cereal/cereal.hpp>

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace wire::detail {

/// Maximum length of a text or list in a datagram. The length is encoded in one byte, so malicious input
/// cannot make the decoder allocate more than a datagram can hold.
inline constexpr std::size_t maxShortLength = 255;

template <class Archive> void saveLength(Archive& archive, std::size_t length)
{
    if (length > maxShortLength)
        throw std::length_error("too long for a datagram");
    archive(static_cast<std::uint8_t>(length));
}

template <class Archive> void serializeShort(Archive& archive, std::string& text)
{
    if constexpr (Archive::is_saving::value) {
        saveLength(archive, text.size());
        archive(cereal::binary_data(text.data(), text.size()));
    } else {
        std::uint8_t length = 0;
        archive(length);
        text.resize(length);
        archive(cereal::binary_data(text.data(), text.size()));
    }
}

template <class Archive, class Item> void serializeShort(Archive& archive, std::vector<Item>& list)
{
    if constexpr (Archive::is_saving::value) {
        saveLength(archive, list.size());
        for (Item& item : list)
            archive(item);
    } else {
        std::uint8_t length = 0;
        archive(length);
        list.clear();
        for (std::uint8_t i = 0; i < length; ++i)
            archive(list.emplace_back());
    }
}

/// Maximum length of a text in a TCP message, in bytes; larger than any value of the platform's store.
inline constexpr std::uint32_t maxLongText = 2 * 1024 * 1024;
/// Bytes of a text that are read at a time, so that a wrong length allocates at most one step more than the
/// input holds.
inline constexpr std::uint32_t longTextStep = 64 * 1024;

template <class Archive> void serializeLong(Archive& archive, std::string& text)
{
    auto length = static_cast<std::uint32_t>(text.size());
    archive(length);
    if (length > maxLongText)
        throw std::length_error("too long for a message");
    if constexpr (Archive::is_saving::value) {
        archive(cereal::binary_data(text.data(), text.size()));
        return;
    }
    text.clear();
    while (text.size() < length) {
        const std::size_t before = text.size();
        text.resize(std::min<std::size_t>(length, before + longTextStep));
        archive(cereal::binary_data(text.data() + before, text.size() - before));
    }
}

/// Appends each item only after the previous one was read, so that a wrong length fails at the end of the
/// input instead of allocating for it.
template <class Archive, class Item> void serializeLong(Archive& archive, std::vector<Item>& list)
{
    auto length = static_cast<std::uint32_t>(list.size());
    archive(length);
    if constexpr (Archive::is_saving::value) {
        for (Item& item : list)
            archive(item);
        return;
    }
    list.clear();
    for (std::uint32_t i = 0; i < length; ++i)
        archive(list.emplace_back());
}

template <class Archive, class Enum> void serializeEnum(Archive& archive, Enum& value)
{
    auto byte = static_cast<std::uint8_t>(value);
    archive(byte);
    if (byte >= static_cast<std::uint8_t>(Enum::Count_))
        throw std::out_of_range("unknown value");
    value = static_cast<Enum>(byte);
}

} // namespace wire::detail

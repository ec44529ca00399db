#include "peermessages.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace gateway {

namespace {

template <class Message> std::string encode(const Message& message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    Message copy = message; // cereal saves and loads through one function, which needs a mutable message
    archive(copy);
    return std::move(stream).str();
}

template <class Message> std::optional<Message> decode(std::string_view bytes)
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

} // namespace

std::string_view toString(view_part part)
{
    return part == view_part::Configuration ? "configuration" : "servers";
}

peer_heartbeat peer_heartbeat::withoutLists() const
{
    peer_heartbeat heartbeat = *this;
    heartbeat.omitsLists = true;
    heartbeat.shares.clear();
    heartbeat.strikes.clear();
    heartbeat.placements.clear();
    heartbeat.failures.clear();
    heartbeat.peerAddresses.clear();
    return heartbeat;
}

std::string encodeHeartbeat(const peer_heartbeat& heartbeat)
{
    return encode(heartbeat);
}

std::string encodeView(const view_copy& view)
{
    return encode(view);
}

std::string encodeRequest(const view_request& request)
{
    return encode(request);
}

std::size_t requestSize()
{
    static const std::size_t size = encode(view_request()).size();
    return size;
}

std::optional<peer_heartbeat> decodeHeartbeat(std::string_view bytes)
{
    return decode<peer_heartbeat>(bytes);
}

std::optional<view_copy> decodeView(std::string_view bytes)
{
    return decode<view_copy>(bytes);
}

std::optional<view_request> decodeRequest(std::string_view bytes)
{
    return decode<view_request>(bytes);
}

} // namespace gateway

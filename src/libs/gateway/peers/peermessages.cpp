#include "peermessages.h"

#include "datagramcodec.h"

namespace gateway {

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
    return detail::encodeMessage(heartbeat);
}

std::string encodeView(const view_copy& view)
{
    return detail::encodeMessage(view);
}

std::string encodeRequest(const view_request& request)
{
    return detail::encodeMessage(request);
}

std::size_t requestSize()
{
    static const std::size_t size = detail::encodeMessage(view_request()).size();
    return size;
}

std::optional<peer_heartbeat> decodeHeartbeat(std::string_view bytes)
{
    return detail::decodeMessage<peer_heartbeat>(bytes);
}

std::optional<view_copy> decodeView(std::string_view bytes)
{
    return detail::decodeMessage<view_copy>(bytes);
}

std::optional<view_request> decodeRequest(std::string_view bytes)
{
    return detail::decodeMessage<view_request>(bytes);
}

} // namespace gateway

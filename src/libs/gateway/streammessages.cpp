#include "streammessages.h"

#include "datagramcodec.h"

namespace gateway {

bool isStreamMessage(std::string_view bytes)
{
    return detail::datagramMarker(bytes) == stream_message::firstByte;
}

std::string encodeStreamMessage(const stream_message& message)
{
    return detail::encodeMessage(message);
}

std::optional<stream_message> decodeStreamMessage(std::string_view bytes)
{
    return isStreamMessage(bytes) ? detail::decodeMessage<stream_message>(bytes) : std::nullopt;
}

} // namespace gateway

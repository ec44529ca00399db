#include "streammessages.h"

#include "datagramcodec.h"

namespace gateway {

bool isStreamMessage(std::string_view bytes)
{
    return detail::isMessage<stream_message>(bytes);
}

std::string encodeStreamMessage(const stream_message& message)
{
    return detail::encodeMessage(message);
}

std::optional<stream_message> decodeStreamMessage(std::string_view bytes)
{
    return detail::decodeMarked<stream_message>(bytes);
}

} // namespace gateway

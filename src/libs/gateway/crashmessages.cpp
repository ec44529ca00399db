#include "crashmessages.h"

#include "datagramcodec.h"

namespace gateway {

bool isCrashMessage(std::string_view bytes)
{
    return detail::datagramMarker(bytes) == crash_message::firstByte;
}

std::string encodeCrashMessage(const crash_message& message)
{
    return detail::encodeMessage(message);
}

std::optional<crash_message> decodeCrashMessage(std::string_view bytes)
{
    return isCrashMessage(bytes) ? detail::decodeMessage<crash_message>(bytes) : std::nullopt;
}

} // namespace gateway

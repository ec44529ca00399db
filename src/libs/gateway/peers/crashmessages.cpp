#include "crashmessages.h"

#include "datagramcodec.h"

namespace gateway {

bool isCrashMessage(std::string_view bytes)
{
    return detail::isMessage<crash_message>(bytes);
}

std::string encodeCrashMessage(const crash_message& message)
{
    return detail::encodeMessage(message);
}

std::optional<crash_message> decodeCrashMessage(std::string_view bytes)
{
    return detail::decodeMarked<crash_message>(bytes);
}

} // namespace gateway

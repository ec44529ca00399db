#include "wire/datagramcodec.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    (void)wire::datagram_codec::decodePayload({ reinterpret_cast<const char*>(data), size });
    return 0;
}

#include "platform/kvjson.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    const std::string_view body(reinterpret_cast<const char*>(data), size);
    (void)platform::decodeTransaction(body);
    (void)platform::decodeRange(body);
    (void)platform::decodeLeaseGrant(body);
    (void)platform::decodeLeaseKeep(body);
    (void)platform::decodeWatch(body);
    (void)platform::decodeError(body);
    return 0;
}

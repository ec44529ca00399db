#include "documentproperty.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) // NOLINT
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    if (!holdsForDocument(text) || !holdsForStoredText(text))
        std::abort();
    return 0;
}

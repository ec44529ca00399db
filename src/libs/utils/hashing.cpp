#include "hashing.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>

namespace utils {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> both { first, second };
    return XXH3_64bits(both.data(), sizeof(both));
}

double toUnitInterval(std::uint64_t hash)
{
    constexpr int mantissaBits
        = 52; // one less than the precision of a double, so that adding `half` is exact
    constexpr double scale = 1.0 / static_cast<double>(1ULL << mantissaBits);
    constexpr double half = 0.5;
    return (static_cast<double>(hash >> (64 - mantissaBits)) + half) * scale;
}

} // namespace utils

#pragma once

#include <cstdint>
#include <string_view>

namespace utils {

/// 64-bit hash, the same on every node and in every build (xxh3). Not for secrets. Thread safe.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes two hashes, order matters. Thread safe.
std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

/// Maps a hash evenly to the open interval (0, 1). Thread safe.
double toUnitInterval(std::uint64_t hash);

} // namespace utils

#pragma once

#include <cstdint>
#include <string_view>

namespace utils {

/// 64-bit hash (XXH3), identical on every node and in every build. Not cryptographic. Thread safe.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two hashes; the order matters. Thread safe.
std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second);

/// Maps a hash uniformly to the open interval (0, 1). Thread safe.
double toUnitInterval(std::uint64_t hash);

} // namespace utils

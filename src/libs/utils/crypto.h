#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace utils {

using sha256_digest = std::array<unsigned char, 32>;

/// SHA-256. Thread safe.
sha256_digest sha256(std::string_view bytes);
/// Lower-case hexadecimal SHA-256. Thread safe.
std::string sha256Hex(std::string_view bytes);
/// HMAC-SHA-256. Thread safe.
sha256_digest hmacSha256(std::string_view key, std::string_view bytes);
/// Compares two texts in a time that does not depend on where they differ. Thread safe.
bool equalConstantTime(std::string_view first, std::string_view second);
/// Cryptographically secure random bytes. Throws std::runtime_error if the system provides none. Thread safe.
std::string randomBytes(std::size_t count);
/// Lower-case hexadecimal. Thread safe.
std::string toHex(std::span<const unsigned char> bytes);
/// Standard base64 with padding. Thread safe.
std::string toBase64(std::string_view bytes);
/// Inverse of toBase64; empty for text that is not valid base64. Thread safe.
std::string fromBase64(std::string_view text);

} // namespace utils

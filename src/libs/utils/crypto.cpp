#include "crypto.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <stdexcept>

namespace utils {

namespace {

const unsigned char* asBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

sha256_digest sha256(std::string_view bytes)
{
    sha256_digest digest {};
    SHA256(asBytes(bytes), bytes.size(), digest.data());
    return digest;
}

std::string sha256Hex(std::string_view bytes)
{
    return toHex(sha256(bytes));
}

sha256_digest hmacSha256(std::string_view key, std::string_view bytes)
{
    sha256_digest digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asBytes(bytes), bytes.size(), digest.data(),
        &size);
    return digest;
}

bool equalConstantTime(std::string_view first, std::string_view second)
{
    return first.size() == second.size() && CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1)
        throw std::runtime_error("the system provides no random bytes");
    return bytes;
}

std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0fU]);
    }
    return text;
}

std::string toBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int size = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()), asBytes(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string fromBase64(std::string_view text)
{
    if (text.empty() || text.size() % 4 != 0)
        return {};
    std::string bytes(text.size() / 4 * 3, '\0');
    const int size = EVP_DecodeBlock(
        reinterpret_cast<unsigned char*>(bytes.data()), asBytes(text), static_cast<int>(text.size()));
    if (size < 0)
        return {};
    std::size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace utils

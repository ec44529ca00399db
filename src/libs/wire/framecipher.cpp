#include "framecipher.h"

#include "utils/crypto.h"

#include <algorithm>

namespace wire {

namespace {

std::string asText(const utils::sha256_digest& digest)
{
    return { reinterpret_cast<const char*>(digest.data()), digest.size() };
}

std::string_view asView(const frame_mac& mac)
{
    return { reinterpret_cast<const char*>(mac.data()), mac.size() };
}

} // namespace

frame_cipher::frame_cipher(
    std::string_view fleetKey, std::string_view clientNonce, std::string_view serverNonce, direction way)
{
    std::string seed(1, static_cast<char>(way));
    seed.append(clientNonce).append(serverNonce);
    m_key = asText(utils::hmacSha256(fleetKey, seed));
}

frame_mac frame_cipher::sign(frame_type type, std::string_view payload)
{
    std::string bytes;
    bytes.reserve(sizeof(m_sequence) + 1 + payload.size());
    for (std::size_t shift = 0; shift < 64; shift += 8)
        bytes.push_back(static_cast<char>((m_sequence >> shift) & 0xffU));
    bytes.push_back(static_cast<char>(type));
    bytes.append(payload);
    ++m_sequence;
    const utils::sha256_digest digest = utils::hmacSha256(m_key, bytes);
    frame_mac mac {};
    std::copy_n(digest.begin(), mac.size(), mac.begin());
    return mac;
}

bool frame_cipher::verify(frame_type type, std::string_view payload, const frame_mac& mac)
{
    const frame_mac expected = sign(type, payload);
    return utils::equalConstantTime(asView(expected), asView(mac));
}

} // namespace wire

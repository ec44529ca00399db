#include "peerkeys.h"

#include "utils/crypto.h"

#include <utility>

namespace wire {

namespace {

std::string codeOf(std::string_view key, std::string_view context, std::string_view bytes)
{
    // The length prefix makes the boundary between context and bytes unambiguous.
    std::string text = std::to_string(context.size());
    text.reserve(text.size() + 1 + context.size() + bytes.size());
    text += ':';
    text += context;
    text += bytes;
    const utils::sha256_digest digest = utils::hmacSha256(key, text);
    return { reinterpret_cast<const char*>(digest.data()), peer_keys::codeSize };
}

} // namespace

peer_keys::peer_keys(std::string current, std::string previous)
    : m_current(std::move(current))
    , m_previous(std::move(previous))
{
}

std::string peer_keys::sign(std::string_view context, std::string_view bytes) const
{
    return codeOf(m_current, context, bytes);
}

key_match peer_keys::verify(std::string_view context, std::string_view bytes, std::string_view code) const
{
    if (utils::equalConstantTime(codeOf(m_current, context, bytes), code))
        return key_match::Current;
    if (!m_previous.empty() && utils::equalConstantTime(codeOf(m_previous, context, bytes), code))
        return key_match::Previous;
    return key_match::None;
}

} // namespace wire

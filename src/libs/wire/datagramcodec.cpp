#include "datagramcodec.h"

#include "utils/softassert.h"

#include <cereal/archives/portable_binary.hpp>

#include <exception>
#include <sstream>
#include <utility>

namespace wire {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(drop_reason::Count_)> reasonNames {
    "too_large",
    "too_short",
    "bad_code",
    "malformed",
    "own_name",
    "replayed",
};

} // namespace

std::string_view toString(drop_reason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

datagram_codec::datagram_codec(peer_keys keys, utils::node_id self, std::uint64_t bootId)
    : m_keys(std::move(keys))
    , m_self(std::move(self))
    , m_bootId(bootId)
{
}

std::string datagram_codec::encode(datagram message, const utils::node_id& receiver)
{
    message.sender = m_self;
    message.bootId.value = m_bootId;
    message.sequence.value = ++m_sequence;
    std::ostringstream stream;
    try {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    } catch (const std::exception&) {
        LF_ASSERT(!"a list or text is too long for a datagram", return {});
    }
    const std::string payload = std::move(stream).str();
    LF_ASSERT(payload.size() + peer_keys::codeSize <= maxSize, return {});
    return m_keys.sign(receiver.str(), payload) + payload;
}

std::optional<datagram> datagram_codec::decode(std::string_view bytes)
{
    if (bytes.size() > maxSize)
        return drop(drop_reason::TooLarge);
    if (bytes.size() <= peer_keys::codeSize)
        return drop(drop_reason::TooShort);
    const std::string_view code = bytes.substr(0, peer_keys::codeSize);
    const std::string_view payload = bytes.substr(peer_keys::codeSize);
    if (m_keys.verify(m_self.str(), payload, code) == key_match::None)
        return drop(drop_reason::BadCode);
    std::optional<datagram> message = decodePayload(payload);
    if (!message)
        return drop(drop_reason::Malformed);
    if (message->sender == m_self)
        return drop(drop_reason::OwnName);
    if (!m_windows[message->sender].accept(message->bootId.value, message->sequence.value))
        return drop(drop_reason::Replayed);
    return message;
}

std::optional<datagram> datagram_codec::decodePayload(std::string_view payload)
{
    try {
        std::istringstream stream { std::string(payload) };
        datagram message;
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message);
        const bool readWhole = stream.peek() == std::istringstream::traits_type::eof();
        return readWhole ? std::optional(std::move(message)) : std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<datagram> datagram_codec::drop(drop_reason reason)
{
    ++m_dropped.at(static_cast<std::size_t>(reason));
    return std::nullopt;
}

} // namespace wire

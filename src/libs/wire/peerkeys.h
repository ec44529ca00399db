#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wire {

/// Which of the two valid keys produced an authentication code.
enum class key_match {
    None,
    Current,
    Previous
};

/// The fleet's keys. Signs and verifies the datagrams and streams between daemons; without this anyone who
/// can reach the port could declare nodes dead. Two keys are valid at a time, so that a rotation can reach
/// the nodes one by one: nodes sign with `current` and accept both. Immutable, so it may be shared between
/// threads.
class peer_keys {
public:
    /// Bytes of the truncated HMAC-SHA-256 that are sent. 128 bits cannot be guessed and take half the space
    /// in a datagram.
    static constexpr std::size_t codeSize = 16;

    /// Precondition: `current` is not empty. An empty `previous` is never accepted.
    explicit peer_keys(std::string current, std::string previous = {});

    /// The authentication code of `bytes` in a `context` that both sides know but do not send, such as the
    /// receiver's name: bytes recorded for one receiver fail verification at another. Thread safe.
    std::string sign(std::string_view context, std::string_view bytes) const;
    /// Which key, if any, produced `code` for `bytes` in `context`. Compares in constant time. Thread safe.
    key_match verify(std::string_view context, std::string_view bytes, std::string_view code) const;

private:
    std::string m_current;
    std::string m_previous;
};

} // namespace wire

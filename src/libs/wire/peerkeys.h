#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace wire {

/// Which of the two valid keys made a code.
enum class key_match {
    None,
    Current,
    Previous
};

/// The fleet's keys: signs every datagram and stream between daemons, and checks what arrives.
/// Two keys are valid at once, so that a rotation may reach the nodes one by one: nodes sign with
/// `current` and accept both. Without it anyone who reaches the port could declare nodes dead.
/// Immutable, so it may be shared between threads.
class peer_keys {
public:
    /// Bytes of the HMAC-SHA-256 that travel. 128 bits cannot be guessed and halve the cost of a datagram.
    static constexpr std::size_t codeSize = 16;

    /// Precondition: `current` is not empty. An empty `previous` is never accepted.
    explicit peer_keys(std::string current, std::string previous = {});

    /// The authentication code of `bytes` in a `context` that both sides know but do not send, such as the
    /// receiver's name: bytes recorded on the way to one receiver do not pass at another. Thread safe.
    std::string sign(std::string_view context, std::string_view bytes) const;
    /// Whether `code` is that of `bytes` in `context`, by which key; in constant time. Thread safe.
    key_match verify(std::string_view context, std::string_view bytes, std::string_view code) const;

private:
    std::string m_current;
    std::string m_previous;
};

} // namespace wire

#pragma once

#include "frametypes.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace wire {

/// Size of a frame's message authentication code (MAC), in bytes.
constexpr std::size_t frameMacSize = 16;
using frame_mac = std::array<unsigned char, frameMacSize>;

/// Authenticates the frames of one direction of one connection. The key is derived from the fleet's key and
/// a nonce of each side, and the MAC covers the frame's sequence number. A replayed, dropped or reordered
/// frame fails verification, so a request cannot be replayed and an answer cannot be truncated undetected.
/// Not thread safe.
class frame_cipher {
public:
    enum class direction : std::uint8_t {
        ToServer = 'c',
        ToClient = 's'
    };

    frame_cipher(
        std::string_view fleetKey, std::string_view clientNonce, std::string_view serverNonce, direction way);

    /// The MAC of the next frame. Advances the sequence number.
    frame_mac sign(frame_type type, std::string_view payload);
    /// Whether `mac` is the MAC of the next frame. Advances the sequence number.
    bool verify(frame_type type, std::string_view payload, const frame_mac& mac);

private:
    std::string m_key;
    std::uint64_t m_sequence = 0;
};

} // namespace wire

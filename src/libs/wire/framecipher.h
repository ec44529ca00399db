#pragma once

#include "frametypes.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace wire {

/// Bytes of the message authentication code of a frame.
constexpr std::size_t frameMacSize = 16;
using frame_mac = std::array<unsigned char, frameMacSize>;

/// Authenticates the frames of one direction of one connection. The key is made from the fleet's key and
/// a nonce of each side, and each frame's number is part of its code: a recorded, dropped or reordered
/// frame fails the check, so a peer can neither repeat a request nor cut an answer unnoticed.
/// Not thread safe.
class frame_cipher {
public:
    enum class direction : std::uint8_t {
        ToServer = 'c',
        ToClient = 's'
    };

    frame_cipher(
        std::string_view fleetKey, std::string_view clientNonce, std::string_view serverNonce, direction way);

    /// The code of the next frame; counts it.
    frame_mac sign(frame_type type, std::string_view payload);
    /// Whether `mac` is the code of the next frame; counts it.
    bool verify(frame_type type, std::string_view payload, const frame_mac& mac);

private:
    std::string m_key;
    std::uint64_t m_sequence = 0;
};

} // namespace wire

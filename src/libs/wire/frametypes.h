#pragma once

#include <cstdint>
#include <string>

namespace wire {

/// What a frame on a stream between two nodes holds.
enum class frame_type : std::uint8_t {
    Hello = 1, ///< first frame each way: hello_message
    ForwardRequest, ///< forward_request
    ForwardHead, ///< forward_head
    ForwardChunk, ///< raw bytes of the answer's body
    ForwardEnd, ///< the answer is whole; no payload
    ForwardFailure, ///< forward_failure, instead of a head or after one
    Call, ///< peer_call: a question between nodes
    Reply, ///< peer_reply
};

/// A frame as read. Integrity and origin are checked.
struct frame {
    frame_type type = frame_type::Hello;
    std::string payload;
};

/// Largest payload. A caller's body travels in one frame, so this lies above the body limit.
constexpr std::size_t maxFramePayload = 16U << 20U;

} // namespace wire

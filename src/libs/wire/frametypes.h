#pragma once

#include <cstdint>
#include <string>

namespace wire {

/// Type of a frame on a stream between two nodes, which determines its payload.
enum class frame_type : std::uint8_t {
    Hello = 1, ///< first frame each way: hello_message
    ForwardRequest, ///< forward_request
    ForwardHead, ///< forward_head
    ForwardChunk, ///< raw bytes of the response body
    ForwardEnd, ///< the response is complete; no payload
    ForwardFailure, ///< forward_failure, in place of a ForwardHead or after one
    Call, ///< peer_call
    Reply, ///< peer_reply
};

/// A received frame. Its integrity and its sender are verified.
struct frame {
    frame_type type = frame_type::Hello;
    std::string payload;
};

/// Maximum payload in bytes. A request body is sent in one frame, so this exceeds the body limit.
constexpr std::size_t maxFramePayload = 16U << 20U;

} // namespace wire

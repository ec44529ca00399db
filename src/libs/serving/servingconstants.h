#pragma once

#include <chrono>
#include <cstddef>

namespace serving {

/// Bytes read from a backend server and passed on at once. One buffer lives per open stream, so this is
/// most of a stream's memory; a token's event is a few hundred bytes.
constexpr std::size_t relayBufferSize = 4096;
/// A backend server that does not accept a connection in this time counts as not reached.
constexpr std::chrono::seconds connectTimeout { 2 };
/// Longest silence of a model engine before its first byte and between two.
constexpr std::chrono::seconds engineSilenceLimit { 120 };
/// Idle connections kept for each backend server or peer.
constexpr std::size_t idleConnectionsKept = 16;
/// Most backend servers that one request is offered to before it waits at the first.
constexpr std::size_t mostCandidates = 6;

} // namespace serving

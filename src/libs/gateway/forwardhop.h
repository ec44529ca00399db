#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gateway {

/// What a node says to a peer about a request that it forwards, in a header line. A forwarded request is
/// never forwarded again.
struct forward_hop {
    /// Boot id of the receiving process. Only nodes know it, from heartbeats: it shows that the request comes
    /// from one, and that it is meant for this process.
    std::uint64_t receiver = 0;
    /// The forwarding node has planned the request by this version. Another version may decide otherwise, and
    /// the configuration must not go back for the callers of any node.
    std::uint64_t configurationVersion = 0;
    unsigned earlierRuns = 0; ///< attempts so far that may have run the request
    /// Attempts so far that reached servers, at least `earlierRuns`. Those that servers rejected have not
    /// run, but what the receiver sends after them are retries all the same.
    unsigned earlierSent = 0;
};

/// Name of the header line; a line of this name from a caller is dropped.
inline constexpr std::string_view forwardHopHeader = "Forward-Hop";

/// The value of the header line. Thread safe.
std::string encodeHop(const forward_hop& hop);
/// The inverse of encodeHop(); nothing if the text is not a valid value. Thread safe.
std::optional<forward_hop> decodeHop(std::string_view text);

} // namespace gateway

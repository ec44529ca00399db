#pragma once

#include "decisions/serverrests.h"

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
    /// The forwarding node has planned the request by this version. A receiver that has an older one refuses:
    /// the configuration must not go back for the callers of any node. A newer one holds for what is sent
    /// from now on, also for a stream that began before it.
    std::uint64_t configurationVersion = 0;
    unsigned earlierRuns = 0; ///< attempts so far that may have run the request
    /// Attempts so far that reached servers, at least `earlierRuns`. Those that servers rejected have not
    /// run, but what the receiver sends after them are retries all the same.
    unsigned earlierSent = 0;
    /// The software version at which the stream began; only servers of that version may go on with it.
    std::optional<std::uint64_t> streamVersion {};
    /// The forwarding node has taken the receiver's first attempt, a retry, from its own budget.
    bool isRetryPaid = false;
};

/// Name of the header line; a line of this name from a caller is dropped.
inline constexpr std::string_view forwardHopHeader = "Forward-Hop";

/// Name of a header line by which a peer tells the version of the server whose events it forwards. A line of
/// this name from a server is dropped.
inline constexpr std::string_view streamVersionHeader = "Forward-Stream-Version";

/// Name of a header line by which a peer tells that the server whose answer it forwards leaves. A line of
/// this name from a server is dropped.
inline constexpr std::string_view serverLeavingHeader = "Forward-Server-Leaving";

/// A process of a server as text in the header line, and the inverse; nothing if the text is not valid.
/// Thread safe.
std::string encodeProcess(const decisions::server_process& process);
std::optional<decisions::server_process> decodeProcess(std::string_view text);

/// A software version as text in the header line, and the inverse; nothing if the text is not valid. Thread
/// safe.
std::string encodeVersion(std::uint64_t version);
std::optional<std::uint64_t> decodeVersion(std::string_view text);

/// The value of the header line. Thread safe.
std::string encodeHop(const forward_hop& hop);
/// The inverse of encodeHop(); nothing if the text is not a valid value. Thread safe.
std::optional<forward_hop> decodeHop(std::string_view text);

} // namespace gateway

#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace decisions {

/// A node that may take over a request.
struct peer_candidate {
    std::string dataCentre;
    std::uint64_t requestsInProgress = 0; ///< as it last told
    std::uint64_t forwarded = 0; ///< requests in progress there that this node has forwarded
};

/// Cost of leaving the data centre, in requests in progress.
inline constexpr double crossDataCentreRequests = 2;

/// Chooses the node to which a request is forwarded; returns its index, nothing if there is no candidate.
///
/// Load: several nodes are cut off from the backend servers at once, up to most of a data centre, and the
/// others take their requests besides their own. What a peer has in progress is known as of its last
/// heartbeat; requests forwarded since then count in full, and `salt` spreads the choices of nodes that know
/// the same. Thread safe.
std::optional<std::size_t> choosePeer(
    std::span<const peer_candidate> candidates, const std::string& ownDataCentre, std::uint64_t salt);

} // namespace decisions

#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>

namespace decisions {

/// Limits of one calling team over the whole fleet; 0 means no limit.
struct fleet_limit {
    double requestsPerSecond = 0;
    unsigned concurrent = 0;
    bool operator==(const fleet_limit&) const = default;
};

/// A node's request to the team's home node for a lease on a part of the team's limit. The node lowers its
/// held amounts before it sends the request, so that the home may lend the difference to others at once.
struct quota_lease_request {
    utils::team_id team;
    utils::node_id borrower;
    /// Increases with each request of this borrower and team, also across restarts.
    std::uint64_t sequence = 0;
    std::uint64_t appliedSequence = 0; ///< of the last grant that the borrower applied
    std::uint32_t wantedRequests = 0; ///< in addition to those held
    std::uint32_t returnedRequests = 0; ///< unused requests that are returned with this message
    std::uint32_t heldConcurrent = 0; ///< the borrower starts no more than this until the grant arrives
    std::uint32_t wantedConcurrent = 0; ///< total, with those held

    template <class Archive> void serialize(Archive& archive)
    {
        archive(team, borrower, sequence, appliedSequence, wantedRequests, returnedRequests, heldConcurrent,
            wantedConcurrent);
    }
};

/// The home's answer. Valid only if it answers the borrower's latest request.
struct quota_lease_grant {
    utils::team_id team;
    std::uint64_t sequence = 0; ///< of the request
    std::uint32_t requests = 0; ///< added to those that the borrower holds
    std::uint32_t concurrent = 0; ///< total that the borrower holds from now on
    utils::duration expiresIn {}; ///< lease time of `requests`, from when the borrower sent its request
    utils::duration slotsExpireIn {}; ///< lease time of `concurrent`, from the same time
    utils::duration retryAfter {}; ///< until the home expects to have more to lend
    bool isHome = true; ///< false: the node asked is not the home or not ready; a static share applies

    /// Requires cereal/types/chrono.hpp where it is instantiated.
    template <class Archive> void serialize(Archive& archive)
    {
        archive(team, sequence, requests, concurrent, expiresIn, slotsExpireIn, retryAfter, isHome);
    }
};

} // namespace decisions

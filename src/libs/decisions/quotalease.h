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

/// A node asks the team's home for a part of the team's limit. The numbers that it holds are lowered before
/// the request is sent, so that the home may lend the difference to others at once.
struct quota_lease_request {
    utils::team_id team;
    utils::node_id borrower;
    std::uint64_t sequence = 0; ///< grows with each request of this borrower and team, also over restarts
    std::uint64_t appliedSequence = 0; ///< of the last grant that took effect here
    std::uint32_t wantedRequests = 0; ///< beyond what it holds
    std::uint32_t returnedRequests = 0; ///< unused ones, given up with this request
    std::uint32_t heldConcurrent = 0; ///< it starts no more than this until the grant arrives
    std::uint32_t wantedConcurrent = 0; ///< in sum

    template <class Archive> void serialize(Archive& archive)
    {
        archive(team, borrower, sequence, appliedSequence, wantedRequests, returnedRequests, heldConcurrent,
            wantedConcurrent);
    }
};

/// The home's answer. Counts only if it answers the borrower's latest request.
struct quota_lease_grant {
    utils::team_id team;
    std::uint64_t sequence = 0; ///< of the request
    std::uint32_t requests = 0; ///< added to what the borrower holds
    std::uint32_t concurrent = 0; ///< what the borrower holds from now on, in sum
    utils::duration expiresIn {}; ///< of the requests; counted from when the borrower sent its request
    utils::duration slotsExpireIn {}; ///< of the concurrent ones, likewise
    utils::duration retryAfter {}; ///< until the home expects to have more to lend
    bool isHome = true; ///< false: the node asked is not the home or not ready; a static share applies

    /// Includers that serialize include cereal/types/chrono.hpp.
    template <class Archive> void serialize(Archive& archive)
    {
        archive(team, sequence, requests, concurrent, expiresIn, slotsExpireIn, retryAfter, isHome);
    }
};

} // namespace decisions

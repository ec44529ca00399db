#include "peerchoice.h"

#include "utils/hashing.h"

namespace decisions {

std::optional<std::size_t> choosePeer(
    std::span<const peer_candidate> candidates, const std::string& ownDataCentre, std::uint64_t salt)
{
    constexpr double spread = 2; // in requests in progress
    std::optional<std::size_t> best;
    double lowest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const peer_candidate& candidate = candidates[i];
        double cost = static_cast<double>(candidate.requestsInProgress + candidate.forwarded);
        if (candidate.dataCentre != ownDataCentre)
            cost += crossDataCentreRequests;
        cost += spread * utils::toUnitInterval(utils::combineHashes(salt, i));
        if (best && cost >= lowest)
            continue;
        best = i;
        lowest = cost;
    }
    return best;
}

} // namespace decisions

#include "followrule.h"

#include "utils/hashing.h"

#include <algorithm>
#include <utility>

namespace decisions {

namespace {

constexpr utils::duration minRetryDelay = std::chrono::milliseconds(300);
constexpr utils::duration maxRetryDelay = std::chrono::seconds(2);

} // namespace

bool shouldFollowStore(const follow_query& query)
{
    if (query.liveFollowers < minFollowers)
        return true;
    const auto rankOf = [&query](const std::string& address) {
        const bool isSeed = std::ranges::find(query.seeds, address) != query.seeds.end();
        return std::pair(!isSeed, utils::hash64(address));
    };
    const auto own = rankOf(query.ownAddress);
    const auto before = std::ranges::count_if(
        query.livePeers, [&](const std::string& address) { return rankOf(address) < own; });
    return static_cast<std::size_t>(before) < targetFollowers;
}

bool isTrustedSource(bool isFollower, std::size_t liveFollowers)
{
    return isFollower || liveFollowers < minFollowers;
}

utils::duration storeRetryDelay(std::size_t nodes, unsigned failures)
{
    if (failures <= 1)
        return minRetryDelay;
    const std::size_t times = std::max<std::size_t>(1, nodes / targetFollowers);
    return std::min(minRetryDelay * static_cast<int>(times), maxRetryDelay);
}

} // namespace decisions

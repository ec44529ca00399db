#include "staticshare.h"

#include "utils/hashing.h"

#include <algorithm>

namespace decisions {

namespace {

std::uint64_t orderOf(const utils::team_id& team, const utils::node_id& node)
{
    return utils::combineHashes(utils::hash64(team.str()), utils::hash64(node.str()));
}

/// Rank of `self` in the team's order of the members.
std::size_t rankOf(
    const utils::team_id& team, const utils::node_id& self, const std::vector<utils::node_id>& members)
{
    const std::uint64_t own = orderOf(team, self);
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const utils::node_id& other) {
        const std::uint64_t order = orderOf(team, other);
        return order < own || (order == own && other < self);
    }));
}

} // namespace

static_share staticShareOf(const utils::team_id& team, const fleet_limit& limit, const utils::node_id& self,
    const std::vector<utils::node_id>& members)
{
    if (std::ranges::find(members, self) == members.end())
        return {};
    const std::size_t count = members.size();
    const std::size_t remainder = limit.concurrent % count;
    const unsigned extra = rankOf(team, self, members) < remainder ? 1 : 0;
    return { limit.requestsPerSecond / static_cast<double>(count),
        static_cast<unsigned>(limit.concurrent / count) + extra };
}

} // namespace decisions

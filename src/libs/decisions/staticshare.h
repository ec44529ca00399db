#pragma once

#include "quotalease.h"

#include <vector>

namespace decisions {

/// One node's fixed part of a team's limit, for use without the team's home.
struct static_share {
    double requestsPerSecond = 0;
    unsigned concurrent = 0;
};

/// The part of `self`: 1/n of the rate, and concurrent / n, with the remainder going to the first nodes in
/// an order that differs from team to team. Over all members the parts sum to the limit exactly.
/// None for a node that is not a member. Thread safe.
static_share staticShareOf(const utils::team_id& team, const fleet_limit& limit, const utils::node_id& self,
    const std::vector<utils::node_id>& members);

} // namespace decisions

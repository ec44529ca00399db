#pragma once

#include "quotalease.h"

#include <vector>

namespace decisions {

/// One node's fixed part of a team's limit, which applies while the team's home is out of reach.
struct static_share {
    double requestsPerSecond = 0;
    unsigned concurrent = 0;
};

/// Returns the share of `self`: 1/n of the rate, and concurrent / n, where the remainder goes to the first
/// nodes in an order that differs between teams. Over all members, the shares sum exactly to the limit.
/// Zero for a node that is not a member. Thread safe.
static_share staticShareOf(const utils::team_id& team, const fleet_limit& limit, const utils::node_id& self,
    const std::vector<utils::node_id>& members);

} // namespace decisions

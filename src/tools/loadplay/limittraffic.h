#pragma once

#include "utils/time.h"

#include <cstddef>

namespace loadplay {

/// A fleet whose teams all have limits.
struct limit_fleet {
    std::size_t nodes = 7;
    std::size_t teams = 10;
    double requestsPerSecond = 31; ///< over the whole fleet
    utils::duration length = std::chrono::seconds(60);
};

/// What the team limits cost a node.
struct limit_traffic {
    double meanBytes = 0; ///< a node a second, sent and received
    double mostBytes = 0; ///< of the node with most
    double messages = 0; ///< a node a second, sent and received
    double activeTeams = 0; ///< that a node keeps state for, on average at the end
    double awaited = 0; ///< share of requests that waited for a lump
    double refused = 0; ///< share of requests refused, though the teams keep to their limits on average
    double awaitP99 = 0; ///< seconds that those waited, 99th percentile
};

/// Plays the limits of all teams in virtual time: Zipf shares of the traffic, each request at a random node,
/// limits at twice each team's mean and at least one request a second. Thread safe.
limit_traffic playLimitTraffic(const limit_fleet& fleet, unsigned seed);

} // namespace loadplay

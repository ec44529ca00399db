#pragma once

#include "utils/time.h"

namespace decisions {

/// Settings of the ramp-up of a joining server.
struct ramp_settings {
    utils::duration length = std::chrono::seconds(60); ///< time from the first share to the full share
    double firstShare = 0.1; ///< enough requests to see whether the server works
    unsigned steps = 10; ///< the weight grows in steps, so that nodes with clock skew mostly rank alike
};

/// Returns the fraction of its weight that a server has reached, in (0, 1]. Load: a server that joins (or
/// flaps) under load; at full weight at once, its whole share of returning chats would miss its cold cache
/// within seconds, and the prefill of their prefixes would make it the slowest server of the pool.
/// `joinedAt`: when it last became ready; a flap restarts the ramp. Thread safe.
double rampUpWeight(utils::time_point joinedAt, utils::time_point now, const ramp_settings& settings = {});

} // namespace decisions

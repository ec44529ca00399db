#pragma once

#include "utils/time.h"

namespace decisions {

/// How a joining server gets its share of the chats.
struct ramp_settings {
    utils::duration length = std::chrono::seconds(60); ///< from the first share to the whole
    double firstShare = 0.1; ///< enough to see whether it serves at all
    unsigned steps = 10; ///< weights move in steps, so that nodes whose clocks differ mostly rank alike
};

/// Part of its weight that a server has reached, in (0, 1]. Answers a join (or a flap) under load: at full
/// weight at once, its whole share of returning chats would meet its cold cache within seconds, and the
/// prefill of their prefixes would make it the slowest server of the pool. `joinedAt`: when it last became
/// ready; a flap starts the ramp anew. Thread safe.
double rampUpWeight(utils::time_point joinedAt, utils::time_point now, const ramp_settings& settings = {});

} // namespace decisions

#pragma once

#include "priority.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>

namespace decisions {

/// Names an entry of one queue; chosen by the caller, unique among entries queued or running.
using entry_id = std::uint64_t;

/// One request that waits for a slot of a backend server.
struct queue_entry {
    entry_id id = 0;
    utils::team_id team;
    priority_class priority = priority_class::Chat;
    double weight = 1; ///< the team's share against other teams of the class
    utils::duration expectedWork = std::chrono::seconds(1); ///< slot time it will take
    utils::time_point deadline = utils::time_point::max(); ///< the answer is of no use after this
    std::uint64_t hash = 0; ///< of the request, for spreading Retry-After
};

} // namespace decisions

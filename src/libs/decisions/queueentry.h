#pragma once

#include "priority.h"

#include "utils/ids.h"
#include "utils/time.h"

#include <cstdint>

namespace decisions {

/// Identifies an entry of one queue. Chosen by the caller, unique among the entries queued or running.
using entry_id = std::uint64_t;

/// A request that waits for a slot of a backend server.
struct queue_entry {
    entry_id id = 0;
    utils::team_id team;
    priority_class priority = priority_class::Chat;
    double weight = 1; ///< the team's share relative to other teams of the class
    /// Slot time that the request is expected to take.
    utils::duration expectedWork = std::chrono::seconds(1);
    utils::time_point deadline = utils::time_point::max(); ///< the answer is useless after this
    std::uint64_t hash = 0; ///< of the request; spreads Retry-After
};

} // namespace decisions

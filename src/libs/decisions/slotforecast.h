#pragma once

#include "utils/time.h"

#include <functional>
#include <queue>
#include <vector>

namespace decisions {

/// Forecasts when queued work will start; each item takes the slot that becomes free first. Not thread safe.
class slot_forecast {
public:
    /// `remaining`: remaining time of each running item. `slowdown`: ratio of measured to expected time.
    slot_forecast(std::vector<utils::duration> remaining, unsigned slots, double slowdown);

    /// Returns the time from now until the next item starts. Precondition: there is a slot.
    utils::duration nextStart() const { return m_freeAt.top(); }
    /// Assigns that slot to an item. Precondition: there is a slot.
    void occupy(utils::duration expectedWork);

private:
    std::priority_queue<utils::duration, std::vector<utils::duration>, std::greater<>> m_freeAt;
    double m_slowdown;
};

} // namespace decisions

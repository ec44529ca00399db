#pragma once

#include "utils/time.h"

#include <functional>
#include <queue>
#include <vector>

namespace decisions {

/// Forecasts when queued work will start: each piece takes the slot that becomes free first.
/// Not thread safe.
class slot_forecast {
public:
    /// `remaining`: time to go of each running piece. `slowdown`: measured time over expected time.
    slot_forecast(std::vector<utils::duration> remaining, unsigned slots, double slowdown);

    /// When the next piece will start, from now. Precondition: there is a slot.
    utils::duration nextStart() const { return m_freeAt.top(); }
    /// Lets a piece take that slot. Precondition: there is a slot.
    void occupy(utils::duration expectedWork);

private:
    std::priority_queue<utils::duration, std::vector<utils::duration>, std::greater<>> m_freeAt;
    double m_slowdown;
};

} // namespace decisions

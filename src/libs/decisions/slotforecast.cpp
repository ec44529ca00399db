#include "slotforecast.h"

#include <algorithm>

namespace decisions {

slot_forecast::slot_forecast(std::vector<utils::duration> remaining, unsigned slots, double slowdown)
    : m_slowdown(slowdown)
{
    // With more running items than slots (some slots have just been removed), the first items to end free no
    // slot.
    std::ranges::sort(remaining, std::greater<> {});
    remaining.resize(slots, utils::duration::zero());
    for (const utils::duration left : remaining)
        m_freeAt.push(left);
}

void slot_forecast::occupy(utils::duration expectedWork)
{
    const utils::duration start = m_freeAt.top();
    m_freeAt.pop();
    m_freeAt.push(start + utils::fromSeconds(utils::toSeconds(expectedWork) * m_slowdown));
}

} // namespace decisions

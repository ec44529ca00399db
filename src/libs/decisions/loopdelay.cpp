#include "loopdelay.h"

#include <algorithm>

namespace decisions {

void loop_delay::record(utils::duration delay)
{
    m_samples[m_next] = delay;
    m_next = (m_next + 1) % sampleCount;
}

utils::duration loop_delay::standing() const
{
    const utils::duration shortest = std::ranges::min(m_samples);
    return shortest < minDelay ? utils::duration::zero() : shortest;
}

} // namespace decisions

#include "replaywindow.h"

namespace wire {

bool replay_window::accept(std::uint64_t bootId, std::uint64_t sequence)
{
    if (bootId < m_bootId)
        return false;
    if (bootId > m_bootId) {
        m_bootId = bootId;
        m_highest = sequence;
        m_seen = 1;
        return true;
    }
    if (sequence > m_highest) {
        const std::uint64_t step = sequence - m_highest;
        m_seen = step < windowSize ? m_seen << step | 1U : 1U;
        m_highest = sequence;
        return true;
    }
    const std::uint64_t age = m_highest - sequence;
    if (age >= windowSize)
        return false;
    const std::uint64_t bit = std::uint64_t { 1 } << age;
    if ((m_seen & bit) != 0)
        return false;
    m_seen |= bit;
    return true;
}

} // namespace wire

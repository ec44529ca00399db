#include "fleetsize.h"

namespace decisions {

void fleet_size::observe(unsigned nodes, utils::time_point now)
{
    if (nodes > m_nodes) {
        m_nodes = nodes;
        m_grewAt = now;
    }
    m_isSettled = m_isSettled || (m_nodes > 0 && now - m_grewAt >= settleTime);
}

} // namespace decisions

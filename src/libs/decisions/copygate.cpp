#include "copygate.h"

namespace decisions {

bool copy_gate::tryBegin(std::size_t bytes)
{
    if (bytes <= small)
        return true;
    if (m_underWay > 0 && m_underWay + bytes > most)
        return false;
    m_underWay += bytes;
    return true;
}

void copy_gate::end(std::size_t bytes)
{
    if (bytes > small)
        m_underWay -= bytes;
}

} // namespace decisions

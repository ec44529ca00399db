#include "copygate.h"

namespace decisions {

bool copy_gate::tryBegin(std::size_t bytes)
{
    if (bytes <= alwaysAllowedBytes)
        return true;
    if (m_inFlightBytes > 0 && m_inFlightBytes + bytes > maxConcurrentBytes)
        return false;
    m_inFlightBytes += bytes;
    return true;
}

void copy_gate::end(std::size_t bytes)
{
    if (bytes > alwaysAllowedBytes)
        m_inFlightBytes -= bytes;
}

} // namespace decisions

#include "loadnotices.h"

namespace decisions {

bool load_notices::mustTell(
    const utils::server_id& server, std::uint32_t requests, const bound_view& view, utils::time_point now)
{
    if (requests + 1 <= view.bound)
        return false;
    const auto told = m_toldAt.find(server);
    if (told != m_toldAt.end() && now - told->second < interval)
        return false;
    if (now - m_countedFrom >= interval) {
        m_countedFrom = now;
        m_counted = 0;
    }
    if (m_counted >= maxNotices)
        return false;
    ++m_counted;
    m_toldAt[server] = now;
    return true;
}

void load_notices::expire(utils::time_point now)
{
    std::erase_if(m_toldAt, [now](const auto& entry) { return now - entry.second >= interval; });
}

} // namespace decisions

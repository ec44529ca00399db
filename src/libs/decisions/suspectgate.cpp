#include "suspectgate.h"

namespace decisions {

bool suspect_gate::tryEnter(std::uint64_t part, std::uint64_t request, utils::time_point now)
{
    const auto [found, isNew] = m_holders.try_emplace(part, holder { request, now });
    if (isNew || found->second.request == request)
        return true;
    if (now - found->second.since < turn)
        return false;
    found->second = { request, now };
    return true;
}

void suspect_gate::leave(std::uint64_t request)
{
    std::erase_if(m_holders, [request](const auto& entry) { return entry.second.request == request; });
}

} // namespace decisions

#include "crowdregister.h"

#include <algorithm>
#include <cmath>

namespace decisions {

void crowd_register::dropOld(crowd& crowd, utils::time_point now)
{
    while (!crowd.requests.empty()
        && (now - crowd.requests.front().at >= window || crowd.requests.size() >= maxRequests)) {
        --crowd.byPlace[crowd.requests.front().place];
        crowd.requests.pop_front();
    }
}

std::uint32_t crowd_register::place(std::uint64_t part, double share, utils::time_point now)
{
    if (m_crowds.size() >= maxParts && !m_crowds.contains(part))
        return 0;
    crowd& crowd = m_crowds[part];
    dropOld(crowd, now);
    const auto requests = static_cast<double>(crowd.requests.size() + 1);
    const double filled = requests / std::max(1.0, share);
    const double wanted = std::ceil(filled * (1 + std::max(0.0, filled - 1) / sparePlaces));
    const auto places = static_cast<std::size_t>(std::clamp<double>(wanted, 1, maxRequests));
    if (crowd.byPlace.size() < places)
        crowd.byPlace.resize(places);
    const auto end = crowd.byPlace.begin() + static_cast<std::ptrdiff_t>(places);
    const auto lowest = std::min_element(crowd.byPlace.begin(), end);
    const auto place = static_cast<std::uint32_t>(lowest - crowd.byPlace.begin());
    ++*lowest;
    crowd.requests.push_back({ now, place });
    return place;
}

void crowd_register::expire(utils::time_point now)
{
    for (auto& [part, crowd] : m_crowds)
        dropOld(crowd, now);
    std::erase_if(m_crowds, [](const auto& entry) { return entry.second.requests.empty(); });
}

} // namespace decisions

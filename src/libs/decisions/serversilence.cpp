#include "serversilence.h"

#include <algorithm>

namespace decisions {

utils::duration server_silence::limitFor(utils::duration target, bool isEngine)
{
    const double share = isEngine ? engineShare : plainShare;
    return std::max(least, utils::fromSeconds(utils::toSeconds(target) * share));
}

void server_silence::sent(const utils::server_id& server, std::uint64_t number, utils::duration limit,
    utils::duration reading, utils::time_point now)
{
    m_servers[server].waiting[number] = { now, limit, reading };
}

void server_silence::promptRead(const utils::server_id& server, std::uint64_t number)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    const auto request = found->second.waiting.find(number);
    if (request != found->second.waiting.end())
        request->second.reading = utils::duration::zero();
}

void server_silence::heard(const utils::server_id& server, utils::time_point now)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.heardAt = now;
}

void server_silence::ended(const utils::server_id& server, std::uint64_t number)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    found->second.waiting.erase(number);
    if (found->second.waiting.empty())
        m_servers.erase(found);
}

bool server_silence::isSilent(
    const utils::server_id& server, utils::time_point now, utils::duration othersReading) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return false;
    const utils::time_point heardAt = found->second.heardAt;
    const utils::duration reading = std::max(longestReading(server), othersReading);
    return std::ranges::any_of(found->second.waiting, [&](const auto& entry) {
        const waiting_request& request = entry.second;
        return now - std::max(request.sentAt, heardAt) > std::max(request.limit, reading);
    });
}

utils::duration server_silence::longestReading(const utils::server_id& server) const
{
    utils::duration longest {};
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return longest;
    for (const auto& [number, request] : found->second.waiting)
        longest = std::max(longest, request.reading);
    return longest;
}

utils::time_point server_silence::lastHeard(const utils::server_id& server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? utils::time_point() : found->second.heardAt;
}

} // namespace decisions

#include "silencedetector.h"

#include <algorithm>

namespace decisions {

utils::duration silence_detector::limitFor(utils::duration target, bool isEngine)
{
    const double share = isEngine ? engineTargetShare : plainTargetShare;
    return std::max(minLimit, utils::fromSeconds(utils::toSeconds(target) * share));
}

void silence_detector::requestSent(const utils::server_id& server, std::uint64_t requestId,
    utils::duration limit, utils::duration prefill, utils::time_point now)
{
    m_servers[server].waiting[requestId] = { now, limit, prefill };
}

void silence_detector::prefillFinished(const utils::server_id& server, std::uint64_t requestId)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    const auto request = found->second.waiting.find(requestId);
    if (request != found->second.waiting.end())
        request->second.prefill = utils::duration::zero();
}

void silence_detector::dataReceived(const utils::server_id& server, utils::time_point now)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end())
        found->second.heardAt = now;
}

void silence_detector::requestEnded(const utils::server_id& server, std::uint64_t requestId)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    found->second.waiting.erase(requestId);
    if (found->second.waiting.empty())
        m_servers.erase(found);
}

bool silence_detector::isSilent(
    const utils::server_id& server, utils::time_point now, utils::duration peerPrefill) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return false;
    const utils::time_point heardAt = found->second.heardAt;
    const utils::duration prefill = std::max(longestPrefill(server), peerPrefill);
    return std::ranges::any_of(found->second.waiting, [&](const auto& entry) {
        const waiting_request& request = entry.second;
        return now - std::max(request.sentAt, heardAt) > std::max(request.limit, prefill);
    });
}

utils::duration silence_detector::longestPrefill(const utils::server_id& server) const
{
    utils::duration longest {};
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return longest;
    for (const auto& [requestId, request] : found->second.waiting)
        longest = std::max(longest, request.prefill);
    return longest;
}

std::optional<utils::duration> silence_detector::quietFor(
    const utils::server_id& server, utils::time_point now) const
{
    const utils::time_point heardAt = lastHeard(server);
    if (heardAt == utils::time_point())
        return std::nullopt;
    return now - heardAt;
}

std::vector<silence_detector::quiet_time> silence_detector::quietTimes(utils::time_point now) const
{
    std::vector<quiet_time> times;
    for (const auto& [server, state] : m_servers) {
        if (state.waiting.empty())
            continue;
        const bool hasSentData = state.heardAt != utils::time_point();
        const auto first = std::ranges::min_element(
            state.waiting, {}, [](const auto& entry) { return entry.second.sentAt; });
        times.push_back({ server, now - (hasSentData ? state.heardAt : first->second.sentAt), hasSentData });
    }
    return times;
}

utils::time_point silence_detector::lastHeard(const utils::server_id& server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? utils::time_point() : found->second.heardAt;
}

} // namespace decisions

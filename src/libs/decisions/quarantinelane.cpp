#include "quarantinelane.h"

#include <algorithm>

namespace decisions {

namespace {

constexpr utils::duration whenFull = std::chrono::seconds(5);
constexpr utils::duration returnWindow = std::chrono::seconds(10);

} // namespace

quarantine_lane::quarantine_lane(const lane_limits& limits)
    : m_limits(limits)
{
}

std::optional<refusal> quarantine_lane::push(const queue_entry& entry, utils::time_point now)
{
    if (m_waiting.size() >= m_limits.maxWaiting)
        return refusal { utils::error_kind::QueueFull, spreadRetryAfter(whenFull, returnWindow, entry.hash) };
    const auto startBy = std::min(now + m_limits.maxWait, entry.deadline - entry.expectedWork);
    m_waiting.push_back({ entry, startBy });
    return std::nullopt;
}

std::optional<lane_start> quarantine_lane::next(const std::vector<lane_server>& servers)
{
    release(servers);
    reserve(servers);
    if (m_waiting.empty())
        return std::nullopt;
    const auto free = std::ranges::find_if(servers, [&](const lane_server& s) { return isFree(s); });
    if (free == servers.end())
        return std::nullopt;
    lane_start start { m_waiting.front().entry, free->server };
    m_waiting.pop_front();
    m_reserved[free->server] = start.entry.id;
    return start;
}

void quarantine_lane::finished(entry_id id)
{
    for (auto& [server, running] : m_reserved) {
        if (running == id)
            running.reset();
    }
}

bool quarantine_lane::remove(entry_id id)
{
    return std::erase_if(m_waiting, [&](const waiting_entry& waiting) { return waiting.entry.id == id; }) > 0;
}

std::vector<queue_entry> quarantine_lane::expire(utils::time_point now)
{
    std::vector<queue_entry> late;
    for (const waiting_entry& waiting : m_waiting) {
        if (now > waiting.startBy)
            late.push_back(waiting.entry);
    }
    std::erase_if(m_waiting, [&](const waiting_entry& waiting) { return now > waiting.startBy; });
    return late;
}

void quarantine_lane::reserve(const std::vector<lane_server>& servers)
{
    const auto share = static_cast<std::size_t>(static_cast<double>(servers.size()) * m_limits.serverShare);
    const std::size_t lanes = std::max<std::size_t>(share, 1);
    const auto idle = static_cast<std::size_t>(
        std::ranges::count_if(m_reserved, [](const auto& lane) { return !lane.second; }));
    if (m_reserved.size() >= lanes || idle >= m_waiting.size())
        return;
    const lane_server* best = nullptr;
    for (const lane_server& server : servers) {
        if (!server.isUsable || isReserved(server.server))
            continue;
        if (!best || server.inFlight < best->inFlight)
            best = &server;
    }
    if (best)
        m_reserved.emplace(best->server, std::nullopt);
}

void quarantine_lane::release(const std::vector<lane_server>& servers)
{
    std::erase_if(m_reserved, [&](const auto& lane) {
        const auto known = std::ranges::find(servers, lane.first, &lane_server::server);
        const bool isGone = known == servers.end() || !known->isUsable;
        return !lane.second && (isGone || m_waiting.empty());
    });
}

bool quarantine_lane::isFree(const lane_server& server) const
{
    const auto lane = m_reserved.find(server.server);
    return lane != m_reserved.end() && !lane->second && server.isUsable && server.inFlight == 0;
}

} // namespace decisions

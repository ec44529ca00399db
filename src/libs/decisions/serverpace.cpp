#include "serverpace.h"

#include <algorithm>
#include <cmath>

namespace decisions {

namespace {

constexpr utils::duration forgetAfter = std::chrono::seconds(30);

} // namespace

void server_pace::reported(const utils::server_id& server, double slowdown, utils::time_point now)
{
    if (!std::isfinite(slowdown))
        return;
    m_servers[server] = { std::clamp(slowdown, minSlowdown, maxSlowdown), now };
}

double server_pace::slowdown(const utils::server_id& server, utils::time_point now) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return 1;
    const double age = utils::toSeconds(now - found->second.at);
    return 1 + (found->second.slowdown - 1) * std::exp(-age / utils::toSeconds(wordLifetime));
}

std::optional<utils::duration> server_pace::age(const utils::server_id& server, utils::time_point now) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? std::nullopt : std::optional(now - found->second.at);
}

void server_pace::expire(utils::time_point now)
{
    std::erase_if(m_servers, [now](const auto& entry) { return now - entry.second.at > forgetAfter; });
}

} // namespace decisions

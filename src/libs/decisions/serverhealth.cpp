#include "serverhealth.h"

#include <algorithm>

namespace decisions {

void server_health::setServers(const std::string& service, const std::vector<utils::server_id>& servers)
{
    m_ejectors.try_emplace(service, m_limits).first->second.setServers(servers);
}

void server_health::succeeded(const std::string& service, const utils::server_id& server,
    utils::duration latency, utils::time_point now)
{
    m_backoffs.erase(server);
    const auto ejector = m_ejectors.find(service);
    if (ejector != m_ejectors.end())
        ejector->second.succeeded(server, latency, now);
}

void server_health::failed(const std::string& service, const utils::server_id& server, utils::time_point now)
{
    const auto ejector = m_ejectors.find(service);
    if (ejector != m_ejectors.end())
        ejector->second.failed(server, now);
}

void server_health::unreachable(const utils::server_id& server, utils::time_point now)
{
    backoff_state& state = m_backoffs[server];
    // Attempts that fail during the backoff belong to the failure that began it.
    if (now < state.until)
        return;
    state.until = now + state.next;
    state.next = std::min(2 * state.next, maxBackoff);
}

void server_health::reset(const std::string& service, const std::vector<utils::server_id>& servers)
{
    for (const utils::server_id& server : servers)
        m_backoffs.erase(server);
    m_ejectors.erase(service);
    setServers(service, servers);
}

double server_health::weight(
    const std::string& service, const utils::server_id& server, utils::time_point now) const
{
    if (isInBackoff(server, now))
        return 0;
    const auto ejector = m_ejectors.find(service);
    return ejector == m_ejectors.end() ? 1 : ejector->second.weight(server, now);
}

bool server_health::isInBackoff(const utils::server_id& server, utils::time_point now) const
{
    const auto found = m_backoffs.find(server);
    return found != m_backoffs.end() && now < found->second.until;
}

} // namespace decisions

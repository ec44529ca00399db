#include "connectionpool.h"

#include <algorithm>

namespace gateway {

namespace {

// The server counts its idle limit from when it sent the response, and a request that arrives after it closed
// is lost.
constexpr utils::duration closeMargin = std::chrono::milliseconds(300);

} // namespace

http_connection_ptr connection_pool::take(const utils::server_id& server, utils::time_point now)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return nullptr;
    while (!found->second.empty()) {
        http_connection_ptr connection = std::move(found->second.back());
        found->second.pop_back();
        if (!isExpired(*connection, now) && connection->isIdleAndOpen())
            return connection;
        connection->close();
    }
    return nullptr;
}

void connection_pool::put(
    const utils::server_id& server, http_connection_ptr connection, utils::time_point now)
{
    if (!connection->isReusable()) {
        connection->close();
        return;
    }
    connection->idleSince = now;
    m_idle[server].push_back(std::move(connection));
}

void connection_pool::drop(const utils::server_id& server)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return;
    for (const http_connection_ptr& connection : found->second)
        connection->close();
    m_idle.erase(found);
}

void connection_pool::expire(utils::time_point now)
{
    for (auto& [server, connections] : m_idle) {
        std::erase_if(connections, [&](const http_connection_ptr& connection) {
            if (!isExpired(*connection, now))
                return false;
            connection->close();
            return true;
        });
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t connection_pool::size() const
{
    std::size_t total = 0;
    for (const auto& [server, connections] : m_idle)
        total += connections.size();
    return total;
}

bool connection_pool::isExpired(const http_connection& connection, utils::time_point now) const
{
    utils::duration limit = m_ownIdleLimit;
    if (connection.idleLimit)
        limit = std::min(limit, *connection.idleLimit - closeMargin);
    return now - connection.idleSince > limit;
}

} // namespace gateway

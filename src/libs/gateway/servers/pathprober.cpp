#include "pathprober.h"

#include "connectattempt.h"
#include "gateway/clock.h"

#include "wire/connect.h"
#include "wire/task.h"

#include <boost/asio/use_awaitable.hpp>

namespace gateway {

void path_prober::tick(utils::time_point now)
{
    if (!m_context.configuration)
        return;
    for (const auto& [name, service] : m_context.configuration->services) {
        if (!m_context.reachability.needsProbes(name))
            continue;
        std::vector<utils::server_id> servers;
        for (const catalogue::backend_server* server : m_context.servers.usable(name)) {
            if (!m_context.isResting(*server, now))
                servers.push_back(server->id);
        }
        for (const utils::server_id& server : m_context.reachability.nextProbes(name, servers, now))
            wire::startTask(m_context.executor, "probe_path", probe(server));
    }
}

boost::asio::awaitable<void> path_prober::probe(utils::server_id server)
{
    const catalogue::backend_server* entry = m_context.servers.find(server);
    const auto endpoint = entry == nullptr ? std::nullopt : wire::parseEndpoint(entry->address);
    if (!endpoint)
        co_return;
    const auto connection = std::make_shared<http_connection>(m_context.executor);
    const auto scope = std::make_shared<stop_scope>(m_context.executor);
    const std::string error = co_await connectWithin(scope, connection, *endpoint);
    scope->finish();
    connection->close();
    if (!error.empty())
        m_context.health.unreachable(server, now());
    m_context.recordConnect(server, error, now());
}

} // namespace gateway

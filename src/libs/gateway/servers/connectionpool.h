#pragma once

#include "httpconnection.h"

#include "utils/ids.h"

#include <map>
#include <vector>

namespace gateway {

/// The idle connections to backend servers. The one returned last is taken first, so that few stay in use and
/// the others expire. Not thread safe.
class connection_pool {
public:
    /// `ownIdleLimit`: a connection idle for longer is not used again.
    explicit connection_pool(utils::duration ownIdleLimit)
        : m_ownIdleLimit(ownIdleLimit)
    {
    }

    /// Takes a connection that the server has not closed; null when a new one is needed.
    http_connection_ptr take(const utils::server_id& server, utils::time_point now);
    /// Returns a connection after a complete response; closes it if it cannot be reused.
    void put(const utils::server_id& server, http_connection_ptr connection, utils::time_point now);
    /// Closes the idle connections to a server.
    void drop(const utils::server_id& server);
    /// Closes the connections that have been idle for too long.
    void expire(utils::time_point now);
    std::size_t size() const;

private:
    bool isExpired(const http_connection& connection, utils::time_point now) const;

    utils::duration m_ownIdleLimit;
    std::map<utils::server_id, std::vector<http_connection_ptr>> m_idle;
};

} // namespace gateway

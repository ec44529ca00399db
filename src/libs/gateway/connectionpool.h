#pragma once

#include "httpconnection.h"

#include "utils/ids.h"

#include <map>
#include <vector>

namespace gateway {

/// The open connections to backend servers that no request uses. The last one returned is taken first, so
/// that few stay in use and the rest end by their age. Not thread safe.
class connection_pool {
public:
    /// `ownIdleLimit`: a connection idle for longer is not used again.
    explicit connection_pool(utils::duration ownIdleLimit)
        : m_ownIdleLimit(ownIdleLimit)
    {
    }

    /// A connection that the server has not closed; null when a new one is needed.
    http_connection_ptr take(const utils::server_id& server, utils::time_point now);
    /// Gives one back after a whole response; closes what cannot be used again.
    void put(const utils::server_id& server, http_connection_ptr connection, utils::time_point now);
    /// Closes what has been idle for too long.
    void expire(utils::time_point now);
    std::size_t size() const;

private:
    bool isExpired(const http_connection& connection, utils::time_point now) const;

    utils::duration m_ownIdleLimit;
    std::map<utils::server_id, std::vector<http_connection_ptr>> m_idle;
};

} // namespace gateway

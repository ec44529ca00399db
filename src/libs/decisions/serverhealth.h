#pragma once

#include "outlierejector.h"

#include <map>
#include <string>
#include <vector>

namespace decisions {

/// Weights of a service's backend servers, from the outcomes of the requests that this node sent to them.
///
/// Load: servers that crash, stop responding, or fail part of their requests while they report themselves
/// healthy. A server that refuses connections is left out at once for a short backoff, however many others
/// are left out too: a request that was not sent can go to another server without loss. A server that fails
/// requests after accepting them is ejected by an outlier_ejector, which keeps a minimum part of the servers,
/// since the cause may be common to all. Not thread safe.
class server_health {
public:
    /// First backoff of an unreachable server; doubles up to `maxBackoff`. A crashed server is back after
    /// some seconds, a replaced one never.
    static constexpr utils::duration initialBackoff = std::chrono::milliseconds(400);
    static constexpr utils::duration maxBackoff = std::chrono::milliseconds(3200);

    explicit server_health(const outlier_limits& limits)
        : m_limits(limits)
    {
    }

    /// Sets the current servers of a service.
    void setServers(const std::string& service, const std::vector<utils::server_id>& servers);
    void succeeded(const std::string& service, const utils::server_id& server, utils::duration latency,
        utils::time_point now);
    void failed(const std::string& service, const utils::server_id& server, utils::time_point now);
    /// Records that the server could not be connected to.
    void unreachable(const utils::server_id& server, utils::time_point now);
    /// Forgets what was recorded of the servers of a service.
    void reset(const std::string& service, const std::vector<utils::server_id>& servers);
    /// Returns the share of its normal load that the server should get, 0 to 1.
    double weight(const std::string& service, const utils::server_id& server, utils::time_point now) const;
    /// Whether the server is left out because it could not be connected to.
    bool isInBackoff(const utils::server_id& server, utils::time_point now) const;

private:
    struct backoff_state {
        utils::time_point until {};
        utils::duration next = initialBackoff;
    };

    outlier_limits m_limits;
    std::map<std::string, outlier_ejector> m_ejectors;
    std::map<utils::server_id, backoff_state> m_backoffs;
};

} // namespace decisions

#pragma once

#include "outlierejector.h"

#include <map>
#include <string>
#include <vector>

namespace decisions {

/// Which backend servers of a service get how much of their normal load, by what this node has seen of them.
///
/// Load: servers that crash, fall silent, or fail part of their requests while they call themselves sound.
/// A server that cannot be connected to is left out at once and for a short time, whatever the others do:
/// a request that was not sent loses nothing by being sent elsewhere. One that fails what it takes is
/// ejected with a floor, since the cause may be common. Not thread safe.
class server_health {
public:
    /// First time that an unreachable server is left out; doubles up to `maxBackoff`. A crashed server is
    /// back after some seconds, one that is replaced never.
    static constexpr utils::duration initialBackoff = std::chrono::milliseconds(400);
    static constexpr utils::duration maxBackoff = std::chrono::milliseconds(3200);

    explicit server_health(const outlier_limits& limits)
        : m_limits(limits)
    {
    }

    /// The servers of a service that there are now.
    void setServers(const std::string& service, const std::vector<utils::server_id>& servers);
    void succeeded(const std::string& service, const utils::server_id& server, utils::duration latency,
        utils::time_point now);
    void failed(const std::string& service, const utils::server_id& server, utils::time_point now);
    /// It could not be connected to.
    void unreachable(const utils::server_id& server, utils::time_point now);
    /// Share of its normal load that it should get, 0 to 1.
    double weight(const std::string& service, const utils::server_id& server, utils::time_point now) const;
    /// Whether it is left out because it could not be connected to.
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

#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <optional>
#include <unordered_map>

namespace decisions {

/// Estimates how much longer than usual work takes at single backend servers at this moment.
///
/// Load: servers that share their machines with others and are slow for half a second to many seconds, one
/// after the other, while the service as a whole keeps its pace. A server's own word says it, and is as old
/// as the last answer that came from there; it loses its weight with age, since a slow server is soon as fast
/// as the others again. The time that requests took says less: under load it is the wait. Not thread safe.
class server_pace {
public:
    /// Time constant of the weight of a server's word.
    static constexpr utils::duration wordLifetime = std::chrono::milliseconds(600);
    /// Bounds of an estimate.
    static constexpr double minSlowdown = 0.25;
    static constexpr double maxSlowdown = 8;

    /// Records a server's own word: `slowdown` times its usual time.
    void reported(const utils::server_id& server, double slowdown, utils::time_point now);
    /// Returns by how much longer than usual work takes there; 1 where nothing is known.
    double slowdown(const utils::server_id& server, utils::time_point now) const;
    /// Age of the server's last word; nothing: none.
    std::optional<utils::duration> age(const utils::server_id& server, utils::time_point now) const;
    /// Forgets servers of which nothing was heard for long.
    void expire(utils::time_point now);

private:
    struct server_state {
        double slowdown = 1;
        utils::time_point at {};
    };
    std::unordered_map<utils::server_id, server_state> m_servers;
};

} // namespace decisions

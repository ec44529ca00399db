#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace decisions {

/// Message to other nodes: failures at a backend server.
struct failure_update {
    utils::server_id server;
    float failures = 0; ///< in excess of the routes' baseline failure rates
};

/// Counts the requests that failed at each backend server in the last seconds, over all nodes.
///
/// Load: servers that pass their health checks and answer most requests, but lose or truncate some of the
/// answers. An ejector that counts consecutive failures never detects them, and each payment whose answer is
/// cut off is lost: whether it was executed is not known. While other servers have capacity, the ones with
/// recent failures can be avoided. Some routes fail a part of their requests on any server; that baseline is
/// learned and does not count. Each node sees only about one request a second at a server, so nodes exchange
/// their failures; failures are rare, so the updates are few. Counts are absolute: when all servers fail
/// alike, none is preferred. Not thread safe.
class recent_failures {
public:
    /// Half-life of a failure's count: long enough to see some 15 requests at a server of a small fleet,
    /// short enough that the count is low soon after the fault ends.
    static constexpr utils::duration halfLife = std::chrono::seconds(2);
    /// Number of requests over which a route's baseline failure rate is averaged.
    static constexpr double baselineRequests = 50;

    /// Records the outcome of a request of the route at the server.
    void recordOutcome(
        const std::string& route, const utils::server_id& server, bool isFailure, utils::time_point now);
    /// Applies an update from another node.
    void applyUpdate(const failure_update& update, utils::time_point now);
    /// Returns the failures at the server, each decayed by its age.
    double countAt(const utils::server_id& server, utils::time_point now) const;
    /// Returns the pending updates for other nodes and clears them.
    std::vector<failure_update> takeUpdates();
    /// Drops the pending updates, once their cause turns out to be this node's own.
    void discardUpdates() { m_unsent.clear(); }
    /// Removes servers without recent failures. Call it periodically.
    void expire(utils::time_point now);

private:
    struct decayed_count {
        double value = 0;
        utils::time_point at {};
    };
    static double valueAt(const decayed_count& count, utils::time_point now);
    void add(const utils::server_id& server, double failures, utils::time_point now);
    double updateBaseline(const std::string& route, bool isFailure);

    std::unordered_map<utils::server_id, decayed_count> m_counts;
    std::map<std::string, double> m_baselines; ///< by route: failure rate on any server
    std::map<utils::server_id, double> m_unsent;
};

} // namespace decisions

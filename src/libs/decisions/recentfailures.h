#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace decisions {

/// Failures at a backend server, to be told to other nodes.
struct failure_update {
    utils::server_id server;
    float failures = 0; ///< beyond what its routes' requests fail by themselves
};

/// How many requests have failed at each backend server in the last seconds, in the whole fleet.
///
/// Load: servers that answer their health checks and most requests, but lose or break off a part of the
/// answers. An ejector that waits for failures in a row never sees it, and each payment that is cut is lost:
/// whether it ran is not known. With servers to spare, the ones that failed last need not be asked. Some
/// routes fail a part of their requests wherever they run; that part is learned and does not count. Each
/// node sees a sliver, one request a second at a server, so nodes tell each other; failures are few, and so
/// are notes. Counts are absolute: where all servers fail alike they prefer none. Not thread safe.
class recent_failures {
public:
    /// In which a failure loses half its count: long enough to have seen some 15 requests at a server of a
    /// small fleet, short enough to be over soon after the fault.
    static constexpr utils::duration halfLife = std::chrono::seconds(2);
    /// Requests over which a route's own share of failures is learned.
    static constexpr double baselineRequests = 50;

    /// A request of the route has ended at the server.
    void recordOutcome(
        const std::string& route, const utils::server_id& server, bool isFailure, utils::time_point now);
    /// Another node tells of failures there.
    void applyUpdate(const failure_update& update, utils::time_point now);
    /// Failures there, each counted by its age.
    double countAt(const utils::server_id& server, utils::time_point now) const;
    /// What other nodes should learn, once.
    std::vector<failure_update> takeUpdates();
    /// Forgets servers without failures. Call now and then.
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
    std::map<std::string, double> m_baselines; ///< by route: share of its requests that fails anyway
    std::map<utils::server_id, double> m_unsent;
};

} // namespace decisions

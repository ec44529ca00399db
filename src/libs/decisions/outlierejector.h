#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <vector>

namespace decisions {

/// Settings of outlier ejection.
struct outlier_limits {
    unsigned consecutiveFailures = 5; ///< one crash breaks several streams in a row; fewer would eject on it
    double latencyFactor = 3; ///< times the median of the peers
    std::size_t minSamples = 10; ///< latency samples before a server is compared
    double floor = 0.5; ///< fraction of the servers that is never ejected
    utils::duration ejection = std::chrono::seconds(10); ///< doubles with each ejection in a row
    utils::duration maxEjection = std::chrono::minutes(5);
    utils::duration ramp = std::chrono::seconds(20); ///< time from probe weight to full weight
    double probeWeight = 0.05;
};

/// Ejects servers that fail or are much slower than their peers, and readmits them at a low weight that
/// grows.
///
/// Load: a slow or failing server. Without ejection, a failing server, which answers fastest, attracts the
/// most requests, and a slow one keeps its share of callers waiting until they give up. The floor: when the
/// cause is common (platform, network), ejecting all servers would turn slow service into an outage. After an
/// ejection the server gets a small share that grows, so that a server that still fails costs few requests.
/// Not thread safe.
class outlier_ejector {
public:
    explicit outlier_ejector(const outlier_limits& limits = {});

    /// Sets the current servers; new ones start at full weight, missing ones are removed.
    void setServers(const std::vector<utils::server_id>& servers);
    void succeeded(const utils::server_id& server, utils::duration latency, utils::time_point now);
    void failed(const utils::server_id& server, utils::time_point now);

    /// Returns the share of its normal load that the server should get: 0 while ejected, then growing to 1.
    double weight(const utils::server_id& server, utils::time_point now) const;
    std::size_t ejectedCount(utils::time_point now) const;

private:
    struct server_state {
        unsigned failures = 0; ///< in a row
        unsigned ejections = 0; ///< in a row
        double latency = 0; ///< exponential moving average, seconds
        std::size_t samples = 0;
        utils::time_point ejectedUntil {};
    };
    bool isEjected(const server_state& state, utils::time_point now) const;
    bool mayEject(utils::time_point now) const;
    double peerMedian(const utils::server_id& server, utils::time_point now) const;
    void eject(server_state& state, utils::time_point now);

    outlier_limits m_limits;
    std::map<utils::server_id, server_state> m_servers;
};

} // namespace decisions

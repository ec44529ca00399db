#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <vector>

namespace decisions {

/// Settings of outlier ejection.
struct outlier_limits {
    unsigned consecutiveFailures = 5; ///< one crash's cut streams come in a row, so fewer would eject on one
    double latencyFactor = 3; ///< times the median of the peers
    std::size_t minSamples = 10; ///< latency samples before a server is compared
    double floor = 0.5; ///< part of the servers that is never ejected
    utils::duration ejection = std::chrono::seconds(10); ///< doubles with each ejection in a row
    utils::duration maxEjection = std::chrono::minutes(5);
    utils::duration ramp = std::chrono::seconds(20); ///< from probe weight to full weight
    double probeWeight = 0.05;
};

/// Takes servers that fail or lag against their peers out of the choice, and probes them back in.
///
/// Load: a slow or failing server. Without it the failing server, which answers fastest, draws the most
/// requests; the slow one holds its share of callers until they give up. The floor: when the cause is
/// common (platform, network), ejecting everyone would turn slow into down. After an ejection the server
/// gets a small share that grows, so that a server that is still ill costs few requests.
/// Not thread safe.
class outlier_ejector {
public:
    explicit outlier_ejector(const outlier_limits& limits = {});

    /// The servers there are; unknown ones start in full weight, missing ones are forgotten.
    void setServers(const std::vector<utils::server_id>& servers);
    void succeeded(const utils::server_id& server, utils::duration latency, utils::time_point now);
    void failed(const utils::server_id& server, utils::time_point now);

    /// Share of its normal load that the server should get: 0 while ejected, growing to 1 after it.
    double weight(const utils::server_id& server, utils::time_point now) const;
    std::size_t ejectedCount(utils::time_point now) const;

private:
    struct server_state {
        unsigned failures = 0; ///< in a row
        unsigned ejections = 0; ///< in a row
        double latency = 0; ///< moving average, seconds
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

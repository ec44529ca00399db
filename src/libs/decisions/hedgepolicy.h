#pragma once

#include "latencyquantile.h"
#include "retrybudget.h"

#include <optional>

namespace decisions {

/// Settings of hedging.
struct hedge_limits {
    double quantile = 0.95; ///< only the slowest 5% get a second request
    double share = 0.05; ///< hedges per lookup: when all servers are slow, the load grows by 5%, not 100%
    double capacity = 5;
    std::size_t minSamples = 20; ///< fewer do not determine a 95th percentile
    utils::duration minDelay = std::chrono::milliseconds(5);
};

/// Decides when an idempotent lookup is also sent to a second server.
///
/// Load: one slow server among fast ones. Without hedging, each lookup that is routed to the slow server
/// waits for it, and p99 is that of the slow server. Only for idempotent requests. Not thread safe.
class hedge_policy {
public:
    explicit hedge_policy(const hedge_limits& limits = {});

    /// Time to wait for the first answer before hedging; nothing while there are too few samples.
    std::optional<utils::duration> delay() const;
    /// Whether a second request may be sent now. If so, it is taken from the budget.
    bool tryHedge(utils::time_point now);
    /// Records the latency of the first answer to a lookup.
    void completed(utils::duration latency);

private:
    hedge_limits m_limits;
    latency_quantile m_latencies;
    retry_budget m_budget;
};

} // namespace decisions

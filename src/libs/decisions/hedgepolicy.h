#pragma once

#include "latencyquantile.h"
#include "retrybudget.h"

#include <optional>

namespace decisions {

/// Settings of hedging.
struct hedge_limits {
    double quantile = 0.95; ///< only the slowest twentieth is asked twice
    double share = 0.05; ///< hedges per lookup: when all servers are slow, the load grows by 5%, not 100%
    double capacity = 5;
    std::size_t minSamples = 20; ///< fewer say nothing about a 95th percentile
    utils::duration minDelay = std::chrono::milliseconds(5);
};

/// When an idempotent lookup is sent to a second server as well.
///
/// Load: one slow server among fast ones. Without it, each lookup that lands on the slow server waits for
/// it, and p99 is the slow server's. Only for idempotent requests. Not thread safe.
class hedge_policy {
public:
    explicit hedge_policy(const hedge_limits& limits = {});

    /// How long to wait for the first answer before hedging; nothing while too little is known.
    std::optional<utils::duration> delay() const;
    /// Whether a second request may go out now; takes it from the budget.
    bool tryHedge(utils::time_point now);
    /// A lookup was answered; `latency` of the first answer.
    void completed(utils::duration latency);

private:
    hedge_limits m_limits;
    latency_quantile m_latencies;
    retry_budget m_budget;
};

} // namespace decisions

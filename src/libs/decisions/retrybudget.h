#pragma once

#include "utils/time.h"

#include <optional>

namespace decisions {

/// Settings of a retry budget.
struct retry_budget_limits {
    /// Retries per success: in a full outage the load grows by 10%, not with each attempt.
    double share = 0.1;
    double floorPerSecond = 0.5; ///< lets a nearly idle node retry
    double capacity = 10; ///< most retries in a row from saved tokens
};

/// Bounds retries (and hedges) to a share of the successes.
///
/// Load: saturation and slow servers. Without it, each failed request is tried two or three times, the
/// servers that still work get the load of all attempts, and the overload sustains itself after its cause
/// has gone. Not thread safe.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_limits& limits = {});

    /// Adds the share of one success.
    void succeeded();
    /// Takes one retry, or returns false if none is available.
    bool trySpend(utils::time_point now);
    double available() const { return m_tokens; }

private:
    void refill(utils::time_point now);

    retry_budget_limits m_limits;
    double m_tokens;
    std::optional<utils::time_point> m_refilledAt;
};

} // namespace decisions

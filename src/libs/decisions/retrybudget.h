#pragma once

#include "utils/time.h"

#include <optional>

namespace decisions {

/// Settings of a retry budget.
struct retry_budget_limits {
    double share = 0.1; ///< retries per success: in a full outage load grows by a tenth, not by the tries
    double floorPerSecond = 0.5; ///< so that a nearly idle node can retry at all
    double capacity = 10; ///< longest row of retries from savings
};

/// Bounds retries (and hedges) to a share of the successes.
///
/// Load: saturation and a slow server. Without it each failure is tried again two or three times, the
/// servers that still work get the load of all tries, and the overload keeps itself alive after its cause
/// has gone. Not thread safe.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_limits& limits = {});

    /// Adds a success's share.
    void succeeded();
    /// Takes one retry out, or says that there is none.
    bool trySpend(utils::time_point now);
    double available() const { return m_tokens; }

private:
    void refill(utils::time_point now);

    retry_budget_limits m_limits;
    double m_tokens;
    std::optional<utils::time_point> m_refilledAt;
};

} // namespace decisions

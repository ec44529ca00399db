#pragma once

#include "utils/ids.h"
#include "utils/time.h"

#include <map>
#include <optional>

namespace decisions {

/// Settings of the shift limiter.
struct shift_limits {
    double sharePerSecond = 0.02; ///< part of all load that may move to other servers in a second
};

/// Weights of servers, by server.
using server_weights = std::map<utils::server_id, double>;

/// Moves the weights in use towards the wanted ones slowly.
///
/// Load: reports that swing (a lagging load figure, a flapping engine). Without it each node follows each
/// report at once, the load of all nodes moves together and swings between servers, and every move costs
/// the prefix caches. A server that is gone from the targets loses its weight at once: leaving is a promise.
/// Not thread safe.
class shift_limiter {
public:
    explicit shift_limiter(const shift_limits& limits = {});

    /// Sets the wanted weights. The first call takes them over as they are.
    void setTargets(const server_weights& targets, utils::time_point now);
    /// The weights to use now; they sum to 1 (empty without servers).
    const server_weights& weights(utils::time_point now);

private:
    void step(utils::time_point now);

    shift_limits m_limits;
    server_weights m_targets; ///< normalized
    server_weights m_weights; ///< normalized
    std::optional<utils::time_point> m_steppedAt;
};

} // namespace decisions

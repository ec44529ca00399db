#include "shiftlimiter.h"

#include <algorithm>

namespace decisions {

namespace {

server_weights normalized(server_weights weights)
{
    double sum = 0;
    for (const auto& [server, weight] : weights)
        sum += weight;
    if (sum <= 0)
        return {};
    for (auto& [server, weight] : weights)
        weight /= sum;
    return weights;
}

} // namespace

shift_limiter::shift_limiter(const shift_limits& limits)
    : m_limits(limits)
{
}

void shift_limiter::setTargets(const server_weights& targets, utils::time_point now)
{
    step(now);
    m_targets = normalized(targets);
    // A server that has left loses its share now, over all others: what it had must go somewhere.
    std::erase_if(m_weights, [&](const auto& entry) { return !m_targets.contains(entry.first); });
    m_weights = normalized(m_weights);
    if (m_weights.empty())
        m_weights = m_targets;
    for (const auto& [server, weight] : m_targets)
        m_weights.try_emplace(server, 0.0);
}

const server_weights& shift_limiter::weights(utils::time_point now)
{
    step(now);
    return m_weights;
}

void shift_limiter::step(utils::time_point now)
{
    const double elapsed = m_steppedAt ? utils::toSeconds(now - *m_steppedAt) : 0;
    m_steppedAt = now;
    double toMove = 0;
    for (const auto& [server, target] : m_targets)
        toMove += std::max(target - m_weights[server], 0.0);
    if (toMove <= 0)
        return;
    const double part = std::min(m_limits.sharePerSecond * elapsed / toMove, 1.0);
    for (const auto& [server, target] : m_targets)
        m_weights[server] += part * (target - m_weights[server]);
}

} // namespace decisions

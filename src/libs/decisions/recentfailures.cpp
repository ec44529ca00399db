#include "recentfailures.h"

#include <algorithm>
#include <cmath>

namespace decisions {

namespace {

constexpr double expiredCount = 0.01; // reached thirteen seconds after a single failure
constexpr double minSharedFailures = 0.5; // above what the routes' baseline failures add up to

} // namespace

void recent_failures::recordOutcome(
    const std::string& route, const utils::server_id& server, bool isFailure, utils::time_point now)
{
    const double expected = updateBaseline(route, isFailure);
    const bool isKnown = m_counts.contains(server);
    if (!isFailure && !isKnown)
        return;
    const double failures = (isFailure ? 1.0 : 0.0) - expected;
    add(server, failures, now);
    m_unsent[server] += failures;
}

double recent_failures::updateBaseline(const std::string& route, bool isFailure)
{
    double& baseline = m_baselines.try_emplace(route, 0.0).first->second;
    const double before = baseline;
    baseline += ((isFailure ? 1.0 : 0.0) - baseline) / baselineRequests;
    return before;
}

void recent_failures::applyUpdate(const failure_update& update, utils::time_point now)
{
    if (std::isfinite(update.failures))
        add(update.server, update.failures, now);
}

double recent_failures::countAt(const utils::server_id& server, utils::time_point now) const
{
    const auto found = m_counts.find(server);
    return found == m_counts.end() ? 0 : valueAt(found->second, now);
}

std::vector<failure_update> recent_failures::takeUpdates()
{
    std::vector<failure_update> updates;
    for (const auto& [server, failures] : m_unsent) {
        if (failures >= minSharedFailures)
            updates.push_back({ server, static_cast<float>(failures) });
    }
    std::erase_if(
        m_unsent, [](const auto& entry) { return entry.second >= minSharedFailures || entry.second <= 0; });
    return updates;
}

void recent_failures::expire(utils::time_point now)
{
    std::erase_if(m_counts, [&](const auto& entry) { return valueAt(entry.second, now) < expiredCount; });
    std::erase_if(m_unsent, [&](const auto& entry) { return !m_counts.contains(entry.first); });
}

double recent_failures::valueAt(const decayed_count& count, utils::time_point now)
{
    return count.value * std::exp2(-utils::toSeconds(now - count.at) / utils::toSeconds(halfLife));
}

void recent_failures::add(const utils::server_id& server, double failures, utils::time_point now)
{
    decayed_count& count = m_counts[server];
    count.value = std::max(0.0, valueAt(count, now) + failures);
    count.at = now;
}

} // namespace decisions

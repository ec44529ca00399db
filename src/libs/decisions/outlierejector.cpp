#include "outlierejector.h"

#include <algorithm>
#include <limits>
#include <set>

namespace decisions {

namespace {

// With 0.2, the average of a healthy server's exponentially distributed latencies exceeds three times the
// median once in some thousand answers, and healthy servers were ejected; with 0.05 it does not.
constexpr double smoothing = 0.05;

} // namespace

outlier_ejector::outlier_ejector(const outlier_limits& limits)
    : m_limits(limits)
{
}

void outlier_ejector::setServers(const std::vector<utils::server_id>& servers)
{
    const std::set<utils::server_id> wanted(servers.begin(), servers.end());
    std::erase_if(m_servers, [&](const auto& known) { return !wanted.contains(known.first); });
    for (const utils::server_id& server : servers)
        m_servers.try_emplace(server);
}

void outlier_ejector::succeeded(
    const utils::server_id& server, utils::duration latency, utils::time_point now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    server_state& state = found->second;
    state.failures = 0;
    const double sample = utils::toSeconds(latency);
    state.latency = state.samples == 0 ? sample : state.latency + smoothing * (sample - state.latency);
    ++state.samples;
    const bool isRampOver = now >= state.ejectedUntil + m_limits.ramp;
    const bool isLagging = state.samples >= m_limits.minSamples
        && state.latency > m_limits.latencyFactor * peerMedian(server, now);
    if (isLagging && !isEjected(state, now))
        eject(state, now);
    else if (isRampOver)
        state.ejections = 0;
}

void outlier_ejector::failed(const utils::server_id& server, utils::time_point now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    server_state& state = found->second;
    ++state.failures;
    if (isEjected(state, now))
        return;
    // During the ramp one failure is enough: the server's last known state is failing.
    const bool isProbed = state.ejections > 0 && now < state.ejectedUntil + m_limits.ramp;
    if (isProbed || state.failures >= m_limits.consecutiveFailures)
        eject(state, now);
}

double outlier_ejector::weight(const utils::server_id& server, utils::time_point now) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return 0;
    const server_state& state = found->second;
    if (state.ejections == 0)
        return 1;
    if (isEjected(state, now))
        return 0;
    const double grown = utils::toSeconds(now - state.ejectedUntil) / utils::toSeconds(m_limits.ramp);
    return std::clamp(grown, m_limits.probeWeight, 1.0);
}

std::size_t outlier_ejector::ejectedCount(utils::time_point now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_servers, [&](const auto& server) { return isEjected(server.second, now); }));
}

bool outlier_ejector::isEjected(const server_state& state, utils::time_point now) const
{
    return state.ejections > 0 && now < state.ejectedUntil;
}

bool outlier_ejector::mayEject(utils::time_point now) const
{
    const auto left = static_cast<double>(m_servers.size() - ejectedCount(now)) - 1;
    return left >= 1 && left >= m_limits.floor * static_cast<double>(m_servers.size());
}

double outlier_ejector::peerMedian(const utils::server_id& server, utils::time_point now) const
{
    std::vector<double> latencies;
    for (const auto& [id, state] : m_servers) {
        if (id != server && state.samples >= m_limits.minSamples && !isEjected(state, now))
            latencies.push_back(state.latency);
    }
    if (latencies.empty())
        return std::numeric_limits<double>::infinity();
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

void outlier_ejector::eject(server_state& state, utils::time_point now)
{
    if (!mayEject(now))
        return;
    const unsigned doublings = std::min(state.ejections, 10U);
    const utils::duration length = std::min(m_limits.ejection * (1 << doublings), m_limits.maxEjection);
    ++state.ejections;
    state.ejectedUntil = now + length;
    state.failures = 0;
    state.samples = 0;
}

} // namespace decisions

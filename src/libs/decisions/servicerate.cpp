#include "servicerate.h"

#include <algorithm>

namespace decisions {

namespace {

// The standard deviation of answer lengths is about their mean: with 0.1 the estimate itself varies by a
// quarter, and entries that would have started in time were refused on its peaks.
constexpr double smoothing = 0.03;
// On healthy servers the mean age of running entries is at most a whole run; twice that is not chance.
constexpr double slowRunningFactor = 2;
constexpr double minSlowdown = 0.05;
constexpr double minExpectedSeconds = 1e-6;

double ratio(utils::duration measured, utils::duration expected)
{
    return utils::toSeconds(measured) / std::max(utils::toSeconds(expected), minExpectedSeconds);
}

} // namespace

void service_rate::started(entry_id id, utils::duration expectedWork, utils::time_point now)
{
    m_running[id] = { expectedWork, now };
}

void service_rate::finished(entry_id id, utils::time_point now, bool isWhole)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    const double measured = ratio(now - found->second.startedAt, found->second.expected);
    m_running.erase(found);
    // The time of an aborted run is only a lower bound of its full time.
    if (isWhole || measured > m_slowdown)
        m_slowdown += smoothing * (measured - m_slowdown);
    m_slowdown = std::max(m_slowdown, minSlowdown);
}

double service_rate::runningSlowdown(utils::time_point now) const
{
    if (m_running.empty())
        return 0;
    double sum = 0;
    for (const auto& [id, entry] : m_running)
        sum += ratio(now - entry.startedAt, entry.expected);
    return sum / static_cast<double>(m_running.size());
}

double service_rate::slowdown(utils::time_point now) const
{
    const double running = runningSlowdown(now);
    return running > slowRunningFactor * m_slowdown ? running : m_slowdown;
}

std::vector<utils::duration> service_rate::remaining(utils::time_point now) const
{
    const double factor = slowdown(now);
    std::vector<utils::duration> result;
    result.reserve(m_running.size());
    for (const auto& [id, entry] : m_running) {
        const double total = utils::toSeconds(entry.expected) * factor;
        const double left = total - utils::toSeconds(now - entry.startedAt);
        result.push_back(utils::fromSeconds(std::max(left, 0.0)));
    }
    return result;
}

} // namespace decisions

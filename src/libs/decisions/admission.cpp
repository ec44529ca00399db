#include "admission.h"

#include <algorithm>
#include <cmath>

namespace decisions {

namespace {

// Retry-After is in whole seconds: a narrower window would return all callers in the same second.
constexpr double minRetryWindowSeconds = 2;
// Callers do not retry after minutes, so a longer time would amount to a final refusal.
constexpr double maxRetryWindowSeconds = 60;
// Longer than a burst, so that the burst itself does not count as the usual load.
constexpr double loadAveragingSeconds = 60;
// Lower bound of the spare capacity, as a fraction of the drain rate. Lasting saturation leaves no spare
// capacity, but some callers still give up.
constexpr double minSpareFraction = 0.1;
constexpr double minTrackedRate = 1e-6;
constexpr utils::duration minRetryAfter = std::chrono::seconds(1);

} // namespace

admission::admission(const admission_limits& limits)
    : m_limits(limits)
{
}

std::optional<refusal> admission::decide(const admission_query& query, utils::time_point now)
{
    const queue_entry& entry = query.entry;
    const auto longest = m_limits.maxWait.at(static_cast<std::size_t>(entry.priority));
    const utils::duration wait = waitWithOvertaking(query);
    const bool isTooLong = utils::toSeconds(wait) > m_limits.headroom * utils::toSeconds(longest);
    const bool isTooLate = entry.deadline != utils::time_point::max()
        && now + query.estimatedWait + entry.expectedWork > entry.deadline;
    if (!isTooLong && !isTooLate) {
        advance(query.drainRate, now);
        const double rate = utils::toSeconds(entry.expectedWork) / loadAveragingSeconds;
        m_admitted.at(static_cast<std::size_t>(entry.priority))[entry.team] += rate;
        m_admittedRate += rate;
        return std::nullopt;
    }
    admission_query excess = query;
    excess.estimatedWait = std::max(query.estimatedWait - longest, utils::duration::zero());
    return refuse(utils::error_kind::DeadlineUnreachable, excess, now);
}

refusal admission::refuse(utils::error_kind kind, const admission_query& query, utils::time_point now)
{
    advance(query.drainRate, now);
    m_refusedWork += utils::toSeconds(query.entry.expectedWork);
    const double window = std::clamp(
        m_refusedWork / spareRate(query.drainRate), minRetryWindowSeconds, maxRetryWindowSeconds);
    const utils::duration base = std::max(query.estimatedWait, minRetryAfter);
    return { kind, spreadRetryAfter(base, utils::fromSeconds(window), query.entry.hash) };
}

utils::duration admission::waitWithOvertaking(const admission_query& query) const
{
    // Work that overtakes the request while it waits: that of higher classes, and that of teams with a
    // lower rate of admitted work in its own class.
    const auto own = static_cast<std::size_t>(query.entry.priority);
    const auto ownRate = m_admitted.at(own).find(query.entry.team);
    const double ownTeamRate = ownRate == m_admitted.at(own).end() ? 0 : ownRate->second;
    double overtaking = 0;
    for (std::size_t index = 0; index <= own; ++index) {
        for (const auto& [team, rate] : m_admitted.at(index)) {
            if (index < own || rate < ownTeamRate)
                overtaking += rate;
        }
    }
    const double left = std::max(1 - overtaking / query.drainRate, minSpareFraction);
    return utils::fromSeconds(utils::toSeconds(query.estimatedWait) / left);
}

double admission::spareRate(double drainRate) const
{
    return std::max(drainRate - m_admittedRate, minSpareFraction * drainRate);
}

void admission::advance(double drainRate, utils::time_point now)
{
    if (m_advancedAt) {
        const double elapsed = utils::toSeconds(now - *m_advancedAt);
        m_refusedWork = std::max(m_refusedWork - spareRate(drainRate) * elapsed, 0.0);
        const double decay = std::exp(-elapsed / loadAveragingSeconds);
        m_admittedRate *= decay;
        for (auto& rates : m_admitted) {
            for (auto& [team, rate] : rates)
                rate *= decay;
            std::erase_if(rates, [](const auto& team) { return team.second < minTrackedRate; });
        }
    }
    m_advancedAt = now;
}

} // namespace decisions

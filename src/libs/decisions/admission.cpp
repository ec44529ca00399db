#include "admission.h"

#include <algorithm>

namespace decisions {

namespace {

// Retry-After is in whole seconds: a narrower window would send everyone back in the same one.
constexpr double leastWindow = 2;
// Callers do not come back after minutes; a longer time would only be a refusal in other words.
constexpr double longestWindow = 60;
constexpr utils::duration leastRetryAfter = std::chrono::seconds(1);

} // namespace

admission::admission(const admission_limits& limits)
    : m_limits(limits)
{
}

std::optional<refusal> admission::decide(const admission_query& query, utils::time_point now)
{
    const queue_entry& entry = query.entry;
    const auto longest = m_limits.maxWait.at(static_cast<std::size_t>(entry.priority));
    const bool isTooLong = query.estimatedWait > longest;
    const bool isTooLate = entry.deadline != utils::time_point::max()
        && now + query.estimatedWait + entry.expectedWork > entry.deadline;
    if (!isTooLong && !isTooLate)
        return std::nullopt;
    admission_query excess = query;
    excess.estimatedWait = std::max(query.estimatedWait - longest, utils::duration::zero());
    return refuse(utils::error_kind::DeadlineUnreachable, excess, now);
}

refusal admission::refuse(utils::error_kind kind, const admission_query& query, utils::time_point now)
{
    decayRefusedWork(query.drainRate, now);
    m_refusedWork += utils::toSeconds(query.entry.expectedWork);
    const double window = std::clamp(m_refusedWork / query.drainRate, leastWindow, longestWindow);
    const utils::duration base = std::max(query.estimatedWait, leastRetryAfter);
    return { kind, spreadRetryAfter(base, utils::fromSeconds(window), query.entry.hash) };
}

void admission::decayRefusedWork(double drainRate, utils::time_point now)
{
    if (m_decayedAt)
        m_refusedWork -= drainRate * utils::toSeconds(now - *m_decayedAt);
    m_refusedWork = std::max(m_refusedWork, 0.0);
    m_decayedAt = now;
}

} // namespace decisions

#include "loadshedding.h"

#include "utils/hashing.h"

#include <algorithm>
#include <cmath>

namespace decisions {

void load_shedder::recordTarget(int urgency, utils::duration target)
{
    utils::duration& shortest = m_targets[urgencyIndex(urgency)];
    if (shortest == utils::duration::zero() || target < shortest)
        shortest = target;
}

utils::duration load_shedder::limitFor(int urgency, utils::duration target) const
{
    const auto scaled = [](utils::duration value, double factor) {
        return utils::fromSeconds(utils::toSeconds(value) * factor);
    };
    std::optional<utils::duration> limit;
    for (std::size_t i = 0; i < urgencyIndex(urgency); ++i) {
        if (m_targets[i] == utils::duration::zero())
            continue;
        limit = limit ? std::min(m_targets[i], scaled(*limit, limitStepFactor))
                      : scaled(m_targets[i], mostUrgentLimitFactor);
    }
    return limit ? std::min(target, scaled(*limit, limitStepFactor)) : scaled(target, mostUrgentLimitFactor);
}

bool load_shedder::mustRefuse(const shed_query& query) const
{
    const bool waitsForSlot = query.slotWait > utils::duration::zero();
    if (!waitsForSlot && query.loopDelay <= utils::duration::zero())
        return false;
    if (query.expectedAnswer + query.loopDelay >= query.timeLeft)
        return true;
    const utils::duration limit = limitFor(query.urgency, query.target);
    const utils::duration queueing
        = waitsForSlot && !query.hasShare ? query.queueing : utils::duration::zero();
    const utils::duration wait = query.loopDelay + queueing;
    const double fill = utils::toSeconds(wait) / utils::toSeconds(limit);
    return fill >= rampBegin + (rampEnd - rampBegin) * utils::toUnitInterval(query.hash);
}

std::optional<refusal> load_shedder::decide(const shed_query& query, utils::time_point now)
{
    decayCounts(now);
    if (!mustRefuse(query)) {
        ++m_admitted;
        return std::nullopt;
    }
    ++m_refused;
    const bool isInTime = query.expectedAnswer + query.loopDelay < query.timeLeft;
    const auto kind = isInTime ? utils::error_kind::QueueFull : utils::error_kind::DeadlineUnreachable;
    const utils::duration pause = std::max(minRetryAfter, backlogTime());
    return refusal { kind, spreadRetryAfter(pause, pause, query.hash) };
}

std::optional<utils::duration> load_shedder::shortestTarget() const
{
    std::optional<utils::duration> shortest;
    for (const utils::duration target : m_targets) {
        if (target > utils::duration::zero())
            shortest = std::min(shortest.value_or(target), target);
    }
    return shortest;
}

refusal load_shedder::refuse(std::uint64_t hash, utils::time_point now)
{
    decayCounts(now);
    ++m_refused;
    const utils::duration pause = std::max(minRetryAfter, backlogTime());
    return { utils::error_kind::QueueFull, spreadRetryAfter(pause, pause, hash) };
}

utils::duration load_shedder::backlogTime() const
{
    const double ratio = m_refused / std::max(1.0, m_admitted);
    return std::min(maxRetryAfter, utils::fromSeconds(utils::toSeconds(countDecayTime) * ratio));
}

void load_shedder::decayCounts(utils::time_point now)
{
    const double kept = std::exp(-utils::toSeconds(now - m_decayedAt) / utils::toSeconds(countDecayTime));
    m_admitted *= kept;
    m_refused *= kept;
    m_decayedAt = now;
}

} // namespace decisions

#include "servicewindow.h"

#include <algorithm>

namespace decisions {

namespace {

// After the Leaving phase, for requests that were sent just before its end.
constexpr utils::duration transitAllowance = std::chrono::milliseconds(250);

} // namespace

bool service_window::isOpen(bool isComplete, utils::time_point now) const
{
    return isComplete || now >= opensAt();
}

void service_window::beginStop(utils::time_point now)
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_stopAt = now;
}

stop_phase service_window::phase(std::uint64_t requestsInProgress, utils::time_point now) const
{
    if (!m_isStopping)
        return stop_phase::None;
    if (now >= endsAt())
        return stop_phase::Done;
    const utils::duration since = now - m_stopAt;
    if (since < m_limits.leavingPeriod)
        return stop_phase::Leaving;
    const bool isIdle = requestsInProgress == 0 && since >= m_limits.leavingPeriod + transitAllowance;
    return isIdle ? stop_phase::Done : stop_phase::Closing;
}

bool service_window::mayPassOn(utils::time_point deadline, utils::time_point now) const
{
    const utils::duration untilExit = m_limits.grace - m_limits.margin;
    const utils::duration anyDeadlinePeriod = std::min(
        m_limits.leavingPeriod, utils::fromSeconds(m_limits.anyDeadlineShare * utils::toSeconds(untilExit)));
    return !m_isStopping || deadline <= endsAt() || now < m_stopAt + anyDeadlinePeriod;
}

} // namespace decisions

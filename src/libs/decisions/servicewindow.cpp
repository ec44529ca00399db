#include "servicewindow.h"

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

bool service_window::mayAccept(utils::duration timeout, utils::time_point now) const
{
    return !m_isStopping || now < m_stopAt + m_limits.leavingPeriod || now + timeout <= endsAt();
}

} // namespace decisions

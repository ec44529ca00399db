#include "stopscope.h"

#include "gateway/clock.h"

namespace gateway {

void stop_scope::setDeadline(utils::time_point at, utils::time_point now)
{
    m_deadline = at;
    m_deadlineTimer.expires_after(at - now);
    m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->m_isFinished)
            self->stop(stop_reason::DeadlineExceeded);
    });
}

void stop_scope::stop(stop_reason reason)
{
    if (m_reason != stop_reason::None || m_isFinished)
        return;
    m_reason = reason;
    if (m_connection)
        m_connection->abort();
    if (reason == stop_reason::DeadlineExceeded && m_onDeadline)
        m_onDeadline();
}

stop_reason stop_scope::checkDeadline(utils::time_point now)
{
    if (now >= m_deadline)
        stop(stop_reason::DeadlineExceeded);
    return m_reason;
}

void stop_scope::setConnection(http_connection_ptr connection)
{
    ++m_generation;
    m_timeoutTimer.cancel();
    m_nextCheck = nullptr;
    m_hasTimedOut = false;
    m_connection = std::move(connection);
    if (m_connection && m_reason != stop_reason::None)
        m_connection->abort();
}

void stop_scope::setTimeoutCheck(
    std::function<utils::time_point(utils::time_point)> nextCheck, utils::time_point now)
{
    m_nextCheck = std::move(nextCheck);
    armTimeout(now, ++m_generation);
}

void stop_scope::clearTimeoutCheck()
{
    ++m_generation;
    m_timeoutTimer.cancel();
    m_nextCheck = nullptr;
}

void stop_scope::armTimeout(utils::time_point now, std::uint64_t generation)
{
    const utils::time_point next = m_nextCheck(now);
    if (next <= now) {
        m_hasTimedOut = true;
        if (m_connection)
            m_connection->abort();
        return;
    }
    m_timeoutTimer.expires_after(next - now);
    m_timeoutTimer.async_wait(
        [self = shared_from_this(), generation](const boost::system::error_code& error) {
            if (!error && generation == self->m_generation)
                self->armTimeout(gateway::now(), generation);
        });
}

void stop_scope::finish()
{
    m_isFinished = true;
    ++m_generation;
    m_deadlineTimer.cancel();
    m_timeoutTimer.cancel();
    m_connection.reset();
    m_onDeadline = nullptr;
    m_nextCheck = nullptr;
}

} // namespace gateway

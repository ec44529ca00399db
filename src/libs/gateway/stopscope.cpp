#include "stopscope.h"

#include "clock.h"

namespace gateway {

void stop_scope::limitUntil(utils::time_point at, utils::time_point now)
{
    m_limit = at;
    m_deadline.expires_after(at - now);
    m_deadline.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->m_isFinished)
            self->stop(stop_reason::TimeUp);
    });
}

void stop_scope::stop(stop_reason reason)
{
    if (m_reason != stop_reason::None || m_isFinished)
        return;
    m_reason = reason;
    if (m_exchange)
        m_exchange->abandon();
    if (reason == stop_reason::TimeUp && m_onTimeUp)
        m_onTimeUp();
}

stop_reason stop_scope::reasonAt(utils::time_point now)
{
    if (now >= m_limit)
        stop(stop_reason::TimeUp);
    return m_reason;
}

void stop_scope::setExchange(http_connection_ptr connection)
{
    ++m_turn;
    m_silence.cancel();
    m_nextCheck = nullptr;
    m_wasSilent = false;
    m_exchange = std::move(connection);
    if (m_exchange && m_reason != stop_reason::None)
        m_exchange->abandon();
}

void stop_scope::watchSilence(
    std::function<utils::time_point(utils::time_point)> nextCheck, utils::time_point now)
{
    m_nextCheck = std::move(nextCheck);
    armSilence(now, ++m_turn);
}

void stop_scope::armSilence(utils::time_point now, std::uint64_t turn)
{
    const utils::time_point next = m_nextCheck(now);
    if (next <= now) {
        m_wasSilent = true;
        if (m_exchange)
            m_exchange->abandon();
        return;
    }
    m_silence.expires_after(next - now);
    m_silence.async_wait([self = shared_from_this(), turn](const boost::system::error_code& error) {
        if (!error && turn == self->m_turn)
            self->armSilence(gateway::now(), turn);
    });
}

void stop_scope::finish()
{
    m_isFinished = true;
    ++m_turn;
    m_deadline.cancel();
    m_silence.cancel();
    m_exchange.reset();
    m_onTimeUp = nullptr;
    m_nextCheck = nullptr;
}

} // namespace gateway

#include "sessionlease.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace serving {

namespace asio = boost::asio;

session_lease::session_lease(
    asio::any_io_executor executor, keyvalue::kv_client& kv, std::function<void()> onLost)
    : m_executor(std::move(executor))
    , m_kv(kv)
    , m_onLost(std::move(onLost))
{
}

std::int64_t session_lease::current(utils::time_point now) const
{
    return m_endsAt && now < *m_endsAt ? m_lease : 0;
}

void session_lease::tick(utils::time_point now)
{
    if (m_lease != 0 && current(now) == 0) {
        m_lease = 0;
        m_endsAt.reset();
        m_onLost();
    }
    if (m_isRenewing || now < m_nextRenewal)
        return;
    m_isRenewing = true;
    m_nextRenewal = now + renewEvery;
    asio::co_spawn(m_executor, renew(now), asio::detached);
}

asio::awaitable<void> session_lease::renew(utils::time_point startedAt)
{
    keyvalue::kv_lease_reply reply;
    const bool isNew = m_lease == 0;
    if (isNew)
        reply = co_await m_kv.grantLease(timeToLive.count());
    else
        reply = co_await m_kv.keepLease(m_lease);
    m_isRenewing = false;
    if (reply.status != keyvalue::kv_status::Done)
        co_return;
    if (!isNew && reply.ttlSeconds == 0) {
        m_endsAt = startedAt;
        co_return;
    }
    m_lease = isNew ? reply.id : m_lease;
    m_endsAt = startedAt + timeToLive;
}

} // namespace serving

#include "retentionlease.h"

namespace serving {

boost::asio::awaitable<std::int64_t> retention_lease::current(utils::time_point now)
{
    if (m_grantedAt && now - *m_grantedAt < sharedFor)
        co_return m_lease;
    constexpr std::chrono::seconds ttl = retention + sharedFor;
    const keyvalue::kv_lease_reply reply = co_await m_kv.grantLease(ttl.count());
    if (reply.status != keyvalue::kv_status::Done || reply.id == 0)
        co_return 0;
    m_lease = reply.id;
    m_grantedAt = now;
    co_return m_lease;
}

} // namespace serving

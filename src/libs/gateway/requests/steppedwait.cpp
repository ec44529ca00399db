#include "steppedwait.h"

#include "gateway/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace gateway {

boost::asio::awaitable<void> stepped_wait::wait()
{
    const utils::time_point startedAt = now();
    boost::asio::steady_timer timer(m_executor, m_step);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    m_spent += now() - startedAt;
}

} // namespace gateway

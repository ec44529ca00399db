#include "asioclock.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace keyvalue {

namespace asio = boost::asio;

utils::time_point asio_clock::now() const
{
    const auto elapsed = std::chrono::steady_clock::now().time_since_epoch();
    return utils::time_point(std::chrono::duration_cast<utils::duration>(elapsed));
}

asio::awaitable<void> asio_clock::waitUntil(utils::time_point until)
{
    asio::steady_timer timer(m_executor, until - now());
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace keyvalue

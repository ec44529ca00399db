#include "connectattempt.h"

#include "gateway/clock.h"

#include <boost/asio/use_awaitable.hpp>

namespace gateway {

boost::asio::awaitable<std::string> connectWithin(std::shared_ptr<stop_scope> scope,
    http_connection_ptr connection, boost::asio::ip::tcp::endpoint endpoint)
{
    // Within a region a SYN is answered within 10 ms; a lost one is retransmitted only after 1 s.
    constexpr utils::duration connectTimeout = std::chrono::milliseconds(400);
    scope->setConnection(connection);
    const utils::time_point connectBy = now() + connectTimeout;
    scope->setTimeoutCheck([connectBy](utils::time_point) { return connectBy; }, now());
    const boost::system::error_code error = co_await connection->connect(endpoint);
    const bool hasTimedOut = scope->hasTimedOut();
    // Setting the connection ends the timeout.
    scope->setConnection(error ? nullptr : connection);
    if (!error)
        co_return std::string();
    co_return hasTimedOut ? std::string("timed out") : error.message();
}

} // namespace gateway

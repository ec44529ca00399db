#pragma once

#include "task.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace wire {

/// Connections accepted in one iteration of the event loop. With 1, and with 16, callers waited for seconds
/// in the listen queue while hundreds of open connections had work in each iteration. The node does not
/// notice this wait, since no request timeout runs before the request is read. So the queue is emptied, up to
/// a limit that keeps a flood of connections from starving the open ones; load shedding bounds what is then
/// accepted.
inline constexpr int acceptedAtOnce = 256;

/// Accepts connections until the acceptor is closed and runs `session(socket)`, a coroutine, for each, as a
/// task of that name.
/// After an error, such as no free file descriptors, it waits 50 ms instead of spinning; the open sessions
/// continue and free theirs.
template <class Session>
boost::asio::awaitable<void> acceptLoop(
    boost::asio::ip::tcp::acceptor& acceptor, Session session, std::string_view task = "session")
{
    constexpr std::chrono::milliseconds pauseOnError { 50 };
    while (acceptor.is_open()) {
        boost::system::error_code error;
        auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
        auto socket = co_await acceptor.async_accept(token);
        if (error == boost::asio::error::operation_aborted)
            co_return;
        if (error) {
            boost::asio::steady_timer timer(acceptor.get_executor(), pauseOnError);
            co_await timer.async_wait(token);
            continue;
        }
        startTask(acceptor.get_executor(), task, session(std::move(socket)));
        acceptor.non_blocking(true);
        for (int i = 1; i < acceptedAtOnce; ++i) {
            boost::asio::ip::tcp::socket next(acceptor.get_executor());
            acceptor.accept(next, error);
            if (error)
                break; // the listen queue is empty; any other error recurs at the next async_accept
            startTask(acceptor.get_executor(), task, session(std::move(next)));
        }
    }
}

/// Listens on `endpoint`. Throws boost::system::system_error on failure.
boost::asio::ip::tcp::acceptor listenOn(
    const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace wire

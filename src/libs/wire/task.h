#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <string_view>
#include <utility>

namespace wire {

/// Logs that an exception has ended a task. Thread safe.
void logTaskFailure(std::string_view task, const std::exception_ptr& error);

/// Starts a coroutine that nobody waits for. An exception that leaves it is logged under the name `task`,
/// which must be a literal. Thread safe where the executor is.
template <class Executor>
void startTask(const Executor& executor, std::string_view task, boost::asio::awaitable<void> work)
{
    boost::asio::co_spawn(executor, std::move(work), [task](const std::exception_ptr& error) {
        if (error)
            logTaskFailure(task, error);
    });
}

/// Runs the event loop until it is stopped or has no more work. An exception that leaves a handler is logged
/// and ends nothing else. Not thread safe.
void runEventLoop(boost::asio::io_context& io);

} // namespace wire

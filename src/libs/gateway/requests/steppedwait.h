#pragma once

#include "utils/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace gateway {

/// The time that a request spends waiting for one condition, which it asks for after each step. Not thread
/// safe.
class stepped_wait {
public:
    stepped_wait(boost::asio::any_io_executor executor, utils::duration step)
        : m_executor(std::move(executor))
        , m_step(step)
    {
    }

    /// Waits for one step. Precondition: this object outlives the wait.
    boost::asio::awaitable<void> wait();
    /// The time spent in all steps.
    utils::duration spent() const { return m_spent; }

private:
    boost::asio::any_io_executor m_executor;
    utils::duration m_step;
    utils::duration m_spent {};
};

} // namespace gateway

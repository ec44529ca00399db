#pragma once

#include "utils/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace keyvalue {

/// The process's monotonic clock with asynchronous waits. Thread safe.
class asio_clock {
public:
    explicit asio_clock(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    utils::time_point now() const;
    boost::asio::awaitable<void> waitUntil(utils::time_point until);

private:
    boost::asio::any_io_executor m_executor;
};

} // namespace keyvalue

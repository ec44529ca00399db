#pragma once

#include "httpconnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace gateway {

/// Why a request is given up.
enum class stop_reason {
    None,
    CallerGone,
    DeadlineExceeded ///< the route's or the caller's time is over
};

/// Ends what a request waits for when the caller leaves or its time is over: whatever runs at a backend
/// server then runs for nobody. Not thread safe.
class stop_scope : public std::enable_shared_from_this<stop_scope> {
public:
    explicit stop_scope(const boost::asio::any_io_executor& executor)
        : m_deadlineTimer(executor)
        , m_timeoutTimer(executor)
    {
    }

    /// Gives up at that time.
    void setDeadline(utils::time_point at, utils::time_point now);
    /// Called when the time is over, before finish().
    void onDeadline(std::function<void()> action) { m_onDeadline = std::move(action); }
    /// Gives up now; the first reason stays.
    void stop(stop_reason reason);
    stop_reason reason() const { return m_reason; }
    /// The same at that time, whether or not the timer of the limit has fired.
    stop_reason checkDeadline(utils::time_point now);

    /// The exchange that is abandoned when the request is given up.
    void setConnection(http_connection_ptr connection);
    /// Asks now and again whether the exchange has fallen silent, and abandons it then. `nextCheck` tells
    /// when to ask again, or a time that is over when it has.
    void setTimeoutCheck(
        std::function<utils::time_point(utils::time_point)> nextCheck, utils::time_point now);
    /// Whether the exchange was abandoned for its silence.
    bool hasTimedOut() const { return m_hasTimedOut; }
    /// Stops all timers. To be called at the end.
    void finish();

private:
    void armTimeout(utils::time_point now, std::uint64_t generation);

    utils::time_point m_deadline = utils::time_point::max();
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_timeoutTimer;
    http_connection_ptr m_connection;
    std::function<void()> m_onDeadline;
    stop_reason m_reason = stop_reason::None;
    std::function<utils::time_point(utils::time_point)> m_nextCheck;
    std::uint64_t m_generation = 0;
    bool m_hasTimedOut = false;
    bool m_isFinished = false;
};

} // namespace gateway

#pragma once

#include "gateway/servers/httpconnection.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace gateway {

/// Why a request was stopped.
enum class stop_reason {
    None,
    CallerGone,
    DeadlineExceeded, ///< the timeout of the route or of the caller has passed
    NodeEnds ///< the grace period of this node's shutdown is over
};

/// Stops a request when its caller leaves or its deadline passes: aborts the connection to the backend
/// server, which would otherwise do useless work. Not thread safe.
class stop_scope : public std::enable_shared_from_this<stop_scope> {
public:
    explicit stop_scope(const boost::asio::any_io_executor& executor)
        : m_deadlineTimer(executor)
        , m_timeoutTimer(executor)
    {
    }

    /// Stops the request at the time `at`.
    void setDeadline(utils::time_point at, utils::time_point now);
    /// `action` is called when the deadline passes before finish().
    void onDeadline(std::function<void()> action) { m_onDeadline = std::move(action); }
    /// Stops the request now; the first reason is kept.
    void stop(stop_reason reason);
    stop_reason reason() const { return m_reason; }
    /// Stops the request if the deadline has passed at `now`, even if its timer has not fired yet, and
    /// returns the reason.
    stop_reason checkDeadline(utils::time_point now);

    /// Sets the connection that is aborted when the request stops, and removes the timeout check; may be
    /// null.
    void setConnection(http_connection_ptr connection);
    /// Aborts the connection when it times out. `nextCheck` gets the current time and returns when to check
    /// again; a time that has passed means that the connection has timed out.
    void setTimeoutCheck(
        std::function<utils::time_point(utils::time_point)> nextCheck, utils::time_point now);
    /// Removes the timeout check; the connection is not aborted for silence any more.
    void clearTimeoutCheck();
    /// Whether the connection was aborted because of its timeout.
    bool hasTimedOut() const { return m_hasTimedOut; }
    /// Stops all timers; to be called when the request is finished.
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

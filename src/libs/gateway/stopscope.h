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
    TimeUp ///< the route's or the caller's time is over
};

/// Ends what a request waits for when the caller leaves or its time is over: whatever runs at a backend
/// server then runs for nobody. Not thread safe.
class stop_scope : public std::enable_shared_from_this<stop_scope> {
public:
    explicit stop_scope(const boost::asio::any_io_executor& executor)
        : m_deadline(executor)
        , m_silence(executor)
    {
    }

    /// Gives up at that time.
    void limitUntil(utils::time_point at, utils::time_point now);
    /// Called when the time is over, before finish().
    void onTimeUp(std::function<void()> action) { m_onTimeUp = std::move(action); }
    /// Gives up now; the first reason stays.
    void stop(stop_reason reason);
    stop_reason reason() const { return m_reason; }
    /// The same at that time, whether or not the timer of the limit has fired.
    stop_reason reasonAt(utils::time_point now);

    /// The exchange that is abandoned when the request is given up.
    void setExchange(http_connection_ptr connection);
    /// Asks now and again whether the exchange has fallen silent, and abandons it then. `nextCheck` tells
    /// when to ask again, or a time that is over when it has.
    void watchSilence(std::function<utils::time_point(utils::time_point)> nextCheck, utils::time_point now);
    /// Whether the exchange was abandoned for its silence.
    bool wasSilent() const { return m_wasSilent; }
    /// Stops all timers. To be called at the end.
    void finish();

private:
    void armSilence(utils::time_point now, std::uint64_t turn);

    utils::time_point m_limit = utils::time_point::max();
    boost::asio::steady_timer m_deadline;
    boost::asio::steady_timer m_silence;
    http_connection_ptr m_exchange;
    std::function<void()> m_onTimeUp;
    stop_reason m_reason = stop_reason::None;
    std::function<utils::time_point(utils::time_point)> m_nextCheck;
    std::uint64_t m_turn = 0;
    bool m_wasSilent = false;
    bool m_isFinished = false;
};

} // namespace gateway

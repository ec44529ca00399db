#pragma once

#include "clock.h"
#include "store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace gateway {

/// What a watcher tells.
struct watch_events {
    std::function<void(const store_range&)> onRange; ///< all items as they are
    std::function<void(const store_changes&)> onChanges; ///< at least one change
    std::function<void(store_status, utils::time_point)> onCallEnd; ///< each call's end and when it began
    std::function<bool()> mayCall; ///< whether to go on asking; asked before each watch
    std::function<utils::duration()> backoffAfterFailure; ///< before the store is asked again
};

/// Settings of a watcher.
struct watch_timing {
    /// A watch is asked again after this; each call is paid for. A connection that has gone silent shows
    /// after this and half a second for the answer, within the three seconds in which a node may be out of
    /// touch.
    utils::duration watchTimeout = std::chrono::milliseconds(2000);
    /// Before the store is asked again after a change: changes come in groups, and each answer is paid for.
    /// A tenth of the time in which a change must be in force.
    utils::duration batchDelay = std::chrono::milliseconds(150);
    /// While nothing may be asked: how often that is looked at without wake().
    utils::duration idleCheckInterval = std::chrono::seconds(1);
};

/// Follows all items below one prefix of the store: reads them once, then watches, and reads them again
/// when the store no longer remembers what came since. Not thread safe.
template <watched_store Store> class store_watcher {
public:
    /// Precondition: the store and what the events refer to outlive run().
    store_watcher(boost::asio::any_io_executor executor, Store& store, std::string prefix,
        watch_timing timing, watch_events events)
        : m_store(store)
        , m_prefix(std::move(prefix))
        , m_timing(timing)
        , m_events(std::move(events))
        , m_timer(executor)
    {
    }

    /// Goes on until stop().
    boost::asio::awaitable<void> run()
    {
        while (!m_isStopped) {
            if (m_after && !m_isCallRequested && !m_events.mayCall()) {
                m_isIdle = true;
                co_await pauseFor(m_timing.idleCheckInterval);
                m_isIdle = false;
                continue;
            }
            m_isCallRequested = false;
            m_hadChanges = false;
            store_status status = store_status::NoAnswer;
            if (m_after)
                status = co_await watchOnce();
            else
                status = co_await readAll();
            if (status == store_status::HistoryGone)
                m_after.reset();
            else if (status != store_status::Done)
                co_await pauseFor(m_events.backoffAfterFailure());
            else if (m_hadChanges)
                co_await pauseFor(m_timing.batchDelay);
        }
    }

    /// Looks again at once whether the store may be asked.
    void wake()
    {
        if (m_events.mayCall())
            endIdle();
    }
    /// Asks the store once, at once, even where it may not be asked otherwise.
    void callNow()
    {
        m_isCallRequested = true;
        endIdle();
    }
    /// Everything up to that revision is known from elsewhere.
    void advance(std::uint64_t asOf)
    {
        if (m_after)
            m_after = std::max(*m_after, asOf);
    }

    void stop()
    {
        m_isStopped = true;
        m_timer.cancel();
        m_store.close();
    }

private:
    boost::asio::awaitable<void> pauseFor(utils::duration length)
    {
        m_timer.expires_after(length);
        co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    void endIdle()
    {
        if (m_isIdle)
            m_timer.cancel();
    }

    boost::asio::awaitable<store_status> readAll()
    {
        const utils::time_point startedAt = now();
        const store_range range = co_await m_store.range(m_prefix);
        if (range.status == store_status::Done) {
            m_after = range.asOf;
            m_events.onRange(range);
        }
        m_events.onCallEnd(range.status, startedAt);
        co_return range.status;
    }

    boost::asio::awaitable<store_status> watchOnce()
    {
        const utils::time_point startedAt = now();
        const store_changes changes = co_await m_store.watch(m_prefix, *m_after, m_timing.watchTimeout);
        if (changes.status == store_status::Done) {
            m_after = std::max(*m_after, changes.asOf);
            m_hadChanges = !changes.changes.empty();
            if (m_hadChanges)
                m_events.onChanges(changes);
        }
        m_events.onCallEnd(changes.status, startedAt);
        co_return changes.status;
    }

    Store& m_store;
    std::string m_prefix;
    watch_timing m_timing;
    watch_events m_events;
    boost::asio::steady_timer m_timer;
    std::optional<std::uint64_t> m_after;
    bool m_isIdle = false;
    bool m_isCallRequested = false; ///< callNow() was called since the last call began
    bool m_hadChanges = false; ///< of the last call
    bool m_isStopped = false;
};

} // namespace gateway

#pragma once

#include "gateway/clock.h"
#include "store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace gateway {

/// Callbacks of a store watcher.
struct watch_events {
    std::function<void(const store_range&)> onRange; ///< all items, after a full read
    std::function<void(const store_changes&)> onChanges; ///< at least one change
    /// after each call: its kind, its status and when it began
    std::function<void(store_call, store_status, utils::time_point)> onCallEnd;
    std::function<bool()> mayCall; ///< whether further calls are allowed; queried before each watch
    std::function<utils::duration()> backoffAfterFailure; ///< the pause before the next call to the store
};

/// Timing of a store watcher.
struct watch_timing {
    /// A watch that reports no change is renewed after this time; each call has a cost. A dead connection is
    /// detected after this time plus half a second for the answer, within the three seconds for which a node
    /// may be out of contact with the store.
    utils::duration watchTimeout = std::chrono::milliseconds(2000);
    /// Pause between a change and the next watch: changes come in bursts, and each answer has a cost. About a
    /// tenth of the time in which a change must be in force.
    utils::duration batchDelay = std::chrono::milliseconds(300);
    /// How often mayCall() is queried without wake() while calls are not allowed.
    utils::duration idleCheckInterval = std::chrono::seconds(1);
};

/// Follows all items below one prefix of the store: reads them once, then watches for changes, and reads them
/// again when the store no longer has the history since the last revision. Not thread safe.
template <watched_store Store> class store_watcher {
public:
    /// Precondition: the store and all objects that the callbacks refer to outlive run().
    store_watcher(boost::asio::any_io_executor executor, Store& store, std::string prefix,
        watch_timing timing, watch_events events)
        : m_store(store)
        , m_prefix(std::move(prefix))
        , m_timing(timing)
        , m_events(std::move(events))
        , m_timer(executor)
    {
    }

    /// Runs until stop().
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

    /// Queries mayCall() again without waiting for the next check.
    void wake()
    {
        if (m_events.mayCall())
            endIdle();
    }
    /// Calls the store once without delay, even if mayCall() does not allow it.
    void callNow()
    {
        m_isCallRequested = true;
        endIdle();
    }
    /// Records that everything up to that revision was received from another source.
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
        m_events.onCallEnd(store_call::ReadAll, range.status, startedAt);
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
        m_events.onCallEnd(store_call::Watch, changes.status, startedAt);
        co_return changes.status;
    }

    Store& m_store;
    std::string m_prefix;
    watch_timing m_timing;
    watch_events m_events;
    boost::asio::steady_timer m_timer;
    std::optional<std::uint64_t> m_after;
    bool m_isIdle = false;
    bool m_isCallRequested = false; ///< callNow() was called after the last call began
    bool m_hadChanges = false; ///< the last call returned changes
    bool m_isStopped = false;
};

} // namespace gateway

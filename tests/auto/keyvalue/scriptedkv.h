#pragma once

#include "keyvalue/keyvalue.h"
#include "kvstandin/kvstore.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

/// Fault that the scripted service injects into one call.
enum class kv_fault {
    None,
    NotSent, ///< rejected without effect
    LostAnswer, ///< takes effect, but the caller gets no answer
    LostRequest, ///< never takes effect, and the caller gets no answer
    Late ///< takes effect at applyLate(), and the caller gets no answer
};

/// A virtual clock: waitUntil() advances the time immediately.
class virtual_clock {
public:
    utils::time_point now() const { return m_now; }
    boost::asio::awaitable<void> waitUntil(utils::time_point until)
    {
        m_now = std::max(m_now, until);
        co_return;
    }

private:
    utils::time_point m_now;
};

/// An in-process key-value service. Each call suspends once, so that other coroutines may run, and consumes
/// the next fault that the test has queued. Not thread safe.
class scripted_kv {
public:
    explicit scripted_kv(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor))
    {
    }

    boost::asio::awaitable<keyvalue::kv_reply> transact(keyvalue::kv_transaction transaction)
    {
        const kv_fault fault = isWriting(transaction) ? nextWrite() : nextRead();
        co_await boost::asio::post(m_executor, boost::asio::use_awaitable);
        if (fault == kv_fault::NotSent)
            co_return failed(keyvalue::kv_status::NotSent);
        if (fault == kv_fault::Late)
            m_late.push_back(transaction);
        if (fault == kv_fault::Late || fault == kv_fault::LostRequest)
            co_return failed(keyvalue::kv_status::Unknown);
        const keyvalue::kv_reply reply = store.transact(transaction, {});
        if (fault == kv_fault::LostAnswer)
            co_return failed(keyvalue::kv_status::Unknown);
        co_return reply;
    }

    boost::asio::awaitable<keyvalue::kv_reply> get(keyvalue::kv_get range)
    {
        const kv_fault fault = nextRead();
        co_await boost::asio::post(m_executor, boost::asio::use_awaitable);
        if (fault != kv_fault::None)
            co_return failed(keyvalue::kv_status::Unknown);
        if (onRead)
            onRead();
        co_return store.get(range);
    }

    boost::asio::awaitable<keyvalue::kv_lease_reply> grantLease(std::int64_t) { co_return gone(); }
    boost::asio::awaitable<keyvalue::kv_lease_reply> keepLease(std::int64_t) { co_return gone(); }
    boost::asio::awaitable<keyvalue::kv_lease_reply> revokeLease(std::int64_t) { co_return gone(); }

    /// Applies the delayed writes whose compares still hold.
    void applyLate()
    {
        for (const keyvalue::kv_transaction& transaction : std::exchange(m_late, {}))
            store.transact(transaction, {});
    }

    kvstandin::kv_store store;
    std::deque<kv_fault> writeFaults; ///< faults of the next writes, in order
    std::deque<kv_fault> readFaults; ///< faults of the next reads, in order
    std::function<void()> onRead; ///< called before each get() is executed
    unsigned calls = 0;

private:
    static bool isWriting(const keyvalue::kv_transaction& transaction)
    {
        return std::ranges::any_of(transaction.onSuccess,
            [](const auto& operation) { return !std::holds_alternative<keyvalue::kv_get>(operation); });
    }

    static keyvalue::kv_reply failed(keyvalue::kv_status status)
    {
        keyvalue::kv_reply reply;
        reply.status = status;
        reply.error = "scripted";
        return reply;
    }

    static keyvalue::kv_lease_reply gone() { return { keyvalue::kv_status::NotSent, 0, 0 }; }

    kv_fault nextWrite() { return next(writeFaults); }
    kv_fault nextRead() { return next(readFaults); }

    kv_fault next(std::deque<kv_fault>& faults)
    {
        ++calls;
        if (faults.empty())
            return kv_fault::None;
        const kv_fault fault = faults.front();
        faults.pop_front();
        return fault;
    }

    boost::asio::any_io_executor m_executor;
    std::vector<keyvalue::kv_transaction> m_late;
};

static_assert(keyvalue::key_value<scripted_kv>);

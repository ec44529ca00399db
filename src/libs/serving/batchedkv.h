#pragma once

#include "keyvalue/kvclient.h"
#include "operations/operationbatcher.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>

namespace serving {

/// The platform's key-value service behind a node's batcher: writes that come within a few milliseconds
/// share a transaction. On the node's one thread.
class batched_kv {
public:
    /// Precondition: the client outlives this.
    batched_kv(boost::asio::any_io_executor executor, keyvalue::kv_client& kv);

    /// Runs a transaction, alone or with others; the reply is that of its own. `canWait`: nobody waits for
    /// it. Not to be cancelled: run it in a coroutine of its own.
    boost::asio::awaitable<keyvalue::kv_reply> transact(keyvalue::kv_transaction transaction, bool canWait);
    /// Transactions sent so far, each for one or more calls.
    std::uint64_t sentBatches() const { return m_sentBatches; }

private:
    struct call {
        explicit call(const boost::asio::any_io_executor& executor)
            : wake(executor, boost::asio::steady_timer::time_point::max())
        {
        }

        boost::asio::steady_timer wake;
        std::optional<keyvalue::kv_reply> reply;
    };

    void apply(operations::batch_actions actions);
    void run(operations::send_batch action);
    void run(operations::deliver_reply action);
    void run(const operations::set_batch_timer& action);
    boost::asio::awaitable<void> send(operations::send_batch action);

    boost::asio::any_io_executor m_executor;
    keyvalue::kv_client& m_kv;
    operations::operation_batcher m_batcher;
    boost::asio::steady_timer m_timer;
    std::map<std::uint64_t, call*> m_calls; ///< in the frames of those who wait
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_sentBatches = 0;
};

} // namespace serving

#pragma once

#include "keyvalue/kvtypes.h"
#include "utils/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace operations {

/// Limits of the batches; docs/design/at-most-once.md explains the values.
struct batch_settings {
    utils::duration window = std::chrono::milliseconds(5); ///< maximum delay of a call whose caller waits
    utils::duration deferrableWindow = std::chrono::milliseconds(100); ///< maximum delay if canWait
    std::size_t maxEntries = 32; ///< etcd refuses more than 128 operations in a transaction
    std::size_t maxBytes = 512UL * 1024; ///< etcd refuses requests over 1.5 MB
    std::size_t maxInFlight = 4; ///< more would queue up at a slow platform without bound
    std::size_t maxQueued = 2048;
};

/// One call: a write of one key under one compare that reads the key if the compare fails, or a read of one
/// key. Any other transaction is sent in a batch of its own.
struct batch_item {
    std::uint64_t owner = 0; ///< the daemon's id of the state machine
    std::uint64_t ticket = 0;
    keyvalue::kv_transaction transaction;
    bool canWait = false;
};

/// Send the transaction and pass the reply to onKvReply with the same batch number.
struct send_batch {
    std::uint64_t batch = 0;
    keyvalue::kv_transaction transaction;
};

/// Pass the reply for one item to its owner.
struct deliver_reply {
    std::uint64_t owner = 0;
    std::uint64_t ticket = 0;
    keyvalue::kv_reply reply;
};

/// Call onTimer at `at`; replaces the previously set timer.
struct set_batch_timer {
    utils::time_point at;
};

using batch_action = std::variant<send_batch, deliver_reply, set_batch_timer>;
using batch_actions = std::vector<batch_action>;

/// Group commit: writes of one node that arrive within a few milliseconds share a transaction.
///
/// A transaction succeeds or fails as a whole, so the failed compare of one item fails all items. The failure
/// branch therefore reads every key: items whose own compare failed get the entry read as their reply, the
/// others are sent again without them. An item that two shared batches failed to write is sent in a batch
/// of its own. Each round removes at least one item.
///
/// Load: bursts of payments through one node. Without batching each payment costs two platform writes, and
/// the platform handles several hundred writes per second. Not thread safe.
class operation_batcher {
public:
    explicit operation_batcher(const batch_settings& settings = {})
        : m_settings(settings)
    {
    }

    /// Queues the item; returns a NotSent reply at once if the queue is full.
    batch_actions submit(batch_item item, utils::time_point now);
    batch_actions onKvReply(std::uint64_t batch, const keyvalue::kv_reply& reply, utils::time_point now);
    batch_actions onTimer(utils::time_point now);

private:
    struct queued_item {
        batch_item item;
        utils::time_point due;
        unsigned attempts = 0;
    };
    using item_list = std::vector<queued_item>;

    void flush(utils::time_point now, batch_actions& actions);
    item_list takeBatch();
    void send(item_list items, batch_actions& actions);
    void deliverReplies(item_list items, const keyvalue::kv_reply& reply, batch_actions& actions);

    batch_settings m_settings;
    std::deque<queued_item> m_queue;
    std::map<std::uint64_t, item_list> m_inFlight;
    std::uint64_t m_lastBatch = 0;
};

} // namespace operations

#pragma once

#include "gateway/nodecontext.h"
#include "originitems.h"
#include "store.h"

#include "wire/task.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace gateway {

/// Writes the origins of streams to the store, in batches, so that they outlive the death of all nodes.
///
/// The items form a ring: each write replaces the one that has not been written for longest, so nothing has
/// to be removed, and the store holds the origins of the last `slots` writes. Several nodes may write at the
/// same time; the condition of a write keeps one from replacing what another has just written. Not thread
/// safe.
template <writable_store Store> class origin_journal {
public:
    /// Precondition: the context outlives this object.
    explicit origin_journal(node_context& context)
        : m_context(context)
        , m_store(context.executor, context.options.storeAddress)
    {
    }

    /// Adds origins to the next batch.
    void add(const std::vector<decisions::stream_origin>& origins)
    {
        m_pending.insert(m_pending.end(), origins.begin(), origins.end());
        if (m_pending.size() > maxPending) {
            m_dropped += m_pending.size() - maxPending;
            m_pending.erase(m_pending.begin(), m_pending.end() - maxPending);
        }
    }
    /// Takes note of an item in the store, which another node may have written.
    void observe(const store_item& item, utils::time_point now)
    {
        for (std::size_t i = 0; i < slots; ++i) {
            if (item.key == keyOf(i) && item.revision > m_slots[i].revision)
                m_slots[i] = { now, item.revision };
        }
    }
    /// Writes a batch if there is one. To be called at each heartbeat of this node.
    void tick(utils::time_point now)
    {
        if (m_pending.empty() || m_isWriting || now < m_nextWriteAt)
            return;
        m_isWriting = true;
        m_nextWriteAt = now + writeInterval;
        const auto oldest = std::ranges::min_element(
            m_slots, {}, [](const slot& slot) { return std::pair(slot.usedAt, slot.revision); });
        oldest->usedAt = now;
        const auto end
            = m_pending.begin() + static_cast<std::ptrdiff_t>(std::min(m_pending.size(), maxOriginsPerWrite));
        std::vector<decisions::stream_origin> batch(m_pending.begin(), end);
        m_pending.erase(m_pending.begin(), end);
        wire::startTask(m_context.executor, "write_origins",
            write(static_cast<std::size_t>(oldest - m_slots.begin()), std::move(batch)));
    }
    /// Origins that were dropped for lack of room.
    std::uint64_t dropped() const { return m_dropped; }

private:
    /// An item of the ring.
    struct slot {
        utils::time_point usedAt {}; ///< last write that this node knows of
        std::uint64_t revision = 0; ///< 0: there is no item
    };

    static std::string keyOf(std::size_t slot)
    {
        return std::string(originItemPrefix) + std::to_string(slot);
    }

    boost::asio::awaitable<void> write(std::size_t index, std::vector<decisions::stream_origin> batch)
    {
        const store_status status
            = co_await m_store.write(keyOf(index), encodeOrigins(batch), m_slots[index].revision);
        m_context.metrics.countStoreCall(store_call::Write, status);
        m_isWriting = false;
        // Origins that are written twice do no harm.
        if (status != store_status::Done)
            add(batch);
    }

    // The origins of the last half second are lost with all nodes; each write costs a call of its own and one
    // of each node that follows the store.
    static constexpr utils::duration writeInterval = std::chrono::milliseconds(500);
    static constexpr std::size_t slots = 40; // 20 s, in which most streams end
    static constexpr std::size_t maxOriginsPerWrite = 4096; // 64 KB
    static constexpr std::size_t maxPending = 20000; // origins

    node_context& m_context;
    Store m_store; ///< with a connection of its own: those of the view wait for changes
    std::array<slot, slots> m_slots {};
    std::vector<decisions::stream_origin> m_pending;
    std::uint64_t m_dropped = 0;
    bool m_isWriting = false;
    utils::time_point m_nextWriteAt {};
};

} // namespace gateway

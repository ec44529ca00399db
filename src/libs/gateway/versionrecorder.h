#pragma once

#include "clock.h"
#include "nodecontext.h"
#include "peertable.h"
#include "store.h"
#include "storeview.h"

#include "decisions/followrule.h"

#include "utils/hashing.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace gateway {

/// Keeps the record of the software versions in the store. Of the nodes that follow the store, one writes;
/// the condition of the write keeps the record of a node that knows less from replacing another. Not thread
/// safe.
template <writable_store Store> class version_recorder {
public:
    /// Precondition: context and peers outlive this object.
    version_recorder(node_context& context, const peer_table& peers)
        : m_context(context)
        , m_peers(peers)
        , m_store(context.executor, context.options.storeAddress)
    {
    }

    /// Writes the record if it is missing or out of date. To be called at each heartbeat of this node;
    /// `followsStore`: what this node knows comes from the store itself.
    void tick(bool followsStore, utils::time_point now)
    {
        if (!followsStore || m_isWriting || now < m_nextWriteAt
            || now - m_context.startedAt < firstWriteAfter)
            return;
        auto record = m_context.versions.missingRecord(now);
        if (!record || !isWriter(now))
            return;
        m_isWriting = true;
        m_nextWriteAt = now + writeInterval;
        boost::asio::co_spawn(
            m_context.executor, write(decisions::encodeRecord(*record)), boost::asio::detached);
    }

private:
    boost::asio::awaitable<void> write(std::string text)
    {
        const std::uint64_t expected
            = m_context.versions.hasRecord() ? m_context.versions.recordRevision() : 0;
        const store_status status
            = co_await m_store.write(std::string(versionRecordKey), std::move(text), expected);
        m_context.metrics.countStoreCall(store_call::Write, status);
        m_isWriting = false;
    }

    /// Whether this node writes next: the nodes that follow the store agree on one.
    bool isWriter(utils::time_point now) const
    {
        const std::uint64_t salt = m_context.versions.recordRevision();
        const std::uint64_t own = utils::hash64(m_peers.ownAddress(), salt);
        for (const auto& [name, peer] : m_peers.peers()) {
            if (peer.followsStore && !peer.isLeaving && now - peer.heardAt <= decisions::followerTimeout
                && utils::hash64(peer.address, salt) < own)
                return false;
        }
        return true;
    }

    // Nodes that start together have heard of each other by then.
    static constexpr utils::duration firstWriteAfter = std::chrono::seconds(1);
    // The written record comes back by the watch within this time.
    static constexpr utils::duration writeInterval = std::chrono::seconds(1);

    node_context& m_context;
    const peer_table& m_peers;
    Store m_store; ///< with a connection of its own: those of the view wait for changes
    bool m_isWriting = false;
    utils::time_point m_nextWriteAt {};
};

} // namespace gateway

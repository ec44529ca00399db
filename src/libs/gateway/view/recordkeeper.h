#pragma once

#include "gateway/clock.h"
#include "gateway/nodecontext.h"
#include "gateway/peers/peertable.h"
#include "store.h"
#include "storeview.h"

#include "wire/task.h"

#include "decisions/followrule.h"

#include "utils/hashing.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace gateway {

/// What the store should remember of a node's knowledge: one item.
template <class Record>
concept stored_record = requires(const Record& record, utils::time_point now)
{
    {
        Record::key()
        } -> std::convertible_to<std::string_view>;
    {
        record.missing(now)
        } -> std::same_as<std::optional<std::string>>; // the text that the store should hold and does not
    {
        record.revision()
        } -> std::convertible_to<std::uint64_t>; // of the item, as last seen
    {
        record.exists()
        } -> std::convertible_to<bool>;
};

/// The software versions in use, see decisions::version_history.
struct version_record {
    const decisions::version_history& versions;

    static std::string_view key() { return versionRecordKey; }
    std::optional<std::string> missing(utils::time_point now) const
    {
        const auto record = versions.missingRecord(now);
        return record ? std::optional(decisions::encodeRecord(*record)) : std::nullopt;
    }
    std::uint64_t revision() const { return versions.recordRevision(); }
    bool exists() const { return versions.hasRecord(); }
};

/// The parts of prompts that are refused, see decisions::crashing_parts.
struct part_record {
    const decisions::crashing_parts& parts;

    static std::string_view key() { return partRecordKey; }
    std::optional<std::string> missing(utils::time_point now) const { return parts.missingRecord(now); }
    std::uint64_t revision() const { return parts.recordRevision(); }
    bool exists() const { return parts.hasRecord(); }
};

/// Keeps a record in the store. Of the nodes that follow the store, one writes, and the others take over in
/// turn where the store refuses it; the condition of the write keeps the record of a node that knows less
/// from replacing another. Not thread safe.
template <writable_store Store, stored_record Record> class record_keeper {
public:
    /// Precondition: context, peers and what the record refers to outlive this object.
    record_keeper(node_context& context, const peer_table& peers, Record record)
        : m_context(context)
        , m_peers(peers)
        , m_record(record)
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
        std::optional<std::string> text = m_record.missing(now);
        if (!text) {
            m_missingSince.reset();
            return;
        }
        m_missingSince = m_missingSince.value_or(now);
        if (now - *m_missingSince < rank(now) * takeoverDelay)
            return;
        m_isWriting = true;
        m_nextWriteAt = now + std::min(maxWriteInterval, writeInterval * (1 << m_failuresInRow));
        wire::startTask(m_context.executor, "write_record", write(std::move(*text)));
    }

private:
    boost::asio::awaitable<void> write(std::string text)
    {
        const std::uint64_t expected = m_record.exists() ? m_record.revision() : 0;
        const store_status status
            = co_await m_store.write(std::string(Record::key()), std::move(text), expected);
        m_context.metrics.countStoreCall(store_call::Write, status);
        const bool isServed = status == store_status::Done || status == store_status::Conflict;
        m_failuresInRow = isServed ? 0 : std::min(m_failuresInRow + 1, maxFailures);
        m_isWriting = false;
    }

    /// How many others write before this node, in an order on which the nodes that follow the store agree.
    unsigned rank(utils::time_point now) const
    {
        const std::uint64_t salt = m_record.revision();
        const std::uint64_t own = utils::hash64(m_peers.ownAddress(), salt);
        unsigned earlier = 0;
        for (const auto& [name, peer] : m_peers.peers()) {
            const bool isWriter
                = peer.followsStore && !peer.isLeaving && now - peer.heardAt <= decisions::followerTimeout;
            earlier += isWriter && utils::hash64(peer.address, salt) < own ? 1 : 0;
        }
        return earlier;
    }

    // Nodes that start together have heard of each other by then.
    static constexpr utils::duration firstWriteAfter = std::chrono::seconds(1);
    // The written record comes back by the watch within this time.
    static constexpr utils::duration writeInterval = std::chrono::seconds(1);
    // Refused calls have a cost, too.
    static constexpr utils::duration maxWriteInterval = std::chrono::seconds(8);
    static constexpr unsigned maxFailures = 3; ///< that lengthen the interval
    static constexpr utils::duration takeoverDelay = std::chrono::seconds(1);

    node_context& m_context;
    const peer_table& m_peers;
    Record m_record;
    Store m_store; ///< with a connection of its own: those of the view wait for changes
    bool m_isWriting = false;
    utils::time_point m_nextWriteAt {};
    std::optional<utils::time_point> m_missingSince; ///< since when the record is out of date
    unsigned m_failuresInRow = 0;
};

} // namespace gateway

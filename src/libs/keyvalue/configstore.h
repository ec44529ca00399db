#pragma once

#include "configaccess.h"
#include "keyvalue.h"
#include "kvjson.h"

#include "config/configchange.h"
#include "config/configsnapshot.h"

#include "utils/time.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <concepts>
#include <string>
#include <vector>

namespace keyvalue {

/// A monotonic clock with asynchronous waits, as a change needs it for its retries and timeouts. Tests use
/// a virtual one.
template <class Clock>
concept waiting_clock = requires(Clock& clock, utils::time_point until)
{
    {
        clock.now()
        } -> std::same_as<utils::time_point>;
    {
        clock.waitUntil(until)
        } -> std::same_as<boost::asio::awaitable<void>>;
};

/// The operators' configuration in the platform's key-value service: one head, and immutable values that are
/// addressed by their hashes.
///
///     <prefix>config/head          revision, hash of each list of sections, short history
///     <prefix>config/blob/<hash>   a list or a section's text, never changed
///
/// A change without a concurrent writer costs two calls: the read of the head and one transaction. Not thread
/// safe; several changes may run concurrently on one executor. Preconditions: the key-value client, the clock
/// and the state chart outlive this object.
template <key_value Store, waiting_clock Clock> class config_store final : public config_access {
public:
    config_store(Store& store, Clock& clock, std::string prefix, const utils::state_chart& chart,
        config::change_settings settings = {})
        : m_store(&store)
        , m_clock(&clock)
        , m_prefix(std::move(prefix) + "config/")
        , m_chart(&chart)
        , m_settings(settings)
    {
    }

    /// Key of the head, for a watch on configuration changes.
    std::string headKey() const { return m_prefix + "head"; }
    /// The newest snapshot that was read, written or passed to offer(); before that, an empty one with
    /// revision 0.
    const config::snapshot_pointer& cached() const override { return m_cached; }
    /// Caches a snapshot received from a peer if it is newer, so that the next read fetches only later
    /// changes.
    void offer(const config::snapshot_pointer& snapshot)
    {
        if (snapshot && snapshot->head.revision > m_cached->head.revision)
            m_cached = snapshot;
    }

    /// Reads the current configuration: one call if the head is unchanged, otherwise two or three more, and
    /// one page for each 100 changed values.
    boost::asio::awaitable<snapshot_reply> read() override
    {
        // A concurrent change may delete values that the head read before it refers to; the read then
        // restarts.
        constexpr int maxAttempts = 5;
        snapshot_reply reply;
        for (int i = 0; i < maxAttempts; ++i) {
            const kv_reply head = co_await m_store->get(keyOf(headKey()));
            if (head.status != kv_status::Done)
                co_return snapshot_reply { nullptr, "reading the head: " + head.error };
            if (head.entries.empty())
                co_return snapshot_reply { std::make_shared<config::config_snapshot>(), {} };
            reply = co_await readFrom(head.entries.front());
            if (reply.snapshot)
                co_return reply;
        }
        co_return reply;
    }

    /// Applies a change to the head, see config::config_change.
    boost::asio::awaitable<config::change_outcome> change(config::change_request request) override
    {
        config::config_change stateMachine(*m_chart, m_settings, std::move(request));
        config::change_actions actions = stateMachine.start(m_clock->now());
        while (!actions.empty()) {
            if (auto* finished = std::get_if<config::finish_change>(&actions.front()))
                co_return std::move(finished->outcome);
            actions = co_await perform(stateMachine, actions.front());
        }
        co_return config::change_outcome {};
    }

private:
    /// Values read or written with one call; the service allows 128 operations in a transaction.
    static constexpr std::size_t maxPageOperations = 100;
    /// Bytes written with one call; stays below the service's limit of 1.5 MB for a request even in base64.
    static constexpr std::size_t maxPageBytes = 512UL * 1024;

    static kv_get keyOf(std::string key) { return { std::move(key), {}, 0 }; }
    std::string blobKey(const std::string& hash) const { return m_prefix + "blob/" + hash; }

    boost::asio::awaitable<config::change_actions> perform(
        config::config_change& stateMachine, const config::change_action& action)
    {
        if (const auto* wait = std::get_if<config::wait_until>(&action)) {
            co_await m_clock->waitUntil(wait->at);
            co_return stateMachine.onTimer(m_clock->now());
        }
        if (const auto* write = std::get_if<config::write_plan>(&action)) {
            const config::write_outcome outcome = co_await writePlan(write->plan);
            co_return stateMachine.onWritten(outcome, m_clock->now());
        }
        const snapshot_reply reply = co_await read();
        if (!reply.snapshot)
            co_return stateMachine.onReadFailed(m_clock->now());
        co_return stateMachine.onSnapshot(reply.snapshot, m_clock->now());
    }

    /// Writes the values before the head, since a head must not refer to missing values. All pages but the
    /// last are separate calls; if the head has changed by then, they only leave unreferenced values.
    boost::asio::awaitable<config::write_outcome> writePlan(const config::planned_change& plan)
    {
        kv_transaction page;
        std::size_t bytes = 0;
        for (const auto& [hash, text] : plan.puts) {
            if (page.onSuccess.size() >= maxPageOperations || bytes + text.size() > maxPageBytes) {
                const kv_reply reply = co_await m_store->transact(page);
                if (reply.status != kv_status::Done)
                    co_return config::write_outcome::NotSent;
                page.onSuccess.clear();
                bytes = 0;
            }
            page.onSuccess.push_back(kv_put { blobKey(hash), text, 0 });
            bytes += text.size();
        }
        page.compares.push_back({ headKey(), plan.expectedModRevision });
        page.onSuccess.push_back(kv_put { headKey(), encode(plan.head), 0 });
        appendDeletes(plan, page);
        const kv_reply reply = co_await m_store->transact(page);
        if (reply.status == kv_status::NotSent)
            co_return config::write_outcome::NotSent;
        if (reply.status == kv_status::Unknown)
            co_return config::write_outcome::Unknown;
        if (!reply.succeeded)
            co_return config::write_outcome::Moved;
        if (m_cached->headModRevision == plan.expectedModRevision)
            offer(config::applyDelta(*m_cached, { plan.head, reply.revision, plan.updates }));
        co_return config::write_outcome::Written;
    }

    /// Adds as many deletes as fit into the transaction. After a large change the remaining unreferenced
    /// values stay in the store.
    void appendDeletes(const config::planned_change& plan, kv_transaction& into) const
    {
        for (const std::string& hash : plan.deletes) {
            if (into.onSuccess.size() > maxPageOperations)
                return;
            into.onSuccess.push_back(kv_delete { blobKey(hash) });
        }
    }

    /// Builds the snapshot of the head in `entry` from the cached one and the changed values. Null when a
    /// value is missing.
    boost::asio::awaitable<snapshot_reply> readFrom(const kv_entry& entry)
    {
        if (entry.modRevision == m_cached->headModRevision)
            co_return snapshot_reply { m_cached, {} };
        const std::optional<config::config_head> head = config::decodeHead(entry.value);
        if (!head)
            co_return snapshot_reply { nullptr, "the head cannot be read" };
        // If the service was set up again, its head is no successor of the cached one: read all values.
        const bool isOlder = head->revision <= m_cached->head.revision;
        const config::snapshot_pointer base
            = isOlder ? std::make_shared<const config::config_snapshot>() : m_cached;
        config::snapshot_delta delta { *head, entry.modRevision, {} };
        std::vector<std::string> hashes;
        for (std::size_t i = 0; i < config::bucketCount; ++i) {
            if (!head->buckets.at(i).empty() && head->buckets.at(i) != base->head.buckets.at(i))
                hashes.push_back(head->buckets.at(i));
        }
        std::map<std::string, std::string> blobs;
        std::string error;
        if (!co_await readBlobs(hashes, blobs, error))
            co_return snapshot_reply { nullptr, error };
        hashes = addUpdates(blobs, *base, delta);
        if (!co_await readBlobs(hashes, blobs, error))
            co_return snapshot_reply { nullptr, error };
        for (config::section_update& update : delta.updates) {
            if (!update.entry.hash.empty())
                update.text = blobs[update.entry.hash];
        }
        config::snapshot_pointer snapshot = config::applyDelta(*base, delta);
        if (!snapshot)
            co_return snapshot_reply { nullptr, "the values do not match the head" };
        offer(snapshot);
        co_return snapshot_reply { std::move(snapshot), {} };
    }

    /// Appends to `delta` each section whose entry in `lists` differs from that in `base`. Returns the hashes
    /// of the section texts to read.
    static std::vector<std::string> addUpdates(const std::map<std::string, std::string>& lists,
        const config::config_snapshot& base, config::snapshot_delta& delta)
    {
        std::vector<std::string> hashes;
        for (const auto& [hash, text] : lists) {
            const std::optional<config::section_entries> bucket = config::decodeBucket(text);
            if (!bucket)
                continue;
            for (const auto& [name, entry] : *bucket) {
                const auto known = base.entries.find(name);
                if (known != base.entries.end() && known->second == entry)
                    continue;
                delta.updates.push_back({ name, entry, {} });
                if (!entry.hash.empty())
                    hashes.push_back(entry.hash);
            }
        }
        return hashes;
    }

    /// Reads the values of `hashes` into `into`, one page per call. False, with `error` set, when a call
    /// fails or a value is missing.
    boost::asio::awaitable<bool> readBlobs(
        const std::vector<std::string>& hashes, std::map<std::string, std::string>& into, std::string& error)
    {
        const std::size_t keyStart = blobKey({}).size();
        for (std::size_t first = 0; first < hashes.size(); first += maxPageOperations) {
            kv_transaction page;
            const std::size_t end = std::min(first + maxPageOperations, hashes.size());
            for (std::size_t i = first; i < end; ++i)
                page.onSuccess.push_back(keyOf(blobKey(hashes[i])));
            const kv_reply reply = co_await m_store->transact(page);
            error = reply.error;
            if (reply.status != kv_status::Done)
                co_return false;
            for (const kv_entry& found : reply.entries)
                into[found.key.substr(keyStart)] = found.value;
            error = "a value of the head is missing";
            if (reply.entries.size() != end - first)
                co_return false;
        }
        co_return true;
    }

    Store* m_store;
    Clock* m_clock;
    std::string m_prefix;
    const utils::state_chart* m_chart;
    config::change_settings m_settings;
    config::snapshot_pointer m_cached = std::make_shared<config::config_snapshot>();
};

} // namespace keyvalue

#include "operationbatcher.h"

#include <algorithm>
#include <optional>
#include <set>

namespace operations {

namespace {

constexpr unsigned maxSharedAttempts = 2; ///< after these an item is sent in a batch of its own

/// The key of a transaction that may share a batch; empty if it must be sent alone.
std::optional<std::string> sharedKey(const keyvalue::kv_transaction& transaction)
{
    if (transaction.compares.size() > 1 || transaction.onSuccess.size() != 1)
        return std::nullopt;
    if (const auto* get = std::get_if<keyvalue::kv_get>(&transaction.onSuccess.front())) {
        if (!transaction.compares.empty() || !get->rangeEnd.empty())
            return std::nullopt;
        return get->key;
    }
    const auto* put = std::get_if<keyvalue::kv_put>(&transaction.onSuccess.front());
    if (put == nullptr || transaction.compares.empty() || transaction.compares.front().key != put->key)
        return std::nullopt;
    return put->key;
}

std::size_t bytesOf(const keyvalue::kv_transaction& transaction)
{
    std::size_t sum = 0;
    for (const keyvalue::kv_operation& operation : transaction.onSuccess) {
        if (const auto* put = std::get_if<keyvalue::kv_put>(&operation))
            sum += put->key.size() + put->value.size();
    }
    return sum;
}

const keyvalue::kv_entry* findEntry(const keyvalue::kv_reply& reply, const std::string& key)
{
    const auto found = std::ranges::find(reply.entries, key, &keyvalue::kv_entry::key);
    return found == reply.entries.end() ? nullptr : &*found;
}

keyvalue::kv_reply replyFor(const keyvalue::kv_reply& combined, const std::string& key, bool succeeded)
{
    keyvalue::kv_reply reply;
    reply.status = combined.status;
    reply.succeeded = succeeded;
    reply.revision = combined.revision;
    if (const keyvalue::kv_entry* entry = findEntry(combined, key))
        reply.entries.push_back(*entry);
    return reply;
}

bool compareHolds(const keyvalue::kv_transaction& transaction, const keyvalue::kv_reply& reply)
{
    const keyvalue::kv_compare& compare = transaction.compares.front();
    const keyvalue::kv_entry* entry = findEntry(reply, compare.key);
    return compare.modRevision == (entry == nullptr ? 0 : entry->modRevision);
}

} // namespace

batch_actions operation_batcher::submit(batch_item item, utils::time_point now)
{
    batch_actions actions;
    if (m_queue.size() >= m_settings.maxQueued) {
        actions.emplace_back(deliver_reply { item.owner, item.ticket, {} });
        return actions;
    }
    const utils::duration wait = item.canWait ? m_settings.deferrableWindow : m_settings.window;
    m_queue.push_back({ std::move(item), now + wait, 0 });
    flush(now, actions);
    return actions;
}

batch_actions operation_batcher::onTimer(utils::time_point now)
{
    batch_actions actions;
    flush(now, actions);
    return actions;
}

batch_actions operation_batcher::onKvReply(
    std::uint64_t batch, const keyvalue::kv_reply& reply, utils::time_point now)
{
    batch_actions actions;
    auto found = m_inFlight.extract(batch);
    if (found.empty())
        return actions;
    deliverReplies(std::move(found.mapped()), reply, actions);
    flush(now, actions);
    return actions;
}

void operation_batcher::flush(utils::time_point now, batch_actions& actions)
{
    while (!m_queue.empty() && m_inFlight.size() < m_settings.maxInFlight) {
        const auto first = std::ranges::min_element(m_queue, {}, &queued_item::due);
        if (first->due > now && m_queue.size() < m_settings.maxEntries) {
            actions.emplace_back(set_batch_timer { first->due });
            return;
        }
        send(takeBatch(), actions);
    }
}

operation_batcher::item_list operation_batcher::takeBatch()
{
    item_list batch;
    std::set<std::string> keys;
    std::size_t bytes = 0;
    std::deque<queued_item> rest;
    for (queued_item& item : m_queue) {
        const std::optional<std::string> key = sharedKey(item.item.transaction);
        const bool isAlone = !key || item.attempts >= maxSharedAttempts;
        const std::size_t size = bytesOf(item.item.transaction);
        const bool isFull = batch.size() >= m_settings.maxEntries || bytes + size > m_settings.maxBytes;
        // The key-value service rejects a transaction that writes a key twice.
        const bool isTaken = batch.empty() || (!isAlone && !isFull && !keys.contains(*key));
        if (!isTaken || bytes > m_settings.maxBytes) {
            rest.push_back(std::move(item));
            continue;
        }
        bytes = isAlone ? m_settings.maxBytes + 1 : bytes + size;
        keys.insert(key.value_or(""));
        batch.push_back(std::move(item));
    }
    m_queue = std::move(rest);
    return batch;
}

void operation_batcher::send(item_list items, batch_actions& actions)
{
    keyvalue::kv_transaction combined;
    if (items.size() == 1) {
        combined = items.front().item.transaction;
    } else {
        for (queued_item& each : items) {
            const keyvalue::kv_transaction& part = each.item.transaction;
            combined.compares.insert(combined.compares.end(), part.compares.begin(), part.compares.end());
            combined.onSuccess.push_back(part.onSuccess.front());
            combined.onFailure.emplace_back(keyvalue::kv_get { *sharedKey(part), {}, 0 });
        }
    }
    actions.emplace_back(send_batch { ++m_lastBatch, std::move(combined) });
    m_inFlight[m_lastBatch] = std::move(items);
}

void operation_batcher::deliverReplies(
    item_list items, const keyvalue::kv_reply& reply, batch_actions& actions)
{
    const bool isReplyForAll = items.size() == 1 || reply.status != keyvalue::kv_status::Done;
    item_list retried;
    for (queued_item& each : items) {
        const batch_item& item = each.item;
        if (isReplyForAll) {
            actions.emplace_back(deliver_reply { item.owner, item.ticket, reply });
            continue;
        }
        const std::string key = *sharedKey(item.transaction);
        const bool isRead = item.transaction.compares.empty();
        if (!reply.succeeded && !isRead && compareHolds(item.transaction, reply)) {
            ++each.attempts;
            retried.push_back(std::move(each));
            continue;
        }
        const bool succeeded = reply.succeeded || isRead;
        actions.emplace_back(deliver_reply { item.owner, item.ticket, replyFor(reply, key, succeeded) });
    }
    m_queue.insert(
        m_queue.begin(), std::make_move_iterator(retried.begin()), std::make_move_iterator(retried.end()));
}

} // namespace operations

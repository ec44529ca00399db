#include "fakekv.h"

#include <algorithm>

namespace {

bool isWrite(const keyvalue::kv_operation& operation)
{
    return !std::holds_alternative<keyvalue::kv_get>(operation);
}

keyvalue::kv_reply replyWithStatus(keyvalue::kv_status status)
{
    keyvalue::kv_reply reply;
    reply.status = status;
    return reply;
}

} // namespace

void fake_kv::call(const keyvalue::kv_transaction& transaction, const reply_handler& onReply)
{
    const auto unknownLater = [this, onReply] {
        m_time.after(callTimeout, [onReply] { onReply(replyWithStatus(keyvalue::kv_status::Unknown)); });
    };
    switch (fate(transaction)) {
    case kv_fate::NotSent:
        m_time.after({}, [onReply] { onReply(replyWithStatus(keyvalue::kv_status::NotSent)); });
        return;
    case kv_fate::RequestLost:
        return unknownLater();
    case kv_fate::AnswerLost:
        m_time.after(delay, [this, transaction] { apply(transaction); });
        return unknownLater();
    case kv_fate::LateEffect:
        m_time.after(lateEffectDelay(), [this, transaction] { apply(transaction); });
        return unknownLater();
    case kv_fate::Slow:
        m_time.after(slowDelay / 2, [this, transaction] { apply(transaction); });
        return unknownLater();
    case kv_fate::Answered:
        break;
    }
    m_time.after(delay, [this, transaction, onReply] {
        const keyvalue::kv_reply reply = apply(transaction);
        m_time.after(delay, [onReply, reply] { onReply(reply); });
    });
}

keyvalue::kv_reply fake_kv::apply(const keyvalue::kv_transaction& transaction)
{
    ++m_calls;
    keyvalue::kv_reply reply;
    reply.status = keyvalue::kv_status::Done;
    reply.succeeded
        = std::ranges::all_of(transaction.compares, [this](const auto& compare) { return holds(compare); });
    const auto& branch = reply.succeeded ? transaction.onSuccess : transaction.onFailure;
    // etcd replies with an error and applies nothing.
    if (hasDeadLease(branch))
        return replyWithStatus(keyvalue::kv_status::NotSent);
    if (std::ranges::any_of(branch, isWrite)) {
        ++m_revision;
        ++m_writes;
    }
    for (const keyvalue::kv_operation& operation : branch)
        run(operation, reply);
    reply.revision = m_revision;
    return reply;
}

bool fake_kv::holds(const keyvalue::kv_compare& compare) const
{
    const keyvalue::kv_entry* entry = find(compare.key);
    return compare.modRevision == (entry == nullptr ? 0 : entry->modRevision);
}

void fake_kv::run(const keyvalue::kv_operation& operation, keyvalue::kv_reply& reply)
{
    if (const auto* put = std::get_if<keyvalue::kv_put>(&operation)) {
        keyvalue::kv_entry& entry = m_entries[put->key];
        if (entry.createRevision == 0)
            entry.createRevision = m_revision;
        entry.key = put->key;
        entry.value = put->value;
        entry.modRevision = m_revision;
        entry.lease = put->lease;
        return;
    }
    if (const auto* removal = std::get_if<keyvalue::kv_delete>(&operation)) {
        m_entries.erase(removal->key);
        return;
    }
    const auto& get = std::get<keyvalue::kv_get>(operation);
    if (get.rangeEnd.empty()) {
        if (const keyvalue::kv_entry* entry = find(get.key))
            reply.entries.push_back(*entry);
        return;
    }
    for (auto it = m_entries.lower_bound(get.key); it != m_entries.end() && it->first < get.rangeEnd; ++it) {
        if (get.limit == 0 || static_cast<std::int64_t>(reply.entries.size()) < get.limit)
            reply.entries.push_back(it->second);
    }
}

std::int64_t fake_kv::grantLease(utils::duration timeToLive)
{
    const std::int64_t lease = ++m_lastLease;
    m_leases[lease] = { timeToLive, m_time.now() + timeToLive };
    m_time.after(timeToLive, [this, lease] { expire(lease); });
    return lease;
}

bool fake_kv::keepLease(std::int64_t lease)
{
    const kv_fate drawn = fate({});
    const auto found = m_leases.find(lease);
    if (drawn != kv_fate::Answered || found == m_leases.end())
        return false;
    found->second.end = m_time.now() + found->second.timeToLive;
    m_time.after(found->second.timeToLive, [this, lease] { expire(lease); });
    return true;
}

void fake_kv::expire(std::int64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found != m_leases.end() && found->second.end <= m_time.now())
        endLease(lease);
}

void fake_kv::endLease(std::int64_t lease)
{
    if (lease == 0)
        return;
    m_leases.erase(lease);
    std::erase_if(m_entries, [lease](const auto& item) { return item.second.lease == lease; });
}

bool fake_kv::hasDeadLease(const std::vector<keyvalue::kv_operation>& operations) const
{
    return std::ranges::any_of(operations, [this](const keyvalue::kv_operation& operation) {
        const auto* put = std::get_if<keyvalue::kv_put>(&operation);
        return put != nullptr && put->lease != 0 && !m_leases.contains(put->lease);
    });
}

const keyvalue::kv_entry* fake_kv::find(const std::string& key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

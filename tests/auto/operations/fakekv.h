#pragma once

#include "virtualtime.h"

#include "keyvalue/kvtypes.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

/// Outcome of one call to the platform.
enum class kv_fate {
    Answered,
    NotSent, ///< refused immediately: the platform is down
    RequestLost, ///< not applied, no reply
    AnswerLost, ///< applied, no reply
    LateEffect, ///< reported as unanswered; applied after lateEffectDelay
    Slow ///< applied after slowDelay / 2; the reply misses callTimeout
};

/// Fake of the platform's key-value service with revisions and leases, in virtual time. Not thread safe.
class fake_kv {
public:
    using reply_handler = std::function<void(const keyvalue::kv_reply&)>;

    explicit fake_kv(virtual_time& time)
        : m_time(time)
    {
    }

    /// Selects the outcome of each call; kv_fate::Answered by default.
    std::function<kv_fate(const keyvalue::kv_transaction&)> fate
        = [](const keyvalue::kv_transaction&) { return kv_fate::Answered; };

    /// Delay until a LateEffect call is applied.
    std::function<utils::duration()> lateEffectDelay = [] { return std::chrono::milliseconds(700); };

    void call(const keyvalue::kv_transaction& transaction, const reply_handler& onReply);
    /// Applies the transaction immediately, without faults.
    keyvalue::kv_reply apply(const keyvalue::kv_transaction& transaction);
    std::int64_t grantLease(utils::duration timeToLive);
    /// Renews the lease. Returns whether the call was answered and the lease still existed.
    bool keepLease(std::int64_t lease);
    bool isLeaseAlive(std::int64_t lease) const { return m_leases.contains(lease); }
    /// Ends the lease and removes its keys.
    void endLease(std::int64_t lease);
    const keyvalue::kv_entry* find(const std::string& key) const;
    const std::map<std::string, keyvalue::kv_entry>& entries() const { return m_entries; }
    /// Number of calls that reached the service, and of those that wrote.
    std::uint64_t calls() const { return m_calls; }
    std::uint64_t writes() const { return m_writes; }

    static constexpr utils::duration delay = std::chrono::milliseconds(3);
    static constexpr utils::duration slowDelay = std::chrono::milliseconds(900);
    static constexpr utils::duration callTimeout = std::chrono::milliseconds(300);

private:
    struct lease_state {
        utils::duration timeToLive;
        utils::time_point end;
    };

    void expire(std::int64_t lease);
    bool hasDeadLease(const std::vector<keyvalue::kv_operation>& operations) const;
    bool holds(const keyvalue::kv_compare& compare) const;
    void run(const keyvalue::kv_operation& operation, keyvalue::kv_reply& reply);

    virtual_time& m_time;
    std::map<std::string, keyvalue::kv_entry> m_entries;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::map<std::int64_t, lease_state> m_leases;
    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
};

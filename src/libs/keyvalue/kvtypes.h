#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace keyvalue {

/// A key with its value and metadata in the platform's key-value service, as in etcd v3.
struct kv_entry {
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0; ///< revision of the last write; 0 for an absent key
    std::int64_t lease = 0;
};

/// A condition of a transaction: the key's last write has exactly this revision (0: the key is absent).
struct kv_compare {
    std::string key;
    std::int64_t modRevision = 0;
};

struct kv_put {
    std::string key;
    std::string value;
    std::int64_t lease = 0; ///< 0: none
};

struct kv_delete {
    std::string key;
};

struct kv_get {
    std::string key;
    std::string rangeEnd; ///< empty: this key only
    std::int64_t limit = 0; ///< 0: no limit
};

using kv_operation = std::variant<kv_put, kv_delete, kv_get>;

/// Runs `onSuccess` atomically if all compares hold, otherwise `onFailure`.
struct kv_transaction {
    std::vector<kv_compare> compares;
    std::vector<kv_operation> onSuccess;
    std::vector<kv_operation> onFailure;
};

/// Outcome of a call, as far as the client knows it.
enum class kv_status {
    Done, ///< the service executed the call and answered
    NotSent, ///< without effect: no connection, or rejected by the service
    Unknown ///< sent but not answered: a write may have taken effect or may do so later
};

/// Answer to a transaction or a read.
struct kv_reply {
    kv_status status = kv_status::NotSent;
    bool succeeded = false; ///< the compares held
    std::int64_t revision = 0; ///< revision of the store when the service answered
    std::vector<kv_entry> entries; ///< found by the kv_get operations of the branch that ran
    std::string error; ///< for the log, when status is not Done
};

/// Answer to granting, renewing or revoking a lease.
struct kv_lease_reply {
    kv_status status = kv_status::NotSent;
    std::int64_t id = 0;
    std::int64_t ttlSeconds = 0; ///< 0: the lease does not exist any more
};

/// One change reported by a watch.
struct kv_event {
    bool isDelete = false;
    kv_entry entry; ///< for a delete: key and modRevision only
};

/// Changes that a watch reports in one message.
struct kv_watch_batch {
    std::int64_t revision = 0; ///< revision of the store at the time of the report
    std::vector<kv_event> events;
    /// Not 0: older revisions are compacted, so changes may have been missed; read the keys again.
    std::int64_t compactedTo = 0;
    bool isCancelled = false; ///< the service or the caller cancelled the watch
};

} // namespace keyvalue

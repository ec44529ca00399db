#pragma once

#include "kvtypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace keyvalue {

/// Encodes and decodes the bodies of the etcd v3 JSON gateway as published: keys and values in base64, 64-bit
/// numbers as strings, fields with the value zero or false omitted. Decoding returns std::nullopt for a body
/// of another form. All functions are thread safe.
std::string encodeTransaction(const kv_transaction& transaction);
std::string encodeRange(const kv_get& range);
std::string encodeLeaseGrant(std::int64_t ttlSeconds);
std::string encodeLeaseId(std::int64_t id);
std::string encodeWatch(const std::string& key, const std::string& rangeEnd, std::int64_t fromRevision);

std::optional<kv_reply> decodeTransaction(std::string_view body);
std::optional<kv_reply> decodeRange(std::string_view body);
std::optional<kv_lease_reply> decodeLeaseGrant(std::string_view body);
/// Decodes the first message of the response stream to a keepalive.
std::optional<kv_lease_reply> decodeLeaseKeep(std::string_view body);
/// Decodes one message of the response stream to a watch.
std::optional<kv_watch_batch> decodeWatch(std::string_view message);
/// The error message in `body`, or the first 200 bytes of `body` if it has none.
std::string decodeError(std::string_view body);

/// The exclusive end of the key range that covers all keys starting with `prefix`. Thread safe.
std::string prefixEnd(std::string prefix);

} // namespace keyvalue

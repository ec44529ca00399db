#pragma once

#include "actions.h"

#include "utils/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace operations {

/// State of a request according to its record.
enum class record_state {
    Claimed, ///< the holder may send the request, or has sent it
    Answered, ///< the request ran; the answer is stored
    Unknown, ///< the connection broke after the request was sent: it may have run
    Closed ///< the request did not run, and the holder will not send it
};

/// The platform's record of one non-idempotent request. Its key is operationKey(team, idempotency key).
struct operation_record {
    record_state state = record_state::Claimed;
    std::string bodyDigest; ///< SHA-256 of method, path and body: a key must always name the same request
    std::string nonce; ///< of the sending that wrote the record
    utils::node_id holder;
    std::uint64_t holderBoot = 0;
    std::int64_t wallSeconds = 0; ///< UTC at the claim, by the holder's clock; only for Retry-After
    std::int64_t horizonSeconds
        = 0; ///< after wallSeconds; the holder has stopped working on the request by then
    std::optional<stored_answer> answer;
    bool isAnswerTooLarge = false; ///< the request ran; its answer exceeded the size that is stored

    bool operator==(const operation_record&) const = default;
};

/// The record's key in the platform. It contains a digest, so that a caller's idempotency key cannot address
/// another platform key. Thread safe.
std::string operationKey(const utils::team_id& team, std::string_view idempotencyKey);
/// Encodes the record as JSON, with the body in base64. Thread safe.
std::string encode(const operation_record& record);
/// Inverse of encode; empty if the text is not a valid record. Thread safe.
std::optional<operation_record> decodeOperationRecord(std::string_view text);

} // namespace operations

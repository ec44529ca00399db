#pragma once

#include "actions.h"

#include "utils/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace operations {

/// What a record says about its request.
enum class record_state {
    Claimed, ///< its holder may send it, or has sent it
    Answered, ///< it ran; the answer is kept
    Unknown, ///< it was sent and cut: it may have run
    Closed ///< it did not run, and its holder will not send it any more
};

/// The platform's record of one non-idempotent request. Its key is operationKey(team, idempotency key).
struct operation_record {
    record_state state = record_state::Claimed;
    std::string bodyDigest; ///< SHA-256 of method, path and body: the same key must name the same request
    std::string nonce; ///< of the sending that wrote it
    utils::node_id holder;
    std::uint64_t holderBoot = 0;
    std::int64_t wallSeconds = 0; ///< UTC at the claim, by the holder's clock; only for Retry-After
    std::int64_t horizonSeconds = 0; ///< after that its holder does not work on it any more
    std::optional<stored_answer> answer;
    bool isAnswerTooLarge = false; ///< it ran; the answer was larger than the platform holds

    bool operator==(const operation_record&) const = default;
};

/// Where the record stands in the platform. A digest, so a caller's key cannot reach another key. Thread
/// safe.
std::string operationKey(const utils::team_id& team, std::string_view idempotencyKey);
/// JSON, bodies in base64. Thread safe.
std::string encode(const operation_record& record);
/// Inverse of encode; nothing for text that is no record. Thread safe.
std::optional<operation_record> decodeOperationRecord(std::string_view text);

} // namespace operations

#pragma once

#include "actions.h"

#include "utils/ids.h"
#include "utils/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace operations {

/// State of a stored draft.
enum class draft_state {
    Waiting, ///< accepted; running or waiting to run
    Done,
    Failed, ///< ended with an error as final answer
    Cancelled,
    Sealed ///< never accepted; blocks the slot so that a delayed write cannot take effect
};

/// "waiting", "done", "failed", "cancelled" or "sealed". Thread safe.
std::string_view toString(draft_state state);

/// One draft, stored in the platform under draftKey(slot).
struct draft_record {
    draft_state state = draft_state::Waiting;
    std::string id; ///< the id that the caller polls; starts with the slot
    std::string nonce; ///< nonce of the worker that accepted the draft
    utils::team_id team;
    unsigned teamSlot = 0;
    std::string model;
    std::string body; ///< request body; cleared when the final answer is stored
    unsigned claims = 0; ///< number of times that a worker has claimed it
    unsigned crashes = 0; ///< number of runs in which the connection to the backend server broke
    std::string claimNonce; ///< nonce of the worker with the latest claim
    std::optional<stored_answer> answer;
    std::optional<utils::failure> failure;
};

/// The record as JSON, as the platform stores it. Thread safe.
std::string encode(const draft_record& record);
/// Inverse of encode; std::nullopt for text that is not a valid record. Thread safe.
std::optional<draft_record> decodeDraftRecord(std::string_view text);

/// Number of shards over which the markers of unfinished drafts are spread; each has its own scanning nodes.
constexpr unsigned draftShards = 16;

/// Key of a draft's record. The number of slots bounds the drafts of the whole fleet. Thread safe.
std::string draftKey(unsigned slot);
/// Prefix of the keys that point to a calling team's drafts; its number of team slots bounds its drafts.
/// Thread safe.
std::string draftTeamPrefix(const utils::team_id& team);
/// Key that points from a calling team's slot to a draft's id. Thread safe.
std::string draftTeamKey(const utils::team_id& team, unsigned teamSlot);
/// Prefix of a shard's markers, one for each draft without a final answer. Thread safe.
std::string draftWorkPrefix(unsigned shard);
/// Prefix of a shard's claims, which expire with the lease of the worker's node. Thread safe.
std::string draftClaimPrefix(unsigned shard);
/// Key of the marker of an unfinished draft. Thread safe.
std::string draftWorkKey(unsigned slot);
/// Key of the claim on a draft. Thread safe.
std::string draftClaimKey(unsigned slot);
/// Exclusive end of the range of keys that begin with `prefix`. Precondition: `prefix` is not empty.
/// Thread safe.
std::string endOfPrefix(std::string prefix);
/// The slot at the start of a draft's id; std::nullopt if the id is malformed. Thread safe.
std::optional<unsigned> slotOfDraft(std::string_view id);

/// The transaction that reads a draft for a polling caller. Fails with error_kind::DraftUnknown for a
/// malformed id. Thread safe.
utils::result<keyvalue::kv_transaction> draftRead(std::string_view id);
/// The draft in the reply to draftRead. Fails with DraftUnknown (also for another calling team's draft) or
/// PlatformUnavailable. Thread safe.
utils::result<draft_record> draftFromReply(
    const keyvalue::kv_reply& reply, std::string_view id, const utils::team_id& team);
/// Cancels a waiting draft by compare-and-swap; if the compare fails, the caller reads again and retries. A
/// worker that runs the draft then fails its own compare and drops its answer. Precondition: `entry` holds
/// `record`. Thread safe.
keyvalue::kv_transaction draftCancel(
    const keyvalue::kv_entry& entry, draft_record record, std::int64_t answerLease);
/// Writes a final record. The record and the calling team's pointer expire with `answerLease`; marker and
/// claim are deleted at once. Thread safe.
keyvalue::kv_transaction draftFinish(
    const draft_record& record, std::int64_t modRevision, std::int64_t answerLease);

} // namespace operations

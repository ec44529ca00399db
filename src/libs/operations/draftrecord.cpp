#include "draftrecord.h"

#include "answerjson.h"

#include "utils/crypto.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace operations {

namespace {

constexpr std::array<std::string_view, 5> stateNames { "waiting", "done", "failed", "cancelled", "sealed" };

std::string zeroPadded(unsigned value)
{
    std::array<char, 16> text {};
    (void)std::snprintf(text.data(), text.size(), "%05u", value);
    return text.data();
}

boost::json::object failureJson(const utils::failure& failure)
{
    const utils::error_answer& row = utils::answerFor(failure.kind);
    return { { "kind", row.name }, { "detail", failure.detail },
        { "run", utils::toString(failure.run.value_or(row.run)) } };
}

utils::failure failureFromJson(const boost::json::value& value)
{
    const boost::json::object& object = value.as_object();
    utils::failure failure;
    failure.kind
        = utils::errorKindFromName(object.at("kind").as_string()).value_or(utils::error_kind::Internal);
    failure.detail = object.at("detail").as_string();
    failure.run = utils::runStateFromName(object.at("run").as_string());
    return failure;
}

draft_record readRecord(const boost::json::object& object, draft_state state)
{
    draft_record record;
    record.state = state;
    record.id = object.at("id").as_string();
    record.nonce = object.at("nonce").as_string();
    record.team = utils::team_id(std::string(object.at("team").as_string()));
    record.teamSlot = boost::json::value_to<unsigned>(object.at("team_slot"));
    record.model = object.at("model").as_string();
    record.body = utils::fromBase64(object.at("body").as_string());
    record.claims = boost::json::value_to<unsigned>(object.at("claims"));
    record.crashes = boost::json::value_to<unsigned>(object.at("crashes"));
    record.claimNonce = object.at("claim_nonce").as_string();
    if (const auto* answer = object.if_contains("answer"))
        record.answer = answerFromJson(*answer);
    if (const auto* failure = object.if_contains("failure"))
        record.failure = failureFromJson(*failure);
    return record;
}

} // namespace

std::string_view toString(draft_state state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::string encode(const draft_record& record)
{
    boost::json::object object {
        { "state", toString(record.state) },
        { "id", record.id },
        { "nonce", record.nonce },
        { "team", record.team.str() },
        { "team_slot", record.teamSlot },
        { "model", record.model },
        { "body", utils::toBase64(record.body) },
        { "claims", record.claims },
        { "crashes", record.crashes },
        { "claim_nonce", record.claimNonce },
    };
    if (record.answer)
        object["answer"] = toJson(*record.answer);
    if (record.failure)
        object["failure"] = failureJson(*record.failure);
    return boost::json::serialize(object);
}

std::optional<draft_record> decodeDraftRecord(std::string_view text)
{
    try {
        const boost::json::value value = boost::json::parse(text);
        const boost::json::object& object = value.as_object();
        const auto name = std::ranges::find(stateNames, std::string_view(object.at("state").as_string()));
        if (name == stateNames.end())
            return std::nullopt;
        return readRecord(object, static_cast<draft_state>(name - stateNames.begin()));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string draftKey(unsigned slot)
{
    return "drafts/" + zeroPadded(slot);
}

std::string draftTeamPrefix(const utils::team_id& team)
{
    return "draftteams/" + utils::sha256Hex(team.str()) + "/";
}

std::string draftTeamKey(const utils::team_id& team, unsigned teamSlot)
{
    return draftTeamPrefix(team) + zeroPadded(teamSlot);
}

std::string draftWorkPrefix(unsigned shard)
{
    return "draftwork/" + zeroPadded(shard) + "/";
}

std::string draftClaimPrefix(unsigned shard)
{
    return "draftclaims/" + zeroPadded(shard) + "/";
}

std::string draftWorkKey(unsigned slot)
{
    return draftWorkPrefix(slot % draftShards) + zeroPadded(slot);
}

std::string draftClaimKey(unsigned slot)
{
    return draftClaimPrefix(slot % draftShards) + zeroPadded(slot);
}

std::string endOfPrefix(std::string prefix)
{
    ++prefix.back();
    return prefix;
}

std::optional<unsigned> slotOfDraft(std::string_view id)
{
    unsigned slot = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), slot);
    if (error != std::errc() || end == id.data() + id.size() || *end != '-')
        return std::nullopt;
    return slot;
}

utils::result<keyvalue::kv_transaction> draftRead(std::string_view id)
{
    const std::optional<unsigned> slot = slotOfDraft(id);
    if (!slot)
        return utils::fail(utils::error_kind::DraftUnknown, "not an id of a draft");
    keyvalue::kv_transaction transaction;
    transaction.onSuccess.emplace_back(keyvalue::kv_get { draftKey(*slot), {}, 0 });
    return transaction;
}

utils::result<draft_record> draftFromReply(
    const keyvalue::kv_reply& reply, std::string_view id, const utils::team_id& team)
{
    if (reply.status != keyvalue::kv_status::Done)
        return utils::fail(utils::error_kind::PlatformUnavailable, "the draft cannot be read now");
    if (reply.entries.empty())
        return utils::fail(utils::error_kind::DraftUnknown, {});
    std::optional<draft_record> record = decodeDraftRecord(reply.entries.front().value);
    const bool isMismatch = !record || record->id != id || record->team != team;
    if (isMismatch || record->state == draft_state::Sealed)
        return utils::fail(utils::error_kind::DraftUnknown, {});
    return *std::move(record);
}

keyvalue::kv_transaction draftCancel(
    const keyvalue::kv_entry& entry, draft_record record, std::int64_t answerLease)
{
    record.state = draft_state::Cancelled;
    return draftFinish(record, entry.modRevision, answerLease);
}

keyvalue::kv_transaction draftFinish(
    const draft_record& record, std::int64_t modRevision, std::int64_t answerLease)
{
    const unsigned slot = slotOfDraft(record.id).value_or(0);
    draft_record kept = record;
    kept.body.clear();
    keyvalue::kv_transaction transaction;
    transaction.compares.push_back({ draftKey(slot), modRevision });
    transaction.onSuccess.emplace_back(keyvalue::kv_put { draftKey(slot), encode(kept), answerLease });
    transaction.onSuccess.emplace_back(
        keyvalue::kv_put { draftTeamKey(record.team, record.teamSlot), record.id, answerLease });
    transaction.onSuccess.emplace_back(keyvalue::kv_delete { draftWorkKey(slot) });
    transaction.onSuccess.emplace_back(keyvalue::kv_delete { draftClaimKey(slot) });
    transaction.onFailure.emplace_back(keyvalue::kv_get { draftKey(slot), {}, 0 });
    transaction.onFailure.emplace_back(keyvalue::kv_get { draftClaimKey(slot), {}, 0 });
    return transaction;
}

} // namespace operations

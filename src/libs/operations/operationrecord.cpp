#include "operationrecord.h"

#include "answerjson.h"

#include "utils/crypto.h"

#include <algorithm>
#include <array>

namespace operations {

namespace {

constexpr std::array<std::string_view, 4> stateNames { "claimed", "answered", "unknown", "closed" };
constexpr std::string_view keyPrefix = "operations/";

std::optional<record_state> stateFromName(std::string_view name)
{
    const auto found = std::ranges::find(stateNames, name);
    if (found == stateNames.end())
        return std::nullopt;
    return static_cast<record_state>(found - stateNames.begin());
}

operation_record readRecord(const boost::json::object& object, record_state state)
{
    operation_record record;
    record.state = state;
    record.bodyDigest = object.at("body_digest").as_string();
    record.nonce = object.at("nonce").as_string();
    record.holder = utils::node_id(std::string(object.at("holder").as_string()));
    record.holderBoot = boost::json::value_to<std::uint64_t>(object.at("holder_boot"));
    record.wallSeconds = boost::json::value_to<std::int64_t>(object.at("wall_seconds"));
    record.horizonSeconds = boost::json::value_to<std::int64_t>(object.at("horizon_seconds"));
    record.isAnswerTooLarge = object.at("too_large").as_bool();
    if (const auto* answer = object.if_contains("answer"))
        record.answer = answerFromJson(*answer);
    return record;
}

} // namespace

std::string operationKey(const utils::team_id& team, std::string_view idempotencyKey)
{
    const std::string teamPart = utils::sha256Hex(team.str());
    return std::string(keyPrefix) + utils::sha256Hex(teamPart + std::string(idempotencyKey));
}

std::string encode(const operation_record& record)
{
    boost::json::object object {
        { "state", stateNames.at(static_cast<std::size_t>(record.state)) },
        { "body_digest", record.bodyDigest },
        { "nonce", record.nonce },
        { "holder", record.holder.str() },
        { "holder_boot", record.holderBoot },
        { "wall_seconds", record.wallSeconds },
        { "horizon_seconds", record.horizonSeconds },
        { "too_large", record.isAnswerTooLarge },
    };
    if (record.answer)
        object["answer"] = toJson(*record.answer);
    return boost::json::serialize(object);
}

std::optional<operation_record> decodeOperationRecord(std::string_view text)
{
    try {
        const boost::json::value value = boost::json::parse(text);
        const boost::json::object& object = value.as_object();
        const auto state = stateFromName(object.at("state").as_string());
        if (!state)
            return std::nullopt;
        return readRecord(object, *state);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace operations

#include "kvjson.h"

#include "utils/crypto.h"

#include <boost/json.hpp>

#include <charconv>

namespace keyvalue {

namespace {

namespace json = boost::json;

json::object encodeKey(const std::string& key)
{
    return { { "key", utils::toBase64(key) } };
}

json::object encodeRangeObject(const kv_get& range)
{
    json::object body = encodeKey(range.key);
    if (!range.rangeEnd.empty())
        body["range_end"] = utils::toBase64(range.rangeEnd);
    if (range.limit > 0)
        body["limit"] = std::to_string(range.limit);
    return body;
}

struct operation_encoder {
    json::object operator()(const kv_put& put) const
    {
        json::object body = encodeKey(put.key);
        body["value"] = utils::toBase64(put.value);
        if (put.lease != 0)
            body["lease"] = std::to_string(put.lease);
        return { { "request_put", std::move(body) } };
    }

    json::object operator()(const kv_delete& removed) const
    {
        return { { "request_delete_range", encodeKey(removed.key) } };
    }

    json::object operator()(const kv_get& range) const
    {
        return { { "request_range", encodeRangeObject(range) } };
    }
};

json::array encodeOperations(const std::vector<kv_operation>& operations)
{
    json::array encoded;
    for (const kv_operation& operation : operations)
        encoded.push_back(std::visit(operation_encoder {}, operation));
    return encoded;
}

std::optional<json::object> parseObject(std::string_view body)
{
    boost::system::error_code error;
    json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.as_object());
}

/// A 64-bit number, which the gateway writes as a string; 0 when absent.
std::int64_t number(const json::object& from, std::string_view key)
{
    const json::value* value = from.if_contains(key);
    if (value == nullptr)
        return 0;
    if (value->is_int64())
        return value->as_int64();
    if (!value->is_string())
        return 0;
    const json::string& text = value->as_string();
    std::int64_t parsed = 0;
    std::from_chars(text.data(), text.data() + text.size(), parsed);
    return parsed;
}

std::string bytes(const json::object& from, std::string_view key)
{
    const json::value* value = from.if_contains(key);
    if (value == nullptr || !value->is_string())
        return {};
    return utils::fromBase64(value->as_string());
}

bool flag(const json::object& from, std::string_view key)
{
    const json::value* value = from.if_contains(key);
    return value != nullptr && value->is_bool() && value->as_bool();
}

const json::object* objectIn(const json::object& from, std::string_view key)
{
    const json::value* value = from.if_contains(key);
    return value == nullptr ? nullptr : value->if_object();
}

const json::array* arrayIn(const json::object& from, std::string_view key)
{
    const json::value* value = from.if_contains(key);
    return value == nullptr ? nullptr : value->if_array();
}

kv_entry decodeEntry(const json::object& from)
{
    kv_entry entry;
    entry.key = bytes(from, "key");
    entry.value = bytes(from, "value");
    entry.createRevision = number(from, "create_revision");
    entry.modRevision = number(from, "mod_revision");
    entry.lease = number(from, "lease");
    return entry;
}

void appendEntries(const json::object& range, std::vector<kv_entry>& into)
{
    const json::array* found = arrayIn(range, "kvs");
    if (found == nullptr)
        return;
    for (const json::value& item : *found) {
        if (const json::object* entry = item.if_object())
            into.push_back(decodeEntry(*entry));
    }
}

/// The revision in the header. A body without a header does not come from the gateway; accepting it would
/// interpret the error page of a proxy as a transaction whose compares failed.
std::optional<std::int64_t> headerRevision(const json::object& body)
{
    const json::object* header = objectIn(body, "header");
    if (header == nullptr)
        return std::nullopt;
    return number(*header, "revision");
}

} // namespace

std::string encodeTransaction(const kv_transaction& transaction)
{
    json::array compares;
    for (const kv_compare& compare : transaction.compares) {
        json::object encoded = encodeKey(compare.key);
        encoded["target"] = "MOD";
        encoded["result"] = "EQUAL";
        encoded["mod_revision"] = std::to_string(compare.modRevision);
        compares.push_back(std::move(encoded));
    }
    return json::serialize(json::object {
        { "compare", std::move(compares) },
        { "success", encodeOperations(transaction.onSuccess) },
        { "failure", encodeOperations(transaction.onFailure) },
    });
}

std::string encodeRange(const kv_get& range)
{
    return json::serialize(encodeRangeObject(range));
}

std::string encodeLeaseGrant(std::int64_t ttlSeconds)
{
    return json::serialize(json::object { { "TTL", std::to_string(ttlSeconds) }, { "ID", "0" } });
}

std::string encodeLeaseId(std::int64_t id)
{
    return json::serialize(json::object { { "ID", std::to_string(id) } });
}

std::string encodeWatch(const std::string& key, const std::string& rangeEnd, std::int64_t fromRevision)
{
    json::object request = encodeKey(key);
    if (!rangeEnd.empty())
        request["range_end"] = utils::toBase64(rangeEnd);
    if (fromRevision > 0)
        request["start_revision"] = std::to_string(fromRevision);
    return json::serialize(json::object { { "create_request", std::move(request) } });
}

std::optional<kv_reply> decodeTransaction(std::string_view body)
{
    const std::optional<json::object> parsed = parseObject(body);
    const std::optional<std::int64_t> revision = parsed ? headerRevision(*parsed) : std::nullopt;
    if (!revision)
        return std::nullopt;
    kv_reply reply;
    reply.status = kv_status::Done;
    reply.revision = *revision;
    reply.succeeded = flag(*parsed, "succeeded");
    const json::array* responses = arrayIn(*parsed, "responses");
    if (responses == nullptr)
        return reply;
    for (const json::value& response : *responses) {
        const json::object* fields = response.if_object();
        const json::object* range = fields == nullptr ? nullptr : objectIn(*fields, "response_range");
        if (range != nullptr)
            appendEntries(*range, reply.entries);
    }
    return reply;
}

std::optional<kv_reply> decodeRange(std::string_view body)
{
    const std::optional<json::object> parsed = parseObject(body);
    const std::optional<std::int64_t> revision = parsed ? headerRevision(*parsed) : std::nullopt;
    if (!revision)
        return std::nullopt;
    kv_reply reply;
    reply.status = kv_status::Done;
    reply.revision = *revision;
    reply.succeeded = true;
    appendEntries(*parsed, reply.entries);
    return reply;
}

std::optional<kv_lease_reply> decodeLeaseGrant(std::string_view body)
{
    const std::optional<json::object> parsed = parseObject(body);
    if (!parsed || !headerRevision(*parsed))
        return std::nullopt;
    return kv_lease_reply { kv_status::Done, number(*parsed, "ID"), number(*parsed, "TTL") };
}

std::optional<kv_lease_reply> decodeLeaseKeep(std::string_view body)
{
    const std::string_view first = body.substr(0, body.find('\n'));
    const std::optional<json::object> parsed = parseObject(first);
    const json::object* result = parsed ? objectIn(*parsed, "result") : nullptr;
    if (result == nullptr)
        return std::nullopt;
    return kv_lease_reply { kv_status::Done, number(*result, "ID"), number(*result, "TTL") };
}

std::optional<kv_watch_batch> decodeWatch(std::string_view message)
{
    const std::optional<json::object> parsed = parseObject(message);
    const json::object* result = parsed ? objectIn(*parsed, "result") : nullptr;
    if (result == nullptr)
        return std::nullopt;
    kv_watch_batch batch;
    batch.revision = headerRevision(*result).value_or(0);
    batch.compactedTo = number(*result, "compact_revision");
    batch.isCancelled = flag(*result, "canceled");
    const json::array* events = arrayIn(*result, "events");
    if (events == nullptr)
        return batch;
    for (const json::value& item : *events) {
        const json::object* event = item.if_object();
        const json::object* entry = event == nullptr ? nullptr : objectIn(*event, "kv");
        if (entry == nullptr)
            return std::nullopt;
        const json::value* type = event->if_contains("type");
        batch.events.push_back({ type != nullptr && *type == "DELETE", decodeEntry(*entry) });
    }
    return batch;
}

std::string decodeError(std::string_view body)
{
    constexpr std::size_t maxLength = 200;
    const std::optional<json::object> parsed = parseObject(body);
    const json::value* message = parsed ? parsed->if_contains("message") : nullptr;
    if (message != nullptr && message->is_string())
        return std::string(message->as_string());
    return std::string(body.substr(0, maxLength));
}

std::string prefixEnd(std::string prefix)
{
    constexpr char highest = '\xff';
    while (!prefix.empty() && prefix.back() == highest)
        prefix.pop_back();
    if (prefix.empty())
        return std::string(1, '\0'); // the service reads this end as: no upper bound
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

} // namespace keyvalue

#include "chatrequest.h"

#include "utils/hashing.h"

#include <boost/json.hpp>

namespace serving {

namespace {

namespace json = boost::json;
using utils::error_kind;
using utils::fail;

std::uint64_t hashOfOpening(const json::array& messages, std::uint64_t seed)
{
    std::uint64_t hash = seed;
    for (const json::value& message : messages) {
        hash = utils::hash64(json::serialize(message), hash);
        const json::value* role = message.is_object() ? message.as_object().if_contains("role") : nullptr;
        if (role != nullptr && role->is_string() && role->as_string() == "user")
            break;
    }
    return hash;
}

} // namespace

utils::result<chat_request> parseChatRequest(std::string_view body, std::string_view team)
{
    json::error_code error;
    const json::value root = json::parse(body, error);
    if (error)
        return fail(error_kind::MalformedRequest, "the body is not JSON: " + error.message());
    if (!root.is_object())
        return fail(error_kind::MalformedRequest, "the body is not a JSON object");
    const json::object& object = root.as_object();
    const json::value* model = object.if_contains("model");
    if (model == nullptr || !model->is_string())
        return fail(error_kind::MalformedRequest, "`model`: expected a string");
    const json::value* messages = object.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->as_array().empty())
        return fail(error_kind::MalformedRequest, "`messages`: expected an array with at least one message");
    const json::value* stream = object.if_contains("stream");
    if (stream != nullptr && !stream->is_bool() && !stream->is_null())
        return fail(error_kind::MalformedRequest, "`stream`: expected true or false");

    chat_request request;
    request.model = std::string(model->as_string());
    request.isStreamed = stream != nullptr && stream->is_bool() && stream->as_bool();
    const std::uint64_t seed = utils::hash64(team);
    const json::value* key = object.if_contains("prompt_cache_key");
    if (key != nullptr && key->is_string())
        request.chat = utils::hash64(std::string_view(key->as_string()), seed);
    else
        request.chat = hashOfOpening(messages->as_array(), seed);
    return request;
}

} // namespace serving

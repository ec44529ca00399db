#include "answerjson.h"

#include "utils/crypto.h"

#include <stdexcept>

namespace operations {

boost::json::object toJson(const stored_answer& answer)
{
    boost::json::object headers;
    for (const auto& [name, value] : answer.headers)
        headers[name] = value;
    return { { "status", answer.status }, { "headers", std::move(headers) },
        { "body", utils::toBase64(answer.body) } };
}

stored_answer answerFromJson(const boost::json::value& value)
{
    const boost::json::object& object = value.as_object();
    stored_answer answer;
    answer.status = boost::json::value_to<int>(object.at("status"));
    for (const auto& header : object.at("headers").as_object())
        answer.headers[header.key()] = header.value().as_string();
    const boost::json::string& body = object.at("body").as_string();
    answer.body = utils::fromBase64(body);
    if (answer.body.empty() != body.empty())
        throw std::invalid_argument("answer body is not valid base64");
    return answer;
}

} // namespace operations

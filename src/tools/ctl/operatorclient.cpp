#include "operatorclient.h"

#include "keyvalue/kvclient.h"

#include "utils/responsehead.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace ctl {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {

constexpr std::uint64_t longestAnswer = 256ULL * 1024 * 1024;
/// A VM that is gone does not refuse connections; the next daemon is asked soon all the same.
constexpr utils::duration connectTimeout = std::chrono::seconds(3);
constexpr unsigned httpUnavailable = 503;

/// One request to one daemon, with a time limit for each step.
class exchange {
public:
    exchange(const asio::ip::tcp::endpoint& endpoint, utils::duration timeout)
        : m_stream(m_context)
        , m_endpoint(endpoint)
        , m_timeout(timeout)
    {
        m_parser.body_limit(longestAnswer);
    }

    bool connect()
    {
        return step(std::min(m_timeout, connectTimeout),
            [&](auto handler) { m_stream.async_connect(m_endpoint, handler); });
    }

    bool send(const http::request<http::string_body>& request)
    {
        return step(m_timeout, [&](auto handler) { http::async_write(m_stream, request, handler); });
    }

    bool receive()
    {
        if (!step(m_timeout, [&](auto handler) { http::async_read(m_stream, m_buffer, m_parser, handler); }))
            return false;
        m_code = utils::checkResponseHead(m_parser.get());
        return !m_code;
    }

    std::string error() const { return m_code.message(); }
    const http::response<http::string_body>& answer() const { return m_parser.get(); }

private:
    template <class Start> bool step(utils::duration timeout, Start start)
    {
        m_stream.expires_after(timeout);
        start([&](boost::system::error_code code, auto&&...) { m_code = code; });
        m_context.restart();
        m_context.run();
        return !m_code;
    }

    asio::io_context m_context;
    beast::tcp_stream m_stream;
    asio::ip::tcp::endpoint m_endpoint;
    utils::duration m_timeout;
    beast::flat_buffer m_buffer;
    http::response_parser<http::string_body> m_parser;
    boost::system::error_code m_code;
};

std::optional<json::object> parseBody(const std::string& text)
{
    boost::system::error_code error;
    json::value parsed = json::parse(text, error);
    if (error || !parsed.is_object())
        return std::nullopt;
    return std::move(parsed.as_object());
}

bool isUnknownOutcome(const json::object& body)
{
    const json::value* outcome = body.if_contains("outcome");
    return outcome != nullptr && *outcome == "unknown";
}

} // namespace

operator_client::operator_client(std::vector<std::string> endpoints, std::string key, utils::duration timeout)
    : m_endpoints(std::move(endpoints))
    , m_key(std::move(key))
    , m_timeout(timeout)
{
}

client_answer operator_client::ask(
    const std::string& method, const std::string& target, const std::string& body)
{
    client_answer answer;
    for (const asio::ip::tcp::endpoint& endpoint : keyvalue::toEndpoints(m_endpoints)) {
        http::request<http::string_body> request(http::string_to_verb(method), target, 11, body);
        request.set(
            http::field::host, endpoint.address().to_string() + ':' + std::to_string(endpoint.port()));
        request.set(http::field::authorization, "Bearer " + m_key);
        request.prepare_payload();
        exchange with(endpoint, m_timeout);
        const bool isSent = with.connect() && with.send(request);
        const bool isAnswered = isSent && with.receive();
        const auto parsed = isAnswered ? parseBody(with.answer().body()) : std::nullopt;
        if (!parsed) {
            answer.error = isAnswered ? "the answer is not a daemon's" : with.error();
            answer.isAmbiguous = answer.isAmbiguous || isSent;
            continue;
        }
        answer.status = with.answer().result_int();
        answer.body = *parsed;
        answer.isAmbiguous = answer.isAmbiguous || isUnknownOutcome(*parsed);
        // Another daemon may be current, or reach the platform's service, where this one does not.
        if (answer.status != httpUnavailable)
            break;
    }
    // Any other answer tells how the change stands: it was looked for by its id.
    if (answer.status != 0 && answer.status != httpUnavailable)
        answer.isAmbiguous = false;
    return answer;
}

} // namespace ctl

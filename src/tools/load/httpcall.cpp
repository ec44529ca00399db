#include "httpcall.h"

#include "utils/responsehead.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace load {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using response_parser = http::response_parser<http::string_body>;

constexpr std::uint64_t bodyLimit = 64ULL * 1024 * 1024;

bool parseEndpoint(const std::string& node, asio::ip::tcp::endpoint& endpoint)
{
    const std::size_t colon = node.rfind(':');
    if (colon == std::string::npos)
        return false;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(node.substr(0, colon), error);
    const unsigned long port = std::strtoul(node.c_str() + colon + 1, nullptr, 10);
    endpoint = { address, static_cast<unsigned short>(port) };
    return !error && port > 0;
}

http::request<http::string_body> makeRequest(
    const std::string& node, const planned_request& planned, const std::string& apiKey)
{
    constexpr unsigned version11 = 11;
    http::request<http::string_body> request;
    request.version(version11);
    request.method_string(planned.method);
    request.target(planned.target);
    request.set(http::field::host, node);
    request.set(http::field::connection, "close");
    request.set(http::field::content_type, "application/json");
    if (!apiKey.empty())
        request.set(http::field::authorization, "Bearer " + apiKey);
    if (!planned.key.empty())
        request.set("Idempotency-Key", planned.key);
    if (planned.isAsync)
        request.set("Prefer", "respond-async");
    request.body() = planned.body;
    request.prepare_payload();
    return request;
}

asio::awaitable<boost::system::error_code> readAnswer(
    beast::tcp_stream& stream, response_parser& parser, timed_answer& result)
{
    boost::system::error_code error;
    beast::flat_buffer buffer;
    parser.body_limit(bodyLimit);
    co_await http::async_read_header(
        stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        error = utils::checkResponseHead(parser.get());
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(
            stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (result.firstByteAt == std::chrono::steady_clock::time_point {} && !parser.get().body().empty())
            result.firstByteAt = std::chrono::steady_clock::now();
    }
    co_return error;
}

void takeOver(const response_parser& parser, const boost::system::error_code& error, timed_answer& result)
{
    result.endedAt = std::chrono::steady_clock::now();
    if (result.firstByteAt == std::chrono::steady_clock::time_point {})
        result.firstByteAt = result.endedAt;
    const auto& message = parser.get();
    result.answer.status = parser.is_header_done() ? static_cast<int>(message.result_int()) : 0;
    result.answer.contentType = std::string(message[http::field::content_type]);
    result.answer.retryAfter = std::string(message[http::field::retry_after]);
    result.answer.body = message.body();
    result.answer.isComplete = !error && parser.is_done();
    if (error)
        result.answer.error = error.message();
}

} // namespace

asio::awaitable<timed_answer> callNode(
    std::string node, planned_request request, std::string apiKey, std::chrono::milliseconds timeout)
{
    timed_answer result;
    response_parser parser;
    boost::system::error_code error;
    asio::ip::tcp::endpoint endpoint;
    if (!parseEndpoint(node, endpoint)) {
        takeOver(parser, asio::error::invalid_argument, result);
        co_return result;
    }
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        const auto message = makeRequest(node, request, apiKey);
        co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error)
        error = co_await readAnswer(stream, parser, result);
    takeOver(parser, error, result);
    co_return result;
}

} // namespace load

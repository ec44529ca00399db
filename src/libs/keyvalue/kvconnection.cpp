#include "kvconnection.h"

#include "utils/responsehead.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <cerrno>

#include <sys/socket.h>

namespace keyvalue {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Large enough for a range read over all sections of a configuration, which is one answer.
constexpr std::uint64_t maxAnswerBytes = 64ULL * 1024 * 1024;

std::string hostText(const asio::ip::tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

} // namespace

kv_connection::kv_connection(const asio::any_io_executor& executor, asio::ip::tcp::endpoint endpoint)
    : m_stream(executor)
    , m_endpoint(std::move(endpoint))
{
}

asio::awaitable<bool> kv_connection::open(utils::duration timeout, std::string& error)
{
    boost::system::error_code code;
    m_stream.expires_after(timeout);
    co_await m_stream.async_connect(m_endpoint, asio::redirect_error(asio::use_awaitable, code));
    m_isBroken = code.failed();
    if (m_isBroken) {
        error = "connect " + hostText(m_endpoint) + ": " + code.message();
        co_return false;
    }
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), code);
    co_return true;
}

asio::awaitable<kv_http_answer> kv_connection::post(
    const std::string& target, const std::string& body, utils::duration timeout)
{
    http::request<http::string_body> request(http::verb::post, target, 11, body);
    request.set(http::field::host, hostText(m_endpoint));
    request.set(http::field::content_type, "application/json");
    request.prepare_payload();

    boost::system::error_code code;
    m_stream.expires_after(timeout);
    m_isBroken = true;
    co_await http::async_write(m_stream, request, asio::redirect_error(asio::use_awaitable, code));
    // After a failed write part of the request is still unsent. The service executes only complete requests,
    // so this one has no effect.
    if (code)
        co_return kv_http_answer { kv_status::NotSent, 0, {}, "send: " + code.message() };

    http::response_parser<http::string_body> parser;
    parser.body_limit(maxAnswerBytes);
    co_await http::async_read(m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, code));
    if (!code)
        code = utils::checkResponseHead(parser.get());
    // No request of this client asks for an interim response.
    if (!code && utils::isInterim(parser.get()))
        code = http::make_error_code(http::error::bad_status);
    if (code)
        co_return kv_http_answer { kv_status::Unknown, 0, {}, "answer: " + code.message() };
    // Bytes behind the answer belong to no call.
    m_isBroken = !parser.get().keep_alive() || m_buffer.size() > 0;
    http::response<http::string_body> answer = parser.release();
    co_return kv_http_answer { kv_status::Done, answer.result_int(), std::move(answer.body()), {} };
}

bool kv_connection::isUsable()
{
    if (m_isBroken)
        return false;
    // If the service has closed the idle connection, a request sent on it gets no answer, and the outcome of
    // a write would be unknown without need. Detected here, the request uses a new connection.
    char byte = 0;
    const ssize_t got = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace keyvalue

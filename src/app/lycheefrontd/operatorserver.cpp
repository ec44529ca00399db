#include "operatorserver.h"

#include "serving/clock.h"
#include "wire/acceptloop.h"
#include "wire/task.h"

#include "utils/readbuffer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// In bytes. A configuration document of 8,800 sections has several megabytes.
constexpr std::uint64_t bodyLimit = 32U << 20U;
constexpr std::chrono::seconds idleTimeout { 60 };
constexpr std::string_view bearerPrefix = "Bearer ";

operators::operator_request toRequest(const http::request<http::string_body>& message)
{
    operators::operator_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = message.body();
    const std::string_view key = message[http::field::authorization];
    if (key.starts_with(bearerPrefix))
        request.key = std::string(key.substr(bearerPrefix.size()));
    return request;
}

operators::operator_reply plain(unsigned status, std::string body)
{
    return { status, "text/plain", std::move(body) };
}

std::int64_t wallSeconds()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(wall).count();
}

} // namespace

operator_server::operator_server(serving::node_context& context, operators::operator_api& api)
    : m_context(context)
    , m_api(api)
    , m_acceptor(context.executor)
{
}

void operator_server::start(const asio::ip::tcp::endpoint& endpoint)
{
    m_acceptor = wire::listenOn(m_context.executor, endpoint);
    wire::startTask(m_context.executor, "accept_operators",
        wire::acceptLoop(
            m_acceptor, [this](asio::ip::tcp::socket socket) { return session(std::move(socket)); }));
}

void operator_server::stop()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> operator_server::session(asio::ip::tcp::socket socket)
{
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer(utils::readBufferLimit(utils::defaultMaxHeadBytes));
    bool keepAlive = true;
    while (keepAlive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimit);
        stream.expires_after(idleTimeout);
        const auto [readError, readCount] = co_await http::async_read(stream, buffer, parser, asTuple);
        if (readError)
            co_return;
        stream.expires_never();
        operators::operator_reply reply = co_await answer(toRequest(parser.get()));
        http::response<http::string_body> response { static_cast<http::status>(reply.status), 11 };
        response.set(http::field::content_type, reply.contentType);
        response.keep_alive(parser.get().keep_alive());
        response.body() = std::move(reply.body);
        response.prepare_payload();
        const auto [writeError, writeCount] = co_await http::async_write(stream, response, asTuple);
        keepAlive = !writeError && response.keep_alive();
    }
}

asio::awaitable<operators::operator_reply> operator_server::answer(operators::operator_request request)
{
    if (request.target == "/metrics")
        co_return plain(200, m_context.metrics.text());
    if (request.target == "/healthz")
        co_return plain(200, "ok\n");
    if (request.target == "/readyz") {
        const bool isReady = m_context.isReady(serving::now());
        co_return plain(isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
    }
    co_return co_await m_api.handle(std::move(request), wallSeconds());
}

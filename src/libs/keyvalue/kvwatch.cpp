#include "kvwatch.h"

#include "kvjson.h"

#include "utils/responsehead.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace keyvalue {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr utils::duration initialBackoff = std::chrono::milliseconds(50);
/// Limits the backoff to 50 ms * 2^6 = 3.2 s, well within the time in which a change has to be in force once
/// the service is available again.
constexpr unsigned maxBackoffDoublings = 6;
/// A report may contain a few values of a megabyte in base64; the service sends nothing larger.
constexpr std::size_t maxMessageBytes = 16UL * 1024 * 1024;
constexpr std::size_t readBytes = 16UL * 1024;

} // namespace

kv_watch::kv_watch(
    asio::any_io_executor executor, std::vector<asio::ip::tcp::endpoint> endpoints, kv_watch_options options)
    : m_executor(std::move(executor))
    , m_endpoints(std::move(endpoints))
    , m_options(std::move(options))
    , m_backoffTimer(m_executor)
{
}

asio::awaitable<kv_watch_batch> kv_watch::next()
{
    while (!m_isCancelled) {
        if (const std::optional<std::string> line = takeLine()) {
            if (const std::optional<kv_watch_batch> batch = handleMessage(*line))
                co_return *batch;
            continue;
        }
        const bool isStreaming = isConnected() ? co_await readSome() : co_await connect();
        if (!isStreaming && !m_isCancelled)
            co_await backOff();
    }
    kv_watch_batch ended;
    ended.isCancelled = true;
    co_return ended;
}

void kv_watch::cancel()
{
    m_isCancelled = true;
    m_backoffTimer.cancel();
    if (m_stream)
        m_stream->cancel();
}

asio::awaitable<bool> kv_watch::connect()
{
    const asio::ip::tcp::endpoint endpoint = m_endpoints[m_endpoint];
    m_stream = std::make_unique<beast::tcp_stream>(m_executor);
    m_stream->expires_after(m_options.connectTimeout);
    boost::system::error_code code;
    co_await m_stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, code));
    if (code)
        co_return false;

    http::request<http::string_body> request(http::verb::post, "/v3/watch", 11);
    request.set(http::field::host, endpoint.address().to_string());
    request.set(http::field::content_type, "application/json");
    request.body() = encodeWatch(m_options.key, m_options.rangeEnd, m_options.fromRevision);
    request.prepare_payload();
    co_await http::async_write(*m_stream, request, asio::redirect_error(asio::use_awaitable, code));
    if (code)
        co_return false;

    auto parser = std::make_unique<stream_parser>();
    parser->body_limit(boost::none);
    co_await http::async_read_header(
        *m_stream, m_buffer, *parser, asio::redirect_error(asio::use_awaitable, code));
    if (code || parser->get().result() != http::status::ok || utils::checkResponseHead(parser->get()))
        co_return false;
    m_parser = std::move(parser);
    co_return true;
}

asio::awaitable<bool> kv_watch::readSome()
{
    if (m_parser->is_done() || m_received.size() > maxMessageBytes)
        co_return false;
    m_chunk.resize(readBytes);
    m_parser->get().body().data = m_chunk.data();
    m_parser->get().body().size = m_chunk.size();
    m_stream->expires_after(m_options.silence);
    boost::system::error_code code;
    co_await http::async_read_some(
        *m_stream, m_buffer, *m_parser, asio::redirect_error(asio::use_awaitable, code));
    if (code && code != http::error::need_buffer)
        co_return false;
    m_received.append(m_chunk.data(), m_chunk.size() - m_parser->get().body().size);
    co_return true;
}

asio::awaitable<void> kv_watch::backOff()
{
    disconnect();
    m_endpoint = (m_endpoint + 1) % m_endpoints.size();
    m_backoffTimer.expires_after(initialBackoff * (1U << std::min(m_failures, maxBackoffDoublings)));
    ++m_failures;
    boost::system::error_code ignored;
    co_await m_backoffTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void kv_watch::disconnect()
{
    m_parser.reset();
    m_stream.reset();
    m_buffer.clear();
    m_received.clear(); // a partial message; the new stream reports it in full
}

std::optional<std::string> kv_watch::takeLine()
{
    const std::size_t end = m_received.find('\n');
    if (end == std::string::npos)
        return std::nullopt;
    std::string line = m_received.substr(0, end);
    m_received.erase(0, end + 1);
    return line;
}

std::optional<kv_watch_batch> kv_watch::handleMessage(const std::string& line)
{
    std::optional<kv_watch_batch> batch = decodeWatch(line);
    if (!batch)
        return std::nullopt;
    m_failures = 0;
    if (batch->compactedTo > 0) {
        m_options.fromRevision = batch->compactedTo;
        disconnect();
        batch->isCancelled = false;
        return batch;
    }
    if (batch->isCancelled) {
        disconnect();
        return std::nullopt;
    }
    if (batch->events.empty()) {
        // The first report of a stream has the current revision of the store; older changes follow it. Only a
        // watch that started without a revision may resume from there after a reconnect.
        if (m_options.fromRevision == 0)
            m_options.fromRevision = batch->revision + 1;
        return std::nullopt;
    }
    m_options.fromRevision = std::max(m_options.fromRevision, batch->events.back().entry.modRevision + 1);
    return batch;
}

} // namespace keyvalue

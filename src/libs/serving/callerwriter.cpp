#include "callerwriter.h"

#include "clock.h"
#include "headers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>

namespace serving {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

std::string chunkOf(std::string_view bytes)
{
    std::array<char, 16> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string chunk;
    chunk.reserve(bytes.size() + size.size() + 4);
    chunk.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
    return chunk;
}

bool mayHaveBody(int status)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status != noContent && status != notModified;
}

} // namespace

caller_writer::caller_writer(net_stream& stream, bool keepAlive, std::string requestId)
    : m_stream(stream)
    , m_requestId(std::move(requestId))
    , m_keepAlive(keepAlive)
{
}

asio::awaitable<bool> caller_writer::head(const answer_head& value)
{
    bool hasLength = false;
    std::string text = "HTTP/1.1 " + std::to_string(value.status) + ' '
        + std::string(http::obsolete_reason(static_cast<http::status>(value.status))) + "\r\n";
    for (const wire::header_line& line : value.headers) {
        if (isHopByHop(line.name))
            continue;
        hasLength = hasLength || boost::beast::iequals(line.name, "content-length");
        if (boost::beast::iequals(line.name, "content-type"))
            m_isEventStream = line.value.starts_with("text/event-stream");
        text.append(line.name).append(": ").append(line.value).append("\r\n");
    }
    m_isChunked = !hasLength && mayHaveBody(value.status);
    if (m_isChunked)
        text.append("Transfer-Encoding: chunked\r\n");
    if (!m_keepAlive)
        text.append("Connection: close\r\n");
    text.append("X-Request-Id: ").append(m_requestId).append("\r\n\r\n");
    m_hasHead = true;
    m_headAt = now();
    co_return co_await write(std::move(text));
}

asio::awaitable<bool> caller_writer::body(std::string_view bytes)
{
    // Named: GCC 12 destroys the temporary of a conditional expression twice inside co_await.
    std::string text = m_isChunked ? chunkOf(bytes) : std::string(bytes);
    co_return co_await write(std::move(text));
}

asio::awaitable<bool> caller_writer::end()
{
    // co_await stands alone here and elsewhere: GCC 12 loses temporaries of && and ?: around it.
    bool isWritten = true;
    if (m_isChunked)
        isWritten = co_await write("0\r\n\r\n");
    m_isComplete = isWritten;
    co_return isWritten;
}

asio::awaitable<bool> caller_writer::whole(
    int status, std::string_view contentType, std::string body, const std::vector<wire::header_line>& extra)
{
    answer_head answer { status, extra };
    answer.headers.push_back({ "Content-Type", std::string(contentType) });
    answer.headers.push_back({ "Content-Length", std::to_string(body.size()) });
    if (!co_await head(answer))
        co_return false;
    if (!co_await write(std::move(body)))
        co_return false;
    co_return co_await end();
}

asio::awaitable<bool> caller_writer::failure(const utils::failure& f)
{
    if (m_hasHead) {
        if (m_isEventStream && m_isChunked) {
            std::string event = chunkOf("event: error\ndata: {\"error\":" + utils::problemJson(f) + "}\n\n");
            co_await write(std::move(event));
        }
        co_return false;
    }
    std::vector<wire::header_line> extra;
    if (const int seconds = utils::retryAfterSeconds(f); seconds > 0)
        extra.push_back({ "Retry-After", std::to_string(seconds) });
    co_return co_await whole(
        utils::answerFor(f.kind).httpStatus, "application/problem+json", utils::problemJson(f), extra);
}

asio::awaitable<bool> caller_writer::write(std::string bytes)
{
    const auto [error, count] = co_await asio::async_write(m_stream, asio::buffer(bytes), asTuple);
    m_bytesWritten += count;
    co_return !error;
}

} // namespace serving

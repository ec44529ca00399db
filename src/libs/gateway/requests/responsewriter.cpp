#include "responsewriter.h"

#include "headerlines.h"

#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace gateway {

namespace {

namespace asio = boost::asio;

constexpr std::string_view chunkEnd = "0\r\n\r\n";

std::string hexSize(std::size_t size)
{
    std::array<char, 20> digits {};
    const auto [end, status] = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
    return std::string(digits.data(), end);
}

std::string secondsText(utils::duration time)
{
    std::array<char, 32> text {};
    const int length = std::snprintf(text.data(), text.size(), "%.2f", utils::toSeconds(time));
    return std::string(text.data(), static_cast<std::size_t>(length));
}

} // namespace

std::string response_writer::headOf(int status, const std::vector<header_line>& headers) const
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + ' ';
    head += boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    head += "\r\n";
    for (const header_line& line : headers)
        appendHeader(head, line.name, line.value);
    if (!m_keepsAlive)
        appendHeader(head, "Connection", "close");
    return head;
}

asio::awaitable<bool> response_writer::writeWhole(
    const server_response& response, std::string body, bool hasBody)
{
    std::string bytes = headOf(response.status, response.forwardedHeaders);
    if (hasBody)
        appendHeader(bytes, "Content-Length", std::to_string(body.size()));
    bytes += "\r\n";
    bytes += body;
    co_return co_await write(std::move(bytes));
}

asio::awaitable<bool> response_writer::writePart(const server_response& response, std::string_view bytes)
{
    std::string chunk;
    if (!m_hasBegun) {
        m_isStream = true;
        chunk = headOf(response.status, response.forwardedHeaders);
        appendHeader(chunk, "Transfer-Encoding", "chunked");
        chunk += "\r\n";
    }
    if (!bytes.empty()) {
        chunk += hexSize(bytes.size());
        chunk += "\r\n";
        chunk += bytes;
        chunk += "\r\n";
    }
    co_return co_await write(std::move(chunk));
}

asio::awaitable<bool> response_writer::writeEnd()
{
    std::string lastChunk(chunkEnd);
    co_return co_await write(std::move(lastChunk));
}

std::string response_writer::failureBytes(const utils::failure& failure) const
{
    std::vector<header_line> headers { { "Content-Type", "application/problem+json" } };
    if (!m_requestId.empty())
        headers.push_back({ m_idName, m_requestId });
    if (failure.retryAfter)
        headers.push_back({ "Retry-After", secondsText(*failure.retryAfter) });
    const std::string body = utils::problemJson(failure);
    headers.push_back({ "Content-Length", std::to_string(body.size()) });
    return headOf(utils::answerFor(failure.kind).httpStatus, headers) + "\r\n" + body;
}

asio::awaitable<bool> response_writer::writeFailure(const utils::failure& failure)
{
    std::string bytes = failureBytes(failure);
    co_return co_await write(std::move(bytes));
}

asio::awaitable<bool> response_writer::write(std::string bytes)
{
    m_hasBegun = true;
    const boost::system::error_code error = co_await m_connection.write(std::move(bytes));
    if (error)
        m_keepsAlive = false;
    co_return !error;
}

} // namespace gateway

#include "backendexchange.h"

#include "servingconstants.h"

#include "utils/responsehead.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <limits>

namespace serving {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned maxInterimResponses = 16;

} // namespace

/// Closes the connection after a silence. Holds its own share, so that a late timer finds it alive.
struct backend_exchange::watchdog : std::enable_shared_from_this<watchdog> {
    watchdog(backend_connection* watched, std::chrono::milliseconds silence)
        : connection(watched)
        , limit(silence)
        , timer(watched->stream.get_executor())
    {
    }

    void touch() { lastSign = std::chrono::steady_clock::now(); }

    void arm()
    {
        timer.expires_at(lastSign + limit);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (error || self->connection == nullptr)
                return;
            // The timer is not moved at each byte; it looks at the last one when it fires.
            if (std::chrono::steady_clock::now() < self->lastSign + self->limit) {
                self->arm();
                return;
            }
            self->hasFired = true;
            self->connection->stream.close();
        });
    }

    backend_connection* connection;
    std::chrono::milliseconds limit;
    asio::steady_timer timer;
    std::chrono::steady_clock::time_point lastSign = std::chrono::steady_clock::now();
    bool hasFired = false;
};

backend_exchange::backend_exchange(
    std::unique_ptr<backend_connection> connection, std::chrono::milliseconds silenceLimit)
    : m_connection(std::move(connection))
    , m_silenceLimit(silenceLimit)
    , m_watchdog(std::make_shared<watchdog>(m_connection.get(), silenceLimit))
{
    startResponse();
    m_watchdog->arm();
}

void backend_exchange::startResponse()
{
    m_parser.emplace();
    m_parser->header_limit(backend_connection::maxHeadBytes);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_isHeadMethod);
}

backend_exchange::~backend_exchange()
{
    m_watchdog->connection = nullptr;
    m_watchdog->timer.cancel();
}

asio::awaitable<std::optional<utils::failure>> backend_exchange::send(const backend_request& request)
{
    http::request<http::string_body> message { http::string_to_verb(request.method), request.target, 11 };
    for (const wire::header_line& line : request.headers)
        message.set(line.name, line.value);
    message.set(http::field::host, request.host);
    message.body() = request.body;
    message.prepare_payload();
    m_isHeadMethod = message.method() == http::verb::head;
    m_parser->skip(m_isHeadMethod);
    m_watchdog->touch();
    const auto [error, count] = co_await http::async_write(m_connection->stream, message, asTuple);
    if (!error)
        co_return std::nullopt;
    m_hasEndedUnanswered = true;
    fail(error);
    co_return m_failure;
}

asio::awaitable<std::optional<answer_head>> backend_exchange::readHead()
{
    for (unsigned interimResponses = 0;; ++interimResponses) {
        auto [error, count] = co_await http::async_read_header(
            m_connection->stream, m_connection->buffer, *m_parser, asTuple);
        m_watchdog->touch();
        if (!error)
            error = utils::checkResponseHead(m_parser->get());
        if (!error && interimResponses > maxInterimResponses)
            error = http::make_error_code(http::error::header_limit);
        if (error) {
            m_hasEndedUnanswered
                = interimResponses == 0 && (error == http::error::end_of_stream || !m_parser->got_some());
            fail(error);
            co_return std::nullopt;
        }
        if (!utils::isInterim(m_parser->get()))
            break;
        startResponse();
    }
    answer_head head;
    head.status = static_cast<int>(m_parser->get().result_int());
    for (const auto& field : m_parser->get())
        head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    co_return head;
}

asio::awaitable<std::optional<std::string_view>> backend_exchange::readSome()
{
    while (!m_parser->is_done()) {
        auto& body = m_parser->get().body();
        body.data = m_chunk.data();
        body.size = m_chunk.size();
        const auto [error, count]
            = co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asTuple);
        m_watchdog->touch();
        if (error && error != http::error::need_buffer) {
            fail(error);
            co_return std::nullopt;
        }
        const std::size_t size = m_chunk.size() - body.size;
        if (size > 0)
            co_return std::string_view(m_chunk.data(), size);
    }
    m_isDone = true;
    co_return std::string_view();
}

std::unique_ptr<backend_connection> backend_exchange::takeReusable()
{
    m_watchdog->connection = nullptr;
    if (!m_isDone || !m_parser->get().keep_alive())
        return nullptr;
    return std::move(m_connection);
}

void backend_exchange::fail(const boost::system::error_code& error)
{
    const bool isTimeout = m_watchdog->hasFired;
    const bool hasHead = m_parser->is_header_done();
    // The watchdog closes the socket, which aborts the call too; any other abort is a caller that has gone,
    // and must not count against the server.
    if (error == asio::error::operation_aborted && !isTimeout) {
        m_failure = { utils::error_kind::CallerGone, {}, {}, {} };
        return;
    }
    utils::error_kind kind = utils::error_kind::ServerFailed;
    if (isTimeout)
        kind = utils::error_kind::ServerTimeout;
    else if (hasHead)
        kind = utils::error_kind::AnswerCut;
    m_failure = { kind, error.message(), utils::run_state::MayHaveRun, {} };
}

} // namespace serving

#include "callersession.h"

#include "clock.h"
#include "draftendpoint.h"
#include "router.h"
#include "teamlimits.h"

#include "utils/eventlog.h"
#include "utils/readbuffer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/json.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace asio::experimental::awaitable_operators;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
using utils::error_kind;
using utils::failure;

constexpr unsigned httpOneOne = 11;

failure failureOf(const boost::system::error_code& error)
{
    if (error == http::error::body_limit)
        return { error_kind::BodyTooLarge, {}, {}, {} };
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return { error_kind::HeaderTooLarge, {}, {}, {} };
    return { error_kind::MalformedRequest, error.message(), {}, {} };
}

bool isGone(const boost::system::error_code& error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
        || error.category() != http::make_error_code(http::error::end_of_stream).category();
}

std::string modelsJson(const config::document& document, const utils::team_id& team)
{
    boost::json::array data;
    for (const auto& [id, pool] : document.pools) {
        if (!document.isApproved(team, id))
            continue;
        for (const std::string& model : pool.models)
            data.push_back(
                boost::json::object { { "id", model }, { "object", "model" }, { "owned_by", pool.owner } });
    }
    return boost::json::serialize(boost::json::object { { "object", "list" }, { "data", data } });
}

/// Counts a request in progress, so that a leaving node waits for it.
class progress_count {
public:
    explicit progress_count(std::size_t& counter)
        : m_counter(counter)
    {
        ++m_counter;
    }
    ~progress_count() { --m_counter; }
    progress_count(const progress_count&) = delete;
    progress_count& operator=(const progress_count&) = delete;

private:
    std::size_t& m_counter;
};

} // namespace

caller_session::caller_session(node_context& context, caller_services services, net_stream stream)
    : m_context(context)
    , m_services(services)
    , m_stream(std::move(stream))
    , m_buffer(utils::readBufferLimit(context.settings.callers.limits.headerBytes))
{
}

void caller_session::leave()
{
    m_isLeaving = true;
    if (m_isIdle)
        m_stream.close();
}

asio::awaitable<void> caller_session::run()
{
    const auto self = shared_from_this();
    if (!co_await m_stream.handshake(asio::ssl::stream_base::server))
        co_return;
    while (!m_isLeaving) {
        m_isIdle = true;
        read_outcome read = co_await readWithin();
        m_isIdle = false;
        if (!read.request && !read.failure)
            break;
        const bool keepsAlive = read.request && read.request->keep_alive() && !m_isLeaving;
        caller_writer writer(m_stream, keepsAlive, newRequestId());
        if (read.failure) {
            m_context.metrics.countRefused(read.failure->kind);
            co_await writer.failure(*read.failure);
            break;
        }
        // The caller that closes its connection gives up its request: the work is cancelled at once.
        co_await (handle(std::move(*read.request), writer) || m_stream.untilClosed());
        if (!writer.canContinue())
            break;
    }
    m_stream.close();
}

asio::awaitable<caller_session::read_outcome> caller_session::readWithin()
{
    const config::caller_limits& limits = m_context.settings.callers.limits;
    asio::steady_timer timer(m_stream.get_executor(), limits.idle);
    if (m_buffer.size() == 0) {
        const auto first = co_await (m_stream.untilReadable() || timer.async_wait(asTuple));
        if (first.index() != 0)
            co_return read_outcome {};
    }
    m_isIdle = false;
    timer.expires_after(limits.headerTimeout + limits.bodyTimeout);
    auto outcome = co_await (readRequest() || timer.async_wait(asTuple));
    if (outcome.index() == 0)
        co_return std::get<0>(std::move(outcome));
    read_outcome late;
    late.failure = utils::makeFailure(error_kind::RequestTimeout);
    co_return late;
}

asio::awaitable<caller_session::read_outcome> caller_session::readRequest()
{
    const config::caller_limits& limits = m_context.settings.callers.limits;
    read_outcome outcome;
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    auto [error, count] = co_await http::async_read_header(m_stream, m_buffer, parser, asTuple);
    if (!error && parser.get()[http::field::expect] == "100-continue") {
        const std::string goOn = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_stream, asio::buffer(goOn), asTuple);
    }
    if (!error && !parser.is_done()) {
        const auto [bodyError, bodyCount] = co_await http::async_read(m_stream, m_buffer, parser, asTuple);
        error = bodyError;
    }
    if (error) {
        if (!isGone(error))
            outcome.failure = failureOf(error);
        co_return outcome;
    }
    if (parser.get().version() != httpOneOne) {
        // Without chunks a cut answer would look complete.
        outcome.failure = utils::makeFailure(error_kind::MalformedRequest, "HTTP/1.1 is expected");
        co_return outcome;
    }
    outcome.request = parser.release();
    co_return outcome;
}

asio::awaitable<void> caller_session::handle(request_type request, caller_writer& writer)
{
    const progress_count count(m_context.requestsInProgress);
    const std::string target = request.target();
    bool isAnswered = false;
    if (request.method() == http::verb::get)
        isAnswered = co_await answerHealth(target, writer);
    if (isAnswered)
        co_return;
    co_await answer(std::move(request), writer);
}

asio::awaitable<bool> caller_session::answerHealth(std::string_view target, caller_writer& writer)
{
    if (target == "/healthz") {
        co_await writer.whole(200, "text/plain", "ok\n");
        co_return true;
    }
    if (target != "/readyz")
        co_return false;
    const bool isReady = m_context.isReady(now());
    const int status = isReady ? 200 : 503;
    std::string body = isReady ? "ready\n" : "not ready\n";
    co_await writer.whole(status, "text/plain", std::move(body));
    co_return true;
}

asio::awaitable<void> caller_session::answer(request_type request, caller_writer& writer)
{
    const auto document = m_context.document;
    if (!document) {
        const failure early
            = utils::makeFailure(error_kind::NodeNotCurrent, "no configuration is in force here yet");
        co_await writer.failure(early);
        co_return;
    }
    std::optional<failure> refused;
    const config::calling_team* team = utils::valueOr([&] { return teamOf(*document, request); },
        [&](const failure& f) -> const config::calling_team* {
            refused = f;
            return nullptr;
        });
    if (team != nullptr && request.target() == "/v1/models") {
        co_await answerModels(team->id, writer);
        co_return;
    }
    if (team != nullptr && draft_endpoint::concerns(request)) {
        draft_endpoint endpoint(m_context, m_services.drafts);
        co_await endpoint.answer(*team, std::move(request), writer);
        co_return;
    }
    wire::forward_request forward;
    if (team != nullptr) {
        forward = utils::valueOr([&] { return buildForwardRequest(*document, *team, request); },
            [&](const failure& f) {
                refused = f;
                return wire::forward_request();
            });
    }
    if (refused) {
        m_context.metrics.countRefused(refused->kind);
        utils::logEvent(utils::event::RequestRefused,
            { { "kind", std::string(utils::answerFor(refused->kind).name) }, { "detail", refused->detail } });
        co_await writer.failure(*refused);
        co_return;
    }
    forward.traceparent = std::string(request["traceparent"]);
    co_await answerRouted(std::move(forward), writer);
}

asio::awaitable<void> caller_session::answerModels(const utils::team_id& team, caller_writer& writer)
{
    co_await writer.whole(200, "application/json", modelsJson(*m_context.document, team));
}

asio::awaitable<void> caller_session::answerRouted(wire::forward_request request, caller_writer& writer)
{
    const utils::time_point arrival = now();
    trace_span span(m_context.traces, "entry", parseTraceparent(request.traceparent));
    span.setAttribute("team", request.team.str());
    span.setAttribute("pool", request.pool.str());
    request.traceparent = formatTraceparent(span.context());
    request.requestId = writer.requestId();
    const std::string pool = request.pool.str();
    const std::string team = request.team.str();
    attempt_result result;
    team_limits::ticket held;
    result.failure = co_await m_services.limits.admit(request.team, request.chat, held);
    if (!result.failure)
        result = co_await m_services.routes.route(std::move(request), writer);
    const double took = utils::toSeconds(now() - arrival);
    if (result.isWhole()) {
        m_context.metrics.countAnswered(pool, utils::toSeconds(writer.headAt() - arrival), took);
        m_context.metrics.countRelayed(writer.bytesWritten());
        utils::logEvent(utils::event::RequestDone,
            { { "request", writer.requestId() }, { "team", team }, { "pool", pool },
                { "status", std::to_string(result.status) }, { "seconds", std::to_string(took) } });
        co_return;
    }
    const std::string kind(utils::answerFor(result.failure->kind).name);
    span.setError(kind);
    m_context.metrics.countRefused(result.failure->kind);
    utils::logEvent(utils::event::RequestRefused,
        { { "request", writer.requestId() }, { "team", team }, { "pool", pool }, { "kind", kind },
            { "detail", result.failure->detail } });
    co_await writer.failure(*result.failure);
}

} // namespace serving

#include "operationhost.h"

#include "clock.h"
#include "collectedanswer.h"
#include "headers.h"
#include "relay.h"
#include "servingconstants.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace serving {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
using utils::error_kind;
using utils::failure;
using utils::run_state;

/// Largest answer that a caller of a non-idempotent route gets; it is held in memory until whole.
constexpr std::size_t answerLimit = 16U << 20U;

operations::stored_answer toStored(const collected_answer& collected)
{
    operations::stored_answer answer;
    answer.status = collected.headValue().status;
    const std::string_view type = findHeader(collected.headValue().headers, "content-type");
    if (!type.empty())
        answer.headers["Content-Type"] = std::string(type);
    answer.body = collected.bodyValue();
    return answer;
}

} // namespace

operation_host::operation_host(parts with, operations::operation_request operation,
    wire::forward_request request, home_service::ticket held, utils::time_point deadline)
    : m_parts(with)
    , m_request(std::move(request))
    , m_held(std::move(held))
    , m_deadline(deadline)
    , m_machine(with.chart, {}, std::move(operation))
    , m_timer(with.context.executor)
    , m_done(with.context.executor, asio::steady_timer::time_point::max())
{
}

void operation_host::start()
{
    apply(m_machine.start(now()));
}

void operation_host::callerGone()
{
    apply(m_machine.callerGone(now()));
}

asio::awaitable<void> operation_host::wait()
{
    const auto self = shared_from_this();
    while (!m_answer && !m_refusal)
        co_await m_done.async_wait(asTuple);
}

void operation_host::apply(operations::operation_actions actions)
{
    for (operations::operation_action& action : actions)
        std::visit([this](auto& a) { run(std::move(a)); }, action);
}

void operation_host::run(const operations::kv_transact& action)
{
    asio::co_spawn(m_parts.context.executor, transact(action), asio::detached);
}

void operation_host::run(const operations::reach_server&)
{
    asio::co_spawn(m_parts.context.executor, reach(), asio::detached);
}

void operation_host::run(const operations::send_request&)
{
    asio::co_spawn(m_parts.context.executor, send(), asio::detached);
}

void operation_host::run(operations::answer_caller action)
{
    m_answer = std::move(action);
    m_done.cancel();
}

void operation_host::run(operations::refuse_caller action)
{
    m_refusal = std::move(action.failure);
    m_done.cancel();
}

void operation_host::run(const operations::set_timer& action)
{
    m_timer.expires_at(toSteady(action.at));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->apply(self->m_machine.onTimer(now()));
    });
}

asio::awaitable<void> operation_host::transact(operations::kv_transact action)
{
    const auto self = shared_from_this();
    const keyvalue::kv_reply reply
        = co_await m_parts.kv.transact(std::move(action.transaction), action.canWait);
    m_parts.context.metrics.countPlatformCall("operation", reply.status == keyvalue::kv_status::Done);
    apply(m_machine.onKvReply(action.ticket, reply, now()));
    if (m_machine.isFinished())
        m_timer.cancel();
}

std::string operation_host::serverAddress() const
{
    const auto& document = m_parts.context.document;
    const config::backend_server* server = document->findServer(m_request.pool, m_request.server);
    return server == nullptr ? std::string() : server->address;
}

asio::awaitable<void> operation_host::reach()
{
    const auto self = shared_from_this();
    const std::string address = serverAddress();
    m_connection = co_await m_parts.home.connections().acquire(address, true);
    if (!m_connection) {
        m_held = {};
        const failure why = utils::makeFailure(
            error_kind::ServerFailed, "the backend server cannot be reached", run_state::NotRun);
        apply(m_machine.serverNotReached(why, now()));
        co_return;
    }
    apply(m_machine.readyToSend(m_parts.home.gate(m_request, m_deadline, now()), now()));
    if (m_machine.state() != "running")
        m_held = {};
}

asio::awaitable<void> operation_host::send()
{
    const auto self = shared_from_this();
    const std::string address = serverAddress();
    const utils::time_point start = now();
    trace_span span(m_parts.context.traces, "backend server", parseTraceparent(m_request.traceparent));
    const backend_request message = makeBackendRequest(m_request, address, span.context());
    const auto digest = digestOf(m_request);
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - start);
    backend_exchange exchange(std::move(m_connection), std::max(silence, std::chrono::milliseconds(1)));
    collected_answer collected(answerLimit);
    attempt_result result;
    result.failure = co_await exchange.send(message);
    if (!result.failure)
        result = co_await relayAnswer(exchange, collected);
    if (result.isWhole()) {
        m_held.setWhole();
        m_parts.home.noteWhole(m_request, digest, now() - start, now());
        m_held = {};
        m_parts.home.connections().release(address, exchange.takeReusable());
        apply(m_machine.serverAnswered(toStored(collected), now()));
        co_return;
    }
    m_parts.home.noteBroken(m_request, digest, *result.failure, now());
    m_held = {};
    apply(m_machine.serverCut(*result.failure, now()));
}

} // namespace serving

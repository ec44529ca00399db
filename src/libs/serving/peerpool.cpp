#include "peerpool.h"

#include "wire/connect.h"

#include "callerwriter.h"
#include "collectedanswer.h"
#include "headwatch.h"
#include "servingconstants.h"

#include "utils/eventlog.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
using utils::error_kind;
using utils::failure;
using utils::run_state;
using wire::frame_type;

failure cutOff(bool hasHead)
{
    return { hasHead ? error_kind::AnswerCut : error_kind::ServerFailed, "the home node is gone",
        run_state::MayHaveRun, {} };
}

attempt_result fromMessage(const wire::forward_failure& message)
{
    attempt_result result;
    failure f;
    f.kind = static_cast<error_kind>(message.kind);
    f.run = static_cast<run_state>(message.run);
    f.detail = message.detail;
    if (message.retryAfterUs >= 0)
        f.retryAfter = utils::duration(message.retryAfterUs);
    if (message.kind < 0 || f.kind >= error_kind::Count_)
        f = cutOff(false);
    result.failure = f;
    result.tryInstead = message.tryInstead;
    result.tryInsteadTokens = message.tryInsteadTokens;
    result.load = message.load;
    result.crash = message.crash;
    result.wasAlone = message.wasAlone;
    result.slots = message.slots;
    return result;
}

} // namespace

peer_pool::peer_pool(asio::any_io_executor executor, wire::fleet_keys keys)
    : m_executor(std::move(executor))
    , m_keys(std::move(keys))
{
}

asio::awaitable<peer_pool::connection> peer_pool::acquire(std::string address, bool mustBeNew)
{
    auto& idle = m_idle[address];
    if (mustBeNew)
        idle.clear();
    if (!idle.empty()) {
        connection kept { std::move(idle.back()), true };
        idle.pop_back();
        co_return kept;
    }
    auto socket = co_await wire::connectTo(m_executor, address, connectTimeout);
    if (!socket)
        co_return connection {};
    auto stream = std::make_unique<wire::frame_stream>(std::move(*socket));
    if (!co_await stream->connect(m_keys)) {
        if (stream->hasFailedAuthentication())
            utils::logEvent(utils::event::PeerKeyRejected, { { "peer", address } });
        co_return connection {};
    }
    co_return connection { std::move(stream), false };
}

void peer_pool::release(const std::string& address, std::unique_ptr<wire::frame_stream> stream)
{
    auto& idle = m_idle[address];
    if (idle.size() < idleConnectionsKept)
        idle.push_back(std::move(stream));
}

template <answer_sink Sink>
asio::awaitable<attempt_result> peer_pool::forward(
    std::string address, const wire::forward_request& request, Sink& sink)
{
    attempt_result result;
    const std::string message = wire::encode(request);
    for (const bool mustBeNew : { false, true }) {
        connection peer = co_await acquire(address, mustBeNew);
        if (!peer.stream) {
            result.failure = utils::makeFailure(
                error_kind::NoServer, "the home node cannot be reached", run_state::NotRun);
            co_return result;
        }
        bool hasAnswer = false;
        if (co_await peer.stream->write(frame_type::ForwardRequest, message))
            result = co_await relay(*peer.stream, sink, hasAnswer);
        else
            result.failure = cutOff(false);
        result.isHomeGone = !hasAnswer;
        const bool isComplete = result.isWhole() || (hasAnswer && !result.hasHead);
        if (isComplete)
            release(address, std::move(peer.stream));
        // A kept stream that ends without an answer was closed by its idle peer; what may be repeated is
        // sent again. A non-idempotent request is safe too: its record lets it run once.
        if (hasAnswer || !peer.isReused)
            break;
    }
    co_return result;
}

template <answer_sink Sink>
asio::awaitable<attempt_result> peer_pool::relay(wire::frame_stream& stream, Sink& sink, bool& hasAnswer)
{
    const failure callerGone = utils::makeFailure(error_kind::CallerGone);
    attempt_result result;
    while (true) {
        const auto frame = co_await stream.read();
        if (!frame) {
            result.failure = cutOff(result.hasHead);
            co_return result;
        }
        hasAnswer = true;
        bool goesOn = true;
        if (frame->type == frame_type::ForwardChunk && result.hasHead) {
            goesOn = co_await sink.body(frame->payload);
        } else if (frame->type == frame_type::ForwardHead && !result.hasHead) {
            const auto head = wire::decode<answer_head>(frame->payload);
            result.hasHead = head.has_value();
            result.status = head ? head->status : 0;
            goesOn = head.has_value();
            if (goesOn)
                goesOn = co_await sink.head(*head);
        } else if (frame->type == frame_type::ForwardEnd && result.hasHead) {
            if (!co_await sink.end())
                result.failure = callerGone;
            co_return result;
        } else {
            const auto message = wire::decode<wire::forward_failure>(frame->payload);
            const bool hadHead = result.hasHead;
            const bool isFailure = frame->type == frame_type::ForwardFailure && message;
            if (isFailure)
                result = fromMessage(*message);
            else
                result.failure = cutOff(hadHead);
            result.hasHead = hadHead;
            co_return result;
        }
        if (!goesOn) {
            result.failure = callerGone;
            co_return result;
        }
    }
}

template asio::awaitable<attempt_result> peer_pool::forward(
    std::string, const wire::forward_request&, head_watch<caller_writer>&);
template asio::awaitable<attempt_result> peer_pool::forward(
    std::string, const wire::forward_request&, head_watch<collected_answer>&);

asio::awaitable<std::optional<wire::peer_reply>> peer_pool::call(
    std::string address, wire::peer_call question, std::chrono::milliseconds timeout)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer(m_executor, timeout);
    auto outcome = co_await (ask(std::move(address), std::move(question)) || timer.async_wait(asTuple));
    if (outcome.index() != 0)
        co_return std::nullopt;
    co_return std::get<0>(std::move(outcome));
}

asio::awaitable<std::optional<wire::peer_reply>> peer_pool::ask(std::string address, wire::peer_call question)
{
    for (const bool mustBeNew : { false, true }) {
        connection peer = co_await acquire(address, mustBeNew);
        if (!peer.stream)
            co_return std::nullopt;
        const bool isSent = co_await peer.stream->write(frame_type::Call, wire::encode(question));
        std::optional<wire::frame> answer;
        if (isSent)
            answer = co_await peer.stream->read();
        if (answer && answer->type == frame_type::Reply) {
            auto reply = wire::decode<wire::peer_reply>(answer->payload);
            release(address, std::move(peer.stream));
            co_return reply;
        }
        if (!peer.isReused)
            break;
    }
    co_return std::nullopt;
}

} // namespace serving

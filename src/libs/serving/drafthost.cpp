#include "drafthost.h"

#include "clock.h"
#include "collectedanswer.h"
#include "requestbuilder.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
using utils::error_kind;

/// A draft waits in the queues of its class as long as that class may.
constexpr std::chrono::hours draftPatience { 1 };

/// Whether repeating the request cannot help.
bool isFinal(error_kind kind)
{
    switch (kind) {
    case error_kind::MalformedRequest:
    case error_kind::NotApproved:
    case error_kind::UnknownModel:
    case error_kind::UnknownTeam:
    case error_kind::PoisonRequest:
    case error_kind::BodyTooLarge:
        return true;
    default:
        return false;
    }
}

} // namespace

draft_host::draft_host(draft_service& owner, operations::draft_worker_identity identity)
    : m_owner(owner)
    , m_machine(owner.m_chart, owner.m_settings, std::move(identity))
    , m_timer(owner.m_context.executor)
    , m_decided(owner.m_context.executor, asio::steady_timer::time_point::max())
{
}

void draft_host::submit(operations::draft_request request, bool claimNow)
{
    apply(m_machine.submit(std::move(request), claimNow, now()));
}

void draft_host::adopt(unsigned slot)
{
    apply(m_machine.adopt(slot, now()));
}

void draft_host::claimLost()
{
    apply(m_machine.claimLost(now()));
}

void draft_host::leave(utils::time_point now)
{
    apply(m_machine.leave(now));
}

asio::awaitable<void> draft_host::untilDecided()
{
    const auto self = shared_from_this();
    while (m_id.empty() && !m_refusal)
        co_await m_decided.async_wait(asTuple);
}

void draft_host::apply(operations::draft_actions actions)
{
    const auto self = shared_from_this();
    for (operations::draft_action& action : actions)
        std::visit([this](auto& a) { run(std::move(a)); }, action);
    if (!m_machine.isFinished())
        return;
    m_timer.cancel();
    m_owner.removeHost(this);
}

void draft_host::run(operations::kv_transact action)
{
    asio::co_spawn(m_owner.m_context.executor, transact(std::move(action)), asio::detached);
}

asio::awaitable<void> draft_host::transact(operations::kv_transact action)
{
    const auto self = shared_from_this();
    const keyvalue::kv_reply reply
        = co_await m_owner.m_writes.transact(std::move(action.transaction), action.canWait);
    m_owner.m_context.metrics.countPlatformCall("draft", reply.status == keyvalue::kv_status::Done);
    apply(m_machine.onKvReply(action.ticket, reply, now()));
}

void draft_host::run(operations::accept_draft action)
{
    m_id = std::move(action.id);
    m_decided.cancel();
}

void draft_host::run(operations::refuse_caller action)
{
    m_refusal = std::move(action.failure);
    m_decided.cancel();
}

void draft_host::run(const operations::set_timer& action)
{
    m_timer.expires_at(toSteady(action.at));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->apply(self->m_machine.onTimer(now()));
    });
}

void draft_host::run(operations::run_draft action)
{
    ++m_run;
    asio::co_spawn(m_owner.m_context.executor, execute(std::move(action.record)),
        asio::bind_cancellation_slot(m_stop.slot(), asio::detached));
}

void draft_host::run(const operations::stop_draft&)
{
    ++m_run;
    m_stop.emit(asio::cancellation_type::terminal);
}

std::optional<wire::forward_request> draft_host::makeRequest(
    const operations::draft_record& record, utils::failure& why) const
{
    const auto document = m_owner.m_context.document;
    why = { error_kind::NotApproved, {}, {}, {} };
    const auto team = document->teams.find(record.team);
    if (team == document->teams.end())
        return std::nullopt;
    caller_request request { boost::beast::http::verb::post, "/v1/chat/completions", 11 };
    request.set(boost::beast::http::field::content_type, "application/json");
    request.body() = record.body;
    return utils::valueOr(
        [&]() -> utils::result<std::optional<wire::forward_request>> {
            BOOST_LEAF_AUTO(forward, buildForwardRequest(*document, team->second, request));
            forward.priority = static_cast<std::uint8_t>(decisions::priority_class::Draft);
            forward.remainingUs = static_cast<std::uint64_t>(utils::duration(draftPatience).count());
            forward.requestId = newRequestId();
            return std::optional(std::move(forward));
        },
        [&](const utils::failure& f) {
            why = f;
            return std::optional<wire::forward_request>();
        });
}

asio::awaitable<void> draft_host::execute(operations::draft_record record)
{
    const auto self = shared_from_this();
    const std::uint64_t run = m_run;
    utils::failure why;
    auto request = makeRequest(record, why);
    if (!request) {
        apply(m_machine.rejected(why, now()));
        co_return;
    }
    trace_span span(m_owner.m_context.traces, "draft", parseTraceparent({}));
    request->traceparent = formatTraceparent(span.context());
    collected_answer collected(m_owner.m_settings.maxAnswer);
    const attempt_result result = co_await m_owner.m_router.route(std::move(*request), collected);
    if (run != m_run)
        co_return;
    operations::stored_answer answer;
    answer.status = collected.headValue().status;
    answer.headers["Content-Type"] = "application/json";
    answer.body = collected.bodyValue();
    if (collected.isTooLarge()) {
        const utils::failure tooLarge
            = utils::makeFailure(error_kind::BodyTooLarge, "the answer is larger than a draft may keep");
        apply(m_machine.rejected(tooLarge, now()));
        co_return;
    }
    conclude(result, std::move(answer));
}

void draft_host::conclude(const attempt_result& result, operations::stored_answer answer)
{
    const utils::time_point present = now();
    if (result.isWhole())
        apply(m_machine.answered(std::move(answer), present));
    else if (isFinal(result.failure->kind))
        apply(m_machine.rejected(*result.failure, present));
    else if (runStateOf(*result.failure) == utils::run_state::NotRun)
        apply(m_machine.notRun(present));
    else
        apply(m_machine.crashed(*result.failure, present));
}

} // namespace serving

#include "operation.h"

#include <algorithm>

namespace operations {

namespace {

/// Added to a record's horizon to allow for clock skew between nodes.
constexpr std::int64_t horizonMarginSeconds = 30;

std::int64_t ceilSeconds(utils::duration value)
{
    return std::chrono::ceil<std::chrono::seconds>(value).count();
}

utils::failure notRun(utils::failure f)
{
    f.run = utils::run_state::NotRun;
    return f;
}

} // namespace

operation::operation(
    const utils::state_chart& chart, const operation_settings& settings, operation_request request)
    : chart_machine(chart)
    , m_settings(settings)
    , m_request(std::move(request))
    , m_key(operationKey(m_request.team, m_request.idempotencyKey))
    , m_retryDelay(settings.retryFirst)
{
}

const operation::action_table& operation::table()
{
    static const action_table actions {
        { "armWindow", &operation::armWindow },
        { "writeClaim", &operation::writeClaim },
        { "readBack", &operation::readBack },
        { "reachServer", &operation::reachServer },
        { "sendRequest", &operation::sendRequest },
        { "closeRecord", &operation::closeRecord },
        { "noteTooLate", &operation::noteTooLate },
        { "armClose", &operation::armClose },
        { "storeOutcome", &operation::storeOutcome },
        { "armStore", &operation::armStore },
        { "retryLater", &operation::retryLater },
        { "armFollow", &operation::armFollow },
        { "pollLater", &operation::pollLater },
        { "answerCaller", &operation::answerCaller },
        { "answerStored", &operation::answerStored },
        { "refuseNotRun", &operation::refuseNotRun },
        { "refuseMayHaveRun", &operation::refuseMayHaveRun },
        { "refuseCut", &operation::refuseCut },
        { "refusePlatformDown", &operation::refusePlatformDown },
        { "refuseUnknown", &operation::refuseUnknown },
        { "refuseInProgress", &operation::refuseInProgress },
        { "refuseKeyReused", &operation::refuseKeyReused },
    };
    return actions;
}

operation_actions operation::start(utils::time_point now)
{
    step("start", now);
    return takeActions();
}

operation_actions operation::onKvReply(
    std::uint64_t ticket, const keyvalue::kv_reply& reply, utils::time_point now)
{
    if (ticket != m_lastTicket || m_pending == pending::Nothing)
        return {};
    step(eventOf(reply), now);
    return takeActions();
}

operation_actions operation::onTimer(utils::time_point now)
{
    step(now >= m_limit ? "limit" : "retry", now);
    return takeActions();
}

operation_actions operation::readyToSend(const std::optional<utils::failure>& refusal, utils::time_point now)
{
    if (refusal) {
        m_refusal = *refusal;
        step("gate_refused", now);
        return takeActions();
    }
    // A process that was paused before this call would send after its caller gave up; checking the clock here
    // prevents that.
    step(now >= m_limit ? "limit" : "ready", now);
    return takeActions();
}

operation_actions operation::serverNotReached(const utils::failure& why, utils::time_point now)
{
    m_refusal = why;
    step("not_reached", now);
    return takeActions();
}

operation_actions operation::serverAnswered(stored_answer answer, utils::time_point now)
{
    if (state() != "running")
        return {};
    m_answer = std::move(answer);
    step("answered", now);
    return takeActions();
}

operation_actions operation::serverCut(const utils::failure& why, utils::time_point now)
{
    if (state() != "running")
        return {};
    m_refusal = why;
    step("cut", now);
    return takeActions();
}

operation_actions operation::callerGone(utils::time_point now)
{
    if (!isFinished())
        m_refusal = { utils::error_kind::CallerGone, {}, {}, {} };
    step("caller_gone", now);
    return takeActions();
}

std::string_view operation::eventOf(const keyvalue::kv_reply& reply)
{
    const pending what = std::exchange(m_pending, pending::Nothing);
    if (reply.status == keyvalue::kv_status::NotSent)
        return "kv_not_sent";
    if (reply.status == keyvalue::kv_status::Unknown)
        return "kv_unknown";
    m_retryDelay = m_settings.retryFirst;
    if (reply.succeeded && what != pending::Read) {
        m_seenRevision = reply.revision;
        if (what == pending::Claim)
            return "claimed";
        return what == pending::Close ? "closed" : "stored";
    }
    if (reply.entries.empty()) {
        m_seenRevision = 0;
        return "found_absent";
    }
    return eventOfEntry(reply.entries.front());
}

std::string_view operation::eventOfEntry(const keyvalue::kv_entry& entry)
{
    m_seenRevision = entry.modRevision;
    m_found = decodeOperationRecord(entry.value);
    // A record that cannot be decoded was written for a request that may have run.
    if (!m_found)
        return "found_unknown";
    if (m_found->nonce == m_request.nonce)
        return eventOfOwn(m_found->state);
    if (m_found->bodyDigest != m_request.bodyDigest)
        return "found_other_body";
    switch (m_found->state) {
    case record_state::Closed:
        return "found_closed";
    case record_state::Answered:
        return "found_answered";
    case record_state::Unknown:
        return "found_unknown";
    case record_state::Claimed:
        break;
    }
    // Both answers say may_have_run; the holder's clock only decides whether a retry may find an outcome.
    const bool isAbandoned = m_request.wallSeconds > m_found->wallSeconds + m_found->horizonSeconds;
    return isAbandoned ? "found_unknown" : "found_claimed";
}

std::string_view operation::eventOfOwn(record_state state) const
{
    if (state == record_state::Claimed)
        return "found_mine";
    return state == record_state::Closed ? "closed" : "stored";
}

operation_record operation::makeRecord(record_state state) const
{
    operation_record record;
    record.state = state;
    record.bodyDigest = m_request.bodyDigest;
    record.nonce = m_request.nonce;
    record.holder = m_request.node;
    record.holderBoot = m_request.boot;
    record.wallSeconds = m_request.wallSeconds;
    record.horizonSeconds
        = ceilSeconds(m_settings.dispatchWindow + m_settings.followWindow + m_request.runTimeout)
        + horizonMarginSeconds;
    return record;
}

void operation::putRecord(pending what, const operation_record& record, bool canWait)
{
    keyvalue::kv_transaction transaction;
    transaction.compares.push_back({ m_key, m_seenRevision });
    transaction.onSuccess.emplace_back(keyvalue::kv_put { m_key, encode(record), m_request.lease });
    transaction.onFailure.emplace_back(keyvalue::kv_get { m_key, {}, 0 });
    m_pending = what;
    emit(kv_transact { ++m_lastTicket, std::move(transaction), canWait });
}

void operation::setLimit(utils::time_point limit, utils::time_point now)
{
    m_limit = limit;
    m_retryDelay = m_settings.retryFirst;
    emit(set_timer { std::max(limit, now) });
}

void operation::armWindow(utils::time_point now)
{
    m_limit = now + m_settings.dispatchWindow;
}

void operation::writeClaim(utils::time_point /*now*/)
{
    putRecord(pending::Claim, makeRecord(record_state::Claimed), false);
    emit(set_timer { m_limit });
}

void operation::readBack(utils::time_point /*now*/)
{
    keyvalue::kv_transaction transaction;
    transaction.onSuccess.emplace_back(keyvalue::kv_get { m_key, {}, 0 });
    m_pending = pending::Read;
    emit(kv_transact { ++m_lastTicket, std::move(transaction), false });
    emit(set_timer { m_limit });
}

void operation::reachServer(utils::time_point /*now*/)
{
    emit(reach_server {});
}

void operation::sendRequest(utils::time_point /*now*/)
{
    emit(send_request {});
}

void operation::noteTooLate(utils::time_point /*now*/)
{
    m_refusal = { utils::error_kind::DeadlineUnreachable, "the request could not start in time", {}, {} };
}

void operation::armClose(utils::time_point now)
{
    setLimit(now + m_settings.closeWindow, now);
}

void operation::closeRecord(utils::time_point /*now*/)
{
    // Written also if no record was found: a claim whose reply was lost may take effect late, and the
    // caller's next sending would then be refused as may_have_run. The closed record makes the claim's
    // compare fail.
    putRecord(pending::Close, makeRecord(record_state::Closed), false);
}

void operation::armStore(utils::time_point now)
{
    setLimit(now + m_settings.recordWriteWindow, now);
}

void operation::storeOutcome(utils::time_point /*now*/)
{
    operation_record record = makeRecord(m_answer ? record_state::Answered : record_state::Unknown);
    if (m_answer && m_answer->body.size() <= m_settings.maxKeptBody)
        record.answer = m_answer;
    record.isAnswerTooLarge = m_answer && !record.answer;
    putRecord(pending::Store, record, true);
}

void operation::retryLater(utils::time_point now)
{
    emit(set_timer { std::min(now + m_retryDelay, m_limit) });
    m_retryDelay = std::min(m_retryDelay * 2, m_settings.retryMost);
}

void operation::armFollow(utils::time_point now)
{
    m_limit = now + m_settings.followWindow;
    m_followDelay = m_settings.followFirstInterval;
}

void operation::pollLater(utils::time_point now)
{
    emit(set_timer { std::min(now + m_followDelay, m_limit) });
    m_followDelay = std::min(m_followDelay * 2, m_settings.followInterval);
}

void operation::answerCaller(utils::time_point /*now*/)
{
    emit(answer_caller { *m_answer, false });
}

void operation::answerStored(utils::time_point /*now*/)
{
    if (m_found->answer)
        return emit(answer_caller { *m_found->answer, true });
    refuse({ utils::error_kind::OperationOutcomeUnknown, "it ran; its answer was too large to keep",
        utils::run_state::Ran, {} });
}

void operation::refuseNotRun(utils::time_point /*now*/)
{
    refuse(notRun(m_refusal));
}

void operation::refuseMayHaveRun(utils::time_point /*now*/)
{
    refuse({ utils::error_kind::OperationOutcomeUnknown,
        "its record could not be closed: the platform does not answer", {}, {} });
}

void operation::refuseCut(utils::time_point /*now*/)
{
    utils::failure cut = m_refusal;
    cut.run = utils::run_state::MayHaveRun;
    refuse(cut);
}

void operation::refusePlatformDown(utils::time_point /*now*/)
{
    refuse({ utils::error_kind::PlatformUnavailable, "this sending was not run", {}, {} });
}

void operation::refuseUnknown(utils::time_point /*now*/)
{
    refuse({ utils::error_kind::OperationOutcomeUnknown, {}, {}, {} });
}

void operation::refuseInProgress(utils::time_point /*now*/)
{
    refuse({ utils::error_kind::OperationInProgress, {}, {}, {} });
}

void operation::refuseKeyReused(utils::time_point /*now*/)
{
    refuse({ utils::error_kind::KeyReused, {}, {}, {} });
}

void operation::refuse(utils::failure failure)
{
    emit(refuse_caller { std::move(failure) });
}

} // namespace operations

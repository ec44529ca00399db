#include "serveruse.h"

#include <algorithm>

namespace gateway {

namespace {

constexpr int firstFailure = 500; // statuses from here on: the server failed

} // namespace

void server_use::begin(const catalogue::backend_server& server, std::uint32_t unreadTokens,
    const decisions::placement& placement, utils::time_point now)
{
    ++m_context.sentRequests;
    m_server = server.id;
    m_sentAt = now;
    m_heardAt = now;
    m_isPromptPending = true;
    m_firstEventAt = {};
    m_serverSilence = decisions::silence_detector::limitFor(m_plan.route->targetLatency, m_plan.isEngine);
    const decisions::response_times& times = m_context.timesOf(m_plan.service);
    m_tokensAhead = placement.load.promptTokens + unreadTokens;
    const utils::duration slotWait
        = times.slotWait(placement.load.requests, server.slots, queueUrgency(m_plan));
    m_latestAnswer = times.forecast(m_tokensAhead).latest() + 2 * slotWait;
    m_hasSlot = placement.load.requests < server.slots;
    m_heldTokens = placement.heldTokens;
    m_unreadTokens = unreadTokens;
    m_context.loads.started(m_server, m_unreadTokens);
    m_candidate = { m_server, server.dataCentre, server.slots, 1, m_plan.cacheTokens, server.bornAt, 0 };
    m_context.choice.recordSent(m_candidate, m_plan.parts);
    m_context.running[m_number] = { m_server, server.bornAt, m_plan.digest };
    m_context.silence.requestSent(
        m_server, m_number, m_serverSilence, times.forecast(unreadTokens).latest(), now);
}

void server_use::heard(utils::time_point now)
{
    m_heardAt = now;
    m_context.silence.dataReceived(m_server, now);
}

void server_use::promptRead()
{
    if (!m_isPromptPending)
        return;
    m_isPromptPending = false;
    m_latestAnswer = utils::duration::zero();
    m_context.loads.answered(m_server, m_unreadTokens);
    m_context.silence.prefillFinished(m_server, m_number);
}

void server_use::firstEvent(utils::time_point now)
{
    if (m_isPromptPending && m_hasSlot)
        m_context.timesOf(m_plan.service).recordFirstByte(m_tokensAhead, now - m_sentAt);
    m_firstEventAt = now;
    promptRead();
    m_context.health.succeeded(m_plan.service, m_server, now - m_sentAt, now);
}

void server_use::end(attempt_end end, int status, utils::time_point now)
{
    if (m_isPromptPending)
        m_context.choice.recordWithdrawn(m_candidate, m_plan.parts, m_heldTokens);
    promptRead();
    m_context.loads.finished(m_server);
    m_context.silence.requestEnded(m_server, m_number);
    if (end == attempt_end::Cut)
        noteCrash(m_context, m_server, now);
    m_context.running.erase(m_number);
    const bool isFailure = end == attempt_end::Cut || end == attempt_end::Silent
        || end == attempt_end::Garbled || end == attempt_end::Failed;
    if (isFailure)
        m_context.health.failed(m_plan.service, m_server, now);
    if (isFailure || end == attempt_end::Answered)
        m_context.failures.recordOutcome(
            m_plan.route->name, m_server, isFailure || status >= firstFailure, now);
    if (end != attempt_end::Answered)
        return;
    m_context.poison.completed(m_plan.digest, now);
    const bool isShort = m_plan.route->kind != catalogue::request_kind::Stream;
    if (isShort && status < firstFailure)
        m_context.health.succeeded(m_plan.service, m_server, now - m_sentAt, now);
    learnOccupancy(isShort, now);
}

void server_use::learnOccupancy(bool isShort, utils::time_point now)
{
    decisions::response_times& times = m_context.timesOf(m_plan.service);
    if (!isShort) {
        if (m_firstEventAt == utils::time_point())
            return;
        times.recordOccupancy(
            queueUrgency(m_plan), now - m_firstEventAt + times.forecast(m_unreadTokens).prefill);
        return;
    }
    if (!m_hasSlot)
        return;
    times.recordFirstByte(0, now - m_sentAt);
    times.recordOccupancy(queueUrgency(m_plan), now - m_sentAt);
}

utils::duration server_use::silentFor(utils::time_point now) const
{
    return m_heardAt == utils::time_point() ? utils::duration::zero() : now - m_heardAt;
}

utils::time_point server_use::silentAt(utils::duration limit, utils::time_point now) const
{
    const utils::time_point serverHeardAt = std::max(m_heardAt, m_context.silence.lastHeard(m_server));
    const utils::duration serverLimit = std::max({ m_serverSilence,
        m_context.silence.longestPrefill(m_server), m_context.othersReading(m_plan.service, m_server, now) });
    return std::min(m_heardAt + std::max(limit, m_latestAnswer), serverHeardAt + serverLimit);
}

} // namespace gateway

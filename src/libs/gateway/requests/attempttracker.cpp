#include "attempttracker.h"

#include "requestlog.h"

#include <algorithm>
#include <utility>

namespace gateway {

namespace {

constexpr int firstServerErrorStatus = 500; // statuses from here on are server errors

} // namespace

void attempt_tracker::begin(const catalogue::backend_server& server, std::uint32_t unreadTokens,
    const decisions::placement& placement, utils::time_point now)
{
    m_isActive = true;
    ++m_context.sentRequests;
    m_context.choice.recordStarted(m_plan.parts, now);
    m_server = server.id;
    m_sentAt = now;
    m_lastReceivedAt = now;
    m_isPromptPending = true;
    m_firstEventAt = {};
    m_serverSilence = decisions::silence_detector::limitFor(m_plan.route->targetLatency, m_plan.isEngine);
    const decisions::response_times& times = m_context.responseTimesOf(m_plan.service);
    m_tokensAhead = placement.load.promptTokens + unreadTokens;
    m_latestResponse = times.forecast(m_tokensAhead).latest()
        + 2 * m_context.slotWait(m_plan.service, server, placement.load.requests, queueUrgency(m_plan), now);
    m_hasSlot = placement.load.requests < server.slots;
    m_heldTokens = placement.heldTokens;
    m_unreadTokens = unreadTokens;
    m_context.loads.started(m_server, m_unreadTokens);
    m_candidate = { m_server, server.dataCentre, server.slots, 1, m_plan.cacheTokens, server.startedAtMs, 0 };
    m_isUnexpected = placement.isUnexpected;
    m_context.choice.recordSent(m_candidate, m_plan.parts, m_isUnexpected);
    m_isSound = false;
    m_context.silence.requestSent(
        m_server, m_number, m_serverSilence, times.forecast(unreadTokens).latest(), now);
}

void attempt_tracker::dataReceived(utils::time_point now)
{
    m_lastReceivedAt = now;
    if (!m_isActive)
        return;
    m_context.silence.dataReceived(m_server, now);
    m_context.crashedServers.erase(m_server);
    if (!m_context.undecidedLosses.isEmpty())
        m_context.undecidedLosses.serverLives(m_server);
    if (m_firstEventAt != utils::time_point() && now - m_firstEventAt >= soundAfter)
        recordSound(m_firstEventAt, now);
}

void attempt_tracker::prefillDone()
{
    if (!m_isPromptPending)
        return;
    m_isPromptPending = false;
    m_latestResponse = utils::duration::zero();
    m_context.loads.answered(m_server, m_unreadTokens);
    m_context.silence.prefillFinished(m_server, m_number);
}

void attempt_tracker::firstEventReceived(utils::time_point now)
{
    if (!m_isActive)
        return;
    if (m_isPromptPending && m_hasSlot)
        m_context.responseTimesOf(m_plan.service).recordFirstByte(m_tokensAhead, now - m_sentAt);
    m_firstEventAt = now;
    prefillDone();
    m_context.health.succeeded(m_plan.service, m_server, now - m_sentAt, now);
}

void attempt_tracker::end(attempt_outcome outcome, int status, utils::time_point now)
{
    if (m_isPromptPending)
        m_context.choice.recordWithdrawn(m_candidate, m_plan.parts, m_heldTokens, m_isUnexpected);
    prefillDone();
    m_context.loads.finished(m_server);
    m_context.choice.recordEnded(m_plan.parts);
    m_isActive = false;
    m_context.silence.requestEnded(m_server, m_number);
    if (outcome == attempt_outcome::Silent)
        m_context.reachability.suspected(m_plan.service, m_server);
    // The loss of this node's own path is no failure of the server.
    const bool isServerAtFault = !m_context.reachability.isCutOff(m_plan.service);
    const bool isFailure = isServerAtFault
        && (outcome == attempt_outcome::Cut || outcome == attempt_outcome::Silent
            || outcome == attempt_outcome::Garbled || outcome == attempt_outcome::Failed);
    if (isFailure)
        m_context.health.failed(m_plan.service, m_server, now);
    if (isFailure || outcome == attempt_outcome::Answered)
        m_context.failures.recordOutcome(
            m_plan.route->name, m_server, isFailure || status >= firstServerErrorStatus, now);
    if (outcome != attempt_outcome::Answered)
        return;
    const bool isShort = m_plan.route->kind != catalogue::request_kind::Stream;
    const bool hasAnswer = isShort || m_firstEventAt != utils::time_point();
    if (hasAnswer && status < firstServerErrorStatus)
        recordSound(isShort ? now : m_firstEventAt, now);
    if (isShort && status < firstServerErrorStatus)
        m_context.health.succeeded(m_plan.service, m_server, now - m_sentAt, now);
    learnOccupancy(isShort, now);
}

void attempt_tracker::recordSound(utils::time_point beganAt, utils::time_point now)
{
    if (std::exchange(m_isSound, true))
        return;
    const unsigned level = m_context.crashingParts.answered(
        decisions::serviceKey(m_plan.service), m_plan.suspects, beganAt, now);
    if (level <= 1)
        return;
    logPartsCleared(m_plan, m_server, level);
    // Peers must hear of it before the next crash makes the chain longer.
    if (m_context.onPartsCleared)
        m_context.onPartsCleared();
}

lost_attempt attempt_tracker::lost(const std::string& requestId, utils::time_point now) const
{
    const bool hasAnswer = m_firstEventAt != utils::time_point() && now - m_firstEventAt >= soundAfter;
    const auto parts = m_plan.sharedParts();
    return { requestId, m_plan.service, { parts.begin(), parts.end() }, m_plan.suspects, m_server,
        m_candidate.startedAtMs, m_sentAt, now, hasAnswer };
}

void attempt_tracker::learnOccupancy(bool isShort, utils::time_point now)
{
    decisions::response_times& times = m_context.responseTimesOf(m_plan.service);
    if (!isShort) {
        if (m_firstEventAt == utils::time_point())
            return;
        m_context.workOf(m_plan.service).record(m_plan.route->name, m_plan.outputHint, now - m_firstEventAt);
        times.recordOccupancy(
            queueUrgency(m_plan), now - m_firstEventAt + times.forecast(m_unreadTokens).prefill);
        return;
    }
    if (!m_hasSlot)
        return;
    times.recordFirstByte(0, now - m_sentAt);
    m_context.workOf(m_plan.service).record(m_plan.route->name, m_plan.outputHint, now - m_sentAt);
    times.recordOccupancy(queueUrgency(m_plan), now - m_sentAt);
}

utils::duration attempt_tracker::silentFor(utils::time_point now) const
{
    return m_lastReceivedAt == utils::time_point() ? utils::duration::zero() : now - m_lastReceivedAt;
}

utils::time_point attempt_tracker::timeoutAt(utils::duration limit, utils::time_point now) const
{
    const utils::time_point serverLastReceivedAt
        = std::max(m_lastReceivedAt, m_context.silence.lastHeard(m_server));
    const utils::duration serverLimit
        = std::max({ m_serverSilence, m_context.silence.longestPrefill(m_server),
            m_context.peerPrefillTime(m_plan.service, m_server, now) });
    return std::min(m_lastReceivedAt + std::max({ limit, m_latestResponse, queueTime(now) }),
        serverLastReceivedAt + serverLimit);
}

utils::duration attempt_tracker::queueTime(utils::time_point now) const
{
    const catalogue::backend_server* server = m_context.servers.find(m_server);
    // Plain services take requests in the order of their arrival: those that come later change nothing.
    if (!m_plan.isEngine || !m_isPromptPending || m_hasSlot || server == nullptr)
        return utils::duration::zero();
    const std::uint32_t others = std::max(1U, m_context.loads.total(m_server, now).requests) - 1;
    return 2 * m_context.slotWait(m_plan.service, *server, others, queueUrgency(m_plan), now);
}

} // namespace gateway

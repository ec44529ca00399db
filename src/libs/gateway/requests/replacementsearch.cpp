#include "replacementsearch.h"

#include "gateway/clock.h"
#include "gateway/servers/connectattempt.h"
#include "requestlog.h"

#include "wire/connect.h"
#include "wire/task.h"

#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace gateway {

namespace {

using decisions::stall_reason;

} // namespace

utils::time_point replacement_search::nextCheck(utils::time_point due, utils::time_point now)
{
    if (due > now) {
        attemptEnded();
        return due;
    }
    const std::optional<stall_reason> reason = trySecure(now);
    if (!reason)
        return now;
    record(*reason, now);
    // An attempt that nothing can replace must not hold up others.
    if (*reason != stall_reason::Connecting && *reason != stall_reason::NoRetryLeft
        && *reason != stall_reason::OthersFirst)
        leaveQueue();
    return now + (*reason == stall_reason::Connecting ? connectCheckInterval : checkInterval);
}

void replacement_search::attemptEnded()
{
    leaveQueue();
    m_lastReason.reset();
    m_unreachable.clear();
    abandonConnection();
}

void replacement_search::leaveQueue()
{
    if (std::exchange(m_isStalled, false))
        m_dependencies.context.stalls.ended(m_dependencies.number);
}

std::optional<secured_attempt> replacement_search::takeSecured()
{
    return std::exchange(m_secured, std::nullopt);
}

std::optional<stall_reason> replacement_search::trySecure(utils::time_point now)
{
    node_context& context = m_dependencies.context;
    const request_plan& plan = m_dependencies.plan;
    if (m_secured)
        return std::nullopt;
    context.reachability.suspected(plan.service, m_dependencies.result.server);
    const std::optional<stall_reason> noRetry = awaitRetry(now);
    if (!isAdmitted(now))
        return stall_reason::NotAdmitted;
    const bool isCutOff = context.reachability.isCutOff(plan.service);
    if (noRetry)
        return noRetry;
    if (!isCutOff && isSettling(now))
        return stall_reason::NoServer;
    if (m_candidate && m_candidate->peer.has_value() != isCutOff)
        abandonConnection();
    if (!m_candidate) {
        const auto reason = isCutOff ? choosePeerCandidate(now) : chooseServerCandidate(now);
        if (reason)
            return reason;
    }
    return connect(now);
}

std::optional<stall_reason> replacement_search::awaitRetry(utils::time_point now)
{
    node_context& context = m_dependencies.context;
    const request_plan& plan = m_dependencies.plan;
    if (!std::exchange(m_isStalled, true)) {
        const utils::time_point since = now - m_dependencies.tracker.silentFor(now);
        context.stalls.stalled(plan.service, m_dependencies.number, plan.urgency, since);
    }
    const double left = context.repeatsOf(plan.service).left(now);
    if (left < 1)
        return stall_reason::NoRetryLeft;
    if (!context.stalls.mayRetry(m_dependencies.number, left))
        return stall_reason::OthersFirst;
    return std::nullopt;
}

bool replacement_search::mayRetry(utils::time_point now)
{
    const std::optional<stall_reason> noRetry = awaitRetry(now);
    if (noRetry)
        record(*noRetry, now);
    return !noRetry;
}

bool replacement_search::isSettling(utils::time_point now)
{
    decisions::stalled_attempts& stalls = m_dependencies.context.stalls;
    const std::string& service = m_dependencies.plan.service;
    if (areMostSilent(querySilence(now)))
        stalls.mostSilent(service, now);
    return stalls.isSettling(service, now);
}

std::optional<stall_reason> replacement_search::chooseServerCandidate(utils::time_point now)
{
    const std::uint64_t salt = m_dependencies.number * 31 + m_dependencies.record.attempts() + 1;
    for (const auto isEligible : { decisions::isKnownToRun, decisions::isLikelyToRun }) {
        const std::set<utils::server_id> excluded = excludedServers(isEligible, now);
        const choice_constraints constraints { .tried = excluded,
            .version = m_dependencies.result.streamVersion,
            .salt = salt,
            .crowdPlace = m_dependencies.result.crowd ? m_dependencies.result.crowd->place : 0 };
        const auto placement = chooseServer(m_dependencies.context, m_dependencies.plan, constraints, now);
        if (!placement)
            continue;
        m_candidate = candidate { *placement, std::nullopt };
        return std::nullopt;
    }
    m_unreachable.clear();
    return stall_reason::NoServer;
}

std::optional<stall_reason> replacement_search::choosePeerCandidate(utils::time_point now)
{
    if (m_dependencies.request.hop)
        return stall_reason::NoPeer;
    const std::uint64_t salt = m_dependencies.number * 31 + m_dependencies.record.attempts() + 1;
    const auto peer = m_dependencies.forwarder.chooseHearing(m_dependencies.plan, m_dependencies.triedPeers,
        salt, now - m_dependencies.tracker.silentFor(now), now);
    if (!peer)
        return stall_reason::NoPeer;
    m_candidate = candidate { std::nullopt, *peer };
    return std::nullopt;
}

std::optional<stall_reason> replacement_search::connect(utils::time_point now)
{
    node_context& context = m_dependencies.context;
    if (m_pending) {
        if (!m_pending->isDone)
            return stall_reason::Connecting;
        if (m_pending->error.empty())
            return commit(now);
        if (m_candidate->placement)
            m_unreachable.insert(m_candidate->placement->server);
        const bool isPeer = m_candidate->peer.has_value();
        abandonConnection();
        return isPeer ? stall_reason::NoPeer : stall_reason::NoServer;
    }
    m_pending = std::make_shared<pending_connection>();
    if (m_candidate->peer) {
        m_pending->connection = m_dependencies.forwarder.takeConnection(*m_candidate->peer, now);
    } else {
        m_pending->server = m_candidate->placement->server;
        m_pending->connection = context.pool.take(m_pending->server, now);
    }
    if (m_pending->connection) {
        m_pending->isDone = true;
        return commit(now);
    }
    const catalogue::backend_server* entry = context.servers.find(m_pending->server);
    const auto endpoint = m_candidate->peer ? std::optional(m_candidate->peer->address)
        : entry == nullptr                  ? std::nullopt
                                            : wire::parseEndpoint(entry->address);
    if (!endpoint) {
        abandonConnection();
        return stall_reason::NoServer;
    }
    m_pending->connection = std::make_shared<http_connection>(context.executor);
    m_pending->scope = std::make_shared<stop_scope>(context.executor);
    wire::startTask(context.executor, "open_replacement", open(context, m_pending, *endpoint));
    return stall_reason::Connecting;
}

boost::asio::awaitable<void> replacement_search::open(node_context& context,
    std::shared_ptr<pending_connection> pending, boost::asio::ip::tcp::endpoint endpoint)
{
    pending->error = co_await connectWithin(pending->scope, pending->connection, endpoint);
    pending->scope->finish();
    pending->isDone = true;
    if (pending->isAbandoned) {
        pending->connection->close();
        co_return;
    }
    if (pending->server.isEmpty())
        co_return;
    context.recordConnect(pending->server, pending->error, now());
    if (pending->error.empty())
        co_return;
    context.health.unreachable(pending->server, now());
    context.coldStarts.recordUnreachable(pending->server, now());
}

std::optional<stall_reason> replacement_search::commit(utils::time_point now)
{
    node_context& context = m_dependencies.context;
    const request_plan& plan = m_dependencies.plan;
    if (m_candidate->placement) {
        const catalogue::backend_server* entry = context.servers.find(m_candidate->placement->server);
        const bool maySend = entry != nullptr
            && maySendTo(context, plan, *entry, m_dependencies.result.streamVersion, now)
            && isLikelyToRun(queryFor(entry->id, querySilence(now), now)) && !context.isViewTooOld(now);
        if (!maySend || !m_pending->connection->isIdleAndOpen()) {
            abandonConnection();
            return stall_reason::NoServer;
        }
    }
    if (!context.repeatsOf(plan.service).trySpend(now))
        return stall_reason::NoRetryLeft;
    m_secured
        = secured_attempt { m_candidate->placement, m_candidate->peer, std::move(m_pending->connection) };
    m_pending.reset();
    m_candidate.reset();
    return std::nullopt;
}

std::set<utils::server_id> replacement_search::excludedServers(
    eligibility isEligible, utils::time_point now) const
{
    std::set<utils::server_id> excluded = m_dependencies.triedServers;
    excluded.insert(m_unreachable.begin(), m_unreachable.end());
    const decisions::replacement_query query = querySilence(now);
    for (const catalogue::backend_server* server :
        m_dependencies.context.servers.usable(m_dependencies.plan.service)) {
        if (!isEligible(queryFor(server->id, query, now)))
            excluded.insert(server->id);
    }
    return excluded;
}

decisions::replacement_query replacement_search::querySilence(utils::time_point now) const
{
    decisions::replacement_query query;
    query.silentFor = m_dependencies.tracker.silentFor(now);
    for (const catalogue::backend_server* other :
        m_dependencies.context.servers.usable(m_dependencies.plan.service)) {
        if (other->id == m_dependencies.result.server)
            continue;
        decisions::replacement_query one { query.silentFor, {}, 0, 0 };
        one.quietFor = m_dependencies.context.silence.quietFor(other->id, now);
        if (one.quietFor)
            ++(isLikelyToRun(one) ? query.othersHeard : query.othersQuiet);
    }
    return query;
}

decisions::replacement_query replacement_search::queryFor(
    const utils::server_id& server, decisions::replacement_query query, utils::time_point now) const
{
    query.quietFor = m_dependencies.context.silence.quietFor(server, now);
    return query;
}

bool replacement_search::isAdmitted(utils::time_point now) const
{
    // Asked without a place at the suspect gate, which belongs to requests that are about to be sent.
    const node_context& context = m_dependencies.context;
    const request_plan& plan = m_dependencies.plan;
    return context.crashingParts.check(plan.suspects, now).verdict == decisions::part_verdict::Sound;
}

void replacement_search::record(stall_reason reason, utils::time_point now)
{
    if (reason == stall_reason::Connecting || m_lastReason == reason)
        return;
    m_lastReason = reason;
    m_dependencies.context.metrics.countStall(m_dependencies.plan.service, reason);
    const double left = m_dependencies.context.repeatsOf(m_dependencies.plan.service).left(now);
    logStalledAttempt(m_dependencies.request,
        { m_dependencies.result.server, reason, m_dependencies.tracker.silentFor(now), left,
            m_dependencies.context.stalls.size() });
}

void replacement_search::abandonConnection()
{
    m_candidate.reset();
    if (!m_pending)
        return;
    m_pending->isAbandoned = true;
    if (m_pending->connection && m_pending->isDone)
        m_pending->connection->close();
    m_pending.reset();
}

} // namespace gateway

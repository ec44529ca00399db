#pragma once

#include "attempt.h"
#include "attempttracker.h"
#include "flowresult.h"
#include "gateway/clock.h"
#include "gateway/load/crowddirectory.h"
#include "gateway/peers/crashdirectory.h"
#include "gateway/peers/peerforwarder.h"
#include "gateway/servers/connectattempt.h"
#include "requestlog.h"
#include "requestplan.h"
#include "requestwaits.h"
#include "responserelay.h"
#include "responsewriter.h"
#include "stopscope.h"
#include "wireprotocol.h"

#include "wire/connect.h"
#include "wire/task.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace gateway {

/// What the requests of a node share besides its context.
struct flow_services {
    peer_forwarder& forwarder;
    stream_directory& streams;
    crash_directory& crashes;
    server_notices& notices;
    crowd_directory& crowds;
};

/// Processes one request: chooses a backend server, sends the request, retries it where attempt_record
/// allows, and forwards the response. While this node cannot connect to the servers of the service, the
/// request goes by way of a peer. Not thread safe.
template <wire_protocol Wire> class request_flow {
public:
    /// Precondition: all arguments outlive run().
    request_flow(node_context& context, const flow_services& services, const client_request& request,
        const request_plan& plan, std::shared_ptr<stop_scope> scope, response_writer& writer)
        : m_context(context)
        , m_forwarder(services.forwarder)
        , m_streams(services.streams)
        , m_crashes(services.crashes)
        , m_crowds(services.crowds)
        , m_request(request)
        , m_plan(plan)
        , m_scope(std::move(scope))
        , m_writer(writer)
        , m_record(plan.route->mayRepeat(), plan.route->maxAttempts)
        , m_requestNumber(context.nextRequestNumber++)
        , m_tracker(context, plan, m_requestNumber)
        , m_replacement({ context, services.forwarder, request, plan, m_record, m_tracker, m_result,
              m_waits.triedServers(), m_triedPeers, m_requestNumber })
        , m_relay({ context, request, plan, m_scope, writer, m_record, m_tracker, m_replacement, m_result,
              m_streams, services.notices })
    {
    }

    boost::asio::awaitable<flow_result> run()
    {
        if (m_request.hop) {
            m_record.addEarlier(m_request.hop->earlierRuns, m_request.hop->earlierSent);
            m_isRetryPaid = m_request.hop->isRetryPaid;
        }
        m_context.rejections.recordArrival(m_plan.service, now());
        if (admit()) {
            co_await findOrigin();
            co_await findPlace();
        }
        while (!m_result.crashFinding && m_result.origin.source != decisions::origin_source::Unknown
            && m_scope->checkDeadline(now()) == stop_reason::None) {
            recordViewAge();
            recordStop();
            if (m_result.isViewTooOld || m_result.isTooLateToSend)
                break;
            bool mayGoOn = false;
            std::optional<secured_attempt> secured = m_replacement.takeSecured();
            // Also where the replacement is not admitted any more: the retry has been paid for.
            m_isRetryPaid = m_isRetryPaid || secured.has_value();
            if (secured && m_admission == crash_admission::Send)
                mayGoOn = co_await trySecured(std::move(*secured));
            else if (mustWaitForRetry()) {
                co_await m_waits.forRetry();
                mayGoOn = true;
            } else if (const std::optional<forward_target> peer = choosePeer())
                mayGoOn = co_await tryPeer(*peer, nullptr);
            else if (m_admission == crash_admission::Wait)
                mayGoOn = co_await waitForVerdict();
            else
                mayGoOn = co_await tryNextServer();
            m_crashes.finished(m_requestNumber);
            if (!mayGoOn || !m_record.mayRetry() || m_result.isTruncated || hasEventsOfUnknownVersion()
                || !admit())
                break;
        }
        m_crashes.finished(m_requestNumber);
        m_result.attempts = m_record.attempts();
        m_result.sent = m_record.sent();
        m_result.stopReason = m_scope->reason();
        m_result.events = m_relay.eventCount();
        if (m_result.lastOutcome != attempt_outcome::Answered)
            co_await endWithoutResponse();
        if (m_result.origin.source != decisions::origin_source::None)
            m_context.metrics.countResumption(m_plan.service, toString(m_result.origin.source),
                m_result.lastOutcome == attempt_outcome::Answered);
        co_return std::move(m_result);
    }

private:
    using error_code = boost::system::error_code;

    /// Binds the request to the software version that began the stream which the caller resumes.
    boost::asio::awaitable<void> findOrigin()
    {
        if (m_plan.route->kind != catalogue::request_kind::Stream || !m_request.lastEventId)
            co_return;
        if (m_request.hop && m_request.hop->streamVersion)
            m_result.origin
                = { decisions::origin_source::ForwardingNode, *m_request.hop->streamVersion, {}, {} };
        else
            m_result.origin = co_await m_streams.find(m_plan, m_request);
        if (m_result.origin.source != decisions::origin_source::Unknown)
            m_result.streamVersion = m_result.origin.version;
    }

    /// Finds where the request stands among those with the same shared part, so that all nodes together do
    /// not fill one engine.
    boost::asio::awaitable<void> findPlace()
    {
        m_result.crowd = co_await m_crowds.find(m_plan);
        if (m_result.crowd)
            m_context.metrics.countCrowdPlace(
                m_plan.service, m_result.crowd->place > 0, m_result.crowd->isAnswered);
    }

    /// Decides whether, and how, the next attempt may be made. Returns false if none may be.
    bool admit()
    {
        const admitted_request admitted = m_crashes.admit(m_plan, m_requestNumber, now());
        m_admission = admitted.admission;
        m_suspectPart.reset();
        if (m_admission == crash_admission::SendAlone)
            m_suspectPart = admitted.finding.part;
        if (m_admission == crash_admission::Refuse)
            m_result.crashFinding = admitted.finding;
        return m_admission != crash_admission::Refuse;
    }

    /// Waits for the end of another request with the same suspect part. Returns whether to go on. A stream
    /// that has begun waits as long as its caller does: nothing else can bring the rest of it.
    boost::asio::awaitable<bool> waitForVerdict()
    {
        co_await m_waits.forVerdict();
        co_return m_waits.mayWaitForVerdict(callerState());
    }

    /// Whether the next attempt is a retry for which the budget has nothing left yet. The requests that
    /// arrive meanwhile earn one within a moment. A request that has provably not run is refused at once
    /// instead: its caller may send it again.
    bool mustWaitForRetry()
    {
        const bool mayWait = m_record.isRetry() && !m_record.hasProvablyNotRun() && !m_isRetryPaid
            && m_waits.mayWaitForRetry();
        if (!mayWait) {
            m_replacement.attemptEnded();
            return false;
        }
        if (!m_replacement.mayRetry(now()))
            return true;
        m_replacement.attemptEnded();
        // Taken at once: requests that wait together go on in the same turn.
        m_isRetryPaid = m_context.repeatsOf(m_plan.service).trySpend(now());
        return !m_isRetryPaid;
    }

    /// Whether the caller has events from a peer that does not tell their version.
    bool hasEventsOfUnknownVersion() const { return m_relay.eventCount() > 0 && !m_result.streamVersion; }

    /// Chooses the peer to which the next attempt goes, because this node does not reach the servers of the
    /// service; nothing if the attempt goes to a server.
    std::optional<forward_target> choosePeer() const
    {
        const bool isOutOfReach = m_context.reachability.isCutOff(m_plan.service)
            || m_failedConnects >= failedConnectsBeforeForward;
        return isOutOfReach ? nextPeer() : std::nullopt;
    }

    std::optional<forward_target> nextPeer() const
    {
        if (m_request.hop)
            return std::nullopt;
        return m_forwarder.choose(m_plan, m_triedPeers, m_requestNumber * 31 + m_record.attempts(), now());
    }

    /// Makes one attempt by way of a peer. Returns whether another attempt may follow.
    boost::asio::awaitable<bool> tryPeer(forward_target peer, http_connection_ptr connection)
    {
        m_triedPeers.insert(peer.node);
        m_result.server = {};
        m_result.serverVersion.clear();
        m_result.forwardedTo = peer.node;
        const utils::time_point startedAt = now();
        // This node pays for its retries. A peer that gets few requests of its own has earned none.
        const bool isRetry = m_record.isRetry();
        const bool isPaid = !isRetry || spendRetryBudget();
        m_forwarder.began(peer);
        m_result.lastOutcome
            = isPaid ? co_await forwardTo(peer, std::move(connection), isRetry) : attempt_outcome::NoRepeat;
        m_forwarder.ended(peer);
        if (m_result.lastOutcome != attempt_outcome::Answered)
            logFailedAttempt(m_request, describeFailure(startedAt));
        recordSent();
        m_context.metrics.countForward(m_plan.service, m_result.lastOutcome);
        const std::optional<utils::error_kind> failure = m_relay.peerFailure();
        const bool isUnsent = m_result.lastOutcome == attempt_outcome::NotRun && !isOverload(*failure);
        m_record.addForwarded(m_result.lastOutcome, !isUnsent);
        m_isRetryPaid = isRetry && (isUnsent || m_result.lastOutcome == attempt_outcome::NotSent);
        if (!failure)
            co_return true;
        m_lastRefusal = *failure;
        if (m_result.lastOutcome == attempt_outcome::Answered)
            m_result.failure = utils::makeFailure(m_lastRefusal);
        co_return !isOverload(m_lastRefusal);
    }

    /// Whether a peer has refused the request because of the load of the servers, which other peers see too.
    static bool isOverload(utils::error_kind refusal)
    {
        return refusal == utils::error_kind::QueueFull || refusal == utils::error_kind::DeadlineUnreachable;
    }

    boost::asio::awaitable<attempt_outcome> forwardTo(
        const forward_target& peer, http_connection_ptr connection, bool isRetryPaid)
    {
        if (!connection)
            connection = m_forwarder.takeConnection(peer, now());
        if (connection) {
            m_scope->setConnection(connection);
        } else {
            connection = std::make_shared<http_connection>(m_context.executor);
            m_connectError = co_await connectWithin(m_scope, connection, peer.address);
            if (!m_connectError.empty())
                co_return attempt_outcome::NotSent;
        }
        recordStop();
        if (m_scope->checkDeadline(now()) != stop_reason::None || m_result.isTooLateToSend) {
            m_forwarder.putConnection(peer, connection, now());
            co_return attempt_outcome::NotSent;
        }
        server_request request;
        request.callerTimeLeft = std::max(utils::duration::zero(), m_plan.callerDeadline - now());
        request.lastEventId = m_relay.lastEventId();
        const forward_hop hop { peer.bootId, m_plan.configuration->version, m_record.possibleRuns(),
            m_record.sent(), m_result.streamVersion, isRetryPaid };
        const header_line line { std::string(forwardHopHeader), encodeHop(hop) };
        std::string head = Wire::encodeForward(m_request, request, line);
        connection->startWrite(std::move(head), m_request.body, m_request.method == "HEAD");
        const attempt_outcome outcome = co_await m_relay.exchangeWithPeer(connection);
        m_scope->setConnection(nullptr);
        if (outcome == attempt_outcome::Answered || outcome == attempt_outcome::NotRun)
            m_forwarder.putConnection(peer, connection, now());
        else
            connection->abort();
        co_return outcome;
    }

    /// Makes one attempt at a server. Returns whether another attempt may follow.
    boost::asio::awaitable<bool> tryNextServer()
    {
        const choice_constraints constraints { m_waits.triedServers(), m_result.streamVersion,
            m_requestNumber * 31 + m_record.attempts(), m_suspectPart,
            m_result.crowd ? m_result.crowd->place : 0 };
        const auto placement = chooseServer(m_context, m_plan, constraints, now());
        if (!placement && m_waits.mayWaitForRoom()) {
            co_await m_waits.forRoom();
            co_return true;
        }
        if (!placement) {
            // Which nodes may send to a cold server differs from server to server. A server that wants
            // nothing from this node gets nothing by way of a peer either.
            const bool mayAskPeer
                = m_plan.coldStart && m_triedPeers.empty() && m_waits.hasServerWithoutRest();
            const std::optional<forward_target> peer = mayAskPeer ? nextPeer() : std::nullopt;
            if (peer)
                co_return co_await tryPeer(*peer, nullptr);
            if (!m_waits.mayWaitForServer(callerState()))
                co_return false;
            co_await m_waits.forServer();
            co_return true;
        }
        co_return co_await tryPlacement(*placement, nullptr);
    }

    /// Makes the attempt that replaces one which received no data.
    boost::asio::awaitable<bool> trySecured(secured_attempt secured)
    {
        if (secured.peer)
            co_return co_await tryPeer(*secured.peer, std::move(secured.connection));
        co_return co_await tryPlacement(*secured.placement, std::move(secured.connection));
    }

    /// Makes one attempt at the chosen server; `connection`: an open one, or null.
    boost::asio::awaitable<bool> tryPlacement(decisions::placement placement, http_connection_ptr connection)
    {
        m_result.placement = placement;
        m_result.server = placement.server;
        m_result.serverVersion = versionOf(placement.server);
        m_result.forwardedTo.clear();
        if (m_record.attempts() == 0)
            m_result.refused = refuseOverload(m_context, m_request, m_plan, placement, now());
        if (m_result.refused)
            co_return false;
        m_waits.tried(placement.server);
        const utils::time_point startedAt = now();
        m_result.lastOutcome = co_await tryServer(placement.server, std::move(connection));
        m_failedConnects += m_connectError.empty() ? 0 : 1;
        if (m_result.lastOutcome != attempt_outcome::Answered)
            logFailedAttempt(m_request, describeFailure(startedAt));
        if (m_result.lastOutcome == attempt_outcome::NotSent || isResting(placement.server))
            m_waits.mayReturn(placement.server);
        recordSent();
        m_context.metrics.countAttempt(m_plan.service, m_result.lastOutcome, m_record.isRetry());
        m_record.add(m_result.lastOutcome);
        if (m_result.lastOutcome == attempt_outcome::Cut || m_result.lastOutcome == attempt_outcome::Silent)
            co_await recordLoss();
        co_return true;
    }

    /// Finds out whether the server has crashed under the request. A retry must know that, the final error of
    /// this request must not wait for it.
    boost::asio::awaitable<void> recordLoss()
    {
        lost_attempt attempt = m_tracker.lost(m_request.requestId, now());
        if (m_record.mayRetry())
            co_await m_crashes.attemptLost(std::move(attempt));
        else
            wire::startTask(m_context.executor, "check_crash", m_crashes.attemptLost(std::move(attempt)));
    }

    void recordSent()
    {
        if (attempt_record::isSent(m_result.lastOutcome))
            m_result.lastSent = m_result.lastOutcome;
    }

    bool isResting(const utils::server_id& server) const
    {
        const catalogue::backend_server* entry = m_context.servers.find(server);
        return entry != nullptr && m_context.isResting(*entry, now());
    }

    request_waits::caller_state callerState() const { return { m_writer.hasBegun(), m_relay.hasFallback() }; }

    std::string versionOf(const utils::server_id& server) const
    {
        const catalogue::backend_server* entry = m_context.servers.find(server);
        return entry == nullptr ? std::string() : entry->softwareVersion;
    }

    void recordViewAge()
    {
        const utils::time_point present = now();
        m_result.viewAge = m_context.viewLag.age(present);
        m_result.viewBehind = m_context.viewLag.behindFor(present);
        m_result.isViewTooOld = m_context.isViewTooOld(present);
    }

    /// A leaving node sends nothing that its process may not see the end of, unless the request may have run
    /// already: then one more attempt may still bring the answer in time.
    void recordStop()
    {
        m_result.isTooLateToSend = m_record.hasProvablyNotRun() && !m_writer.hasBegun()
            && !m_context.window.mayPassOn(m_plan.deadline, now());
    }

    failed_attempt describeFailure(utils::time_point startedAt)
    {
        failed_attempt attempt { m_result.server, m_result.serverVersion, m_result.forwardedTo,
            m_result.lastOutcome, std::exchange(m_connectError, {}) };
        attempt.events = m_relay.eventCount();
        attempt.sharedParts = m_plan.sharedParts();
        attempt.took = now() - startedAt;
        if (m_record.isSent(m_result.lastOutcome))
            attempt.silentFor = m_tracker.silentFor(now());
        attempt.isRetry = m_record.isRetry();
        attempt.uptime = now() - m_context.startedAt;
        attempt.repeatsLeft = m_context.repeatsOf(m_plan.service).left(now());
        attempt.viewAge = m_result.viewAge;
        attempt.viewBehind = m_result.viewBehind;
        return attempt;
    }

    boost::asio::awaitable<attempt_outcome> tryServer(utils::server_id server, http_connection_ptr connection)
    {
        if (connection)
            m_scope->setConnection(connection);
        else
            connection = co_await openConnection(server);
        if (!connection)
            co_return attempt_outcome::NotSent;
        if (m_scope->checkDeadline(now()) != stop_reason::None) {
            m_context.pool.put(server, connection, now());
            co_return attempt_outcome::NotSent;
        }
        // While this request waited for its connection, the server may have begun to drain, its data centre
        // may be evacuated, requests like it may have crashed servers, and another request may have taken
        // this node's part of what a cold server takes.
        recordViewAge();
        recordStop();
        const catalogue::backend_server* entry = m_context.servers.find(server);
        if (entry == nullptr || !maySendTo(m_context, m_plan, *entry, m_result.streamVersion, now())
            || m_result.isViewTooOld || m_result.isTooLateToSend || !isStillAdmitted()) {
            m_context.pool.put(server, connection, now());
            co_return attempt_outcome::NotSent;
        }
        if (!spendRetryBudget()) {
            m_context.pool.put(server, connection, now());
            co_return attempt_outcome::NoRepeat;
        }
        m_result.isServerCold = m_context.isCold(server, m_plan.coldStart, now());
        if (m_result.isServerCold) {
            m_context.coldStarts.recordSent(server, now());
            m_context.metrics.countColdRequest(m_plan.service);
        }
        m_context.rejections.recordSent(server, now());
        m_context.metrics.countViewAge(m_result.viewAge);
        m_result.serverDataCentre = entry->dataCentre;
        const exchange_target target { { server, entry->startedAtMs },
            decisions::versionKey(entry->softwareVersion) };
        if (m_context.rests.askedUntil(target.process, now()))
            m_context.metrics.countRequestInRest(m_plan.service);
        m_context.rests.sent(target.process, now());
        const copy_source source = copySource(m_context, m_plan, *entry, now());
        std::string head = Wire::encodeRequest(m_request, makeRequest(*entry, source));
        m_tracker.begin(*entry, unreadTokens(source), m_result.placement, now());
        connection->startWrite(std::move(head), m_request.body, m_request.method == "HEAD");
        const attempt_outcome outcome = co_await m_relay.exchange(target, connection);
        m_replacement.attemptEnded();
        m_tracker.end(outcome, m_result.status, now());
        m_scope->setConnection(nullptr);
        if (outcome == attempt_outcome::NotRun)
            wire::startTask(m_context.executor, "discard_body", reclaim(m_context, server, connection));
        else if (outcome == attempt_outcome::Answered || outcome == attempt_outcome::Failed)
            m_context.pool.put(server, connection, now());
        else
            connection->abort();
        co_return outcome;
    }

    /// Keeps a connection whose response was read up to the end of its head, if the rest follows soon. The
    /// request does not wait for that.
    static boost::asio::awaitable<void> reclaim(
        node_context& context, utils::server_id server, http_connection_ptr connection)
    {
        const auto scope = std::make_shared<stop_scope>(context.executor);
        scope->setDeadline(now() + reclaimLimits.time, now());
        scope->setConnection(connection);
        const error_code error = co_await connection->discardBody(reclaimLimits);
        scope->finish();
        if (error)
            connection->abort();
        else
            context.pool.put(server, std::move(connection), now());
    }

    bool isStillAdmitted()
    {
        return m_crashes.admit(m_plan, m_requestNumber, now()).admission == m_admission;
    }

    /// Returns an open connection, or null when none could be opened in time.
    boost::asio::awaitable<http_connection_ptr> openConnection(utils::server_id server)
    {
        http_connection_ptr pooled = m_context.pool.take(server, now());
        if (pooled) {
            m_scope->setConnection(pooled);
            co_return pooled;
        }
        const catalogue::backend_server* entry = m_context.servers.find(server);
        const auto endpoint = entry == nullptr ? std::nullopt : wire::parseEndpoint(entry->address);
        if (!endpoint)
            co_return nullptr;
        const auto connection = std::make_shared<http_connection>(m_context.executor);
        m_connectError = co_await connectWithin(m_scope, connection, *endpoint);
        if (m_connectError.empty()) {
            m_context.recordConnect(server, m_connectError, now());
            co_return connection;
        }
        if (m_scope->reason() == stop_reason::None) {
            m_context.recordConnect(server, m_connectError, now());
            m_context.health.unreachable(server, now());
            m_context.coldStarts.recordUnreachable(server, now());
        }
        co_return nullptr;
    }

    /// Counts the send, and takes it from the retry budget if it is a retry. False when the budget is used
    /// up.
    bool spendRetryBudget()
    {
        decisions::repeat_allowance& repeats = m_context.repeatsOf(m_plan.service);
        if (!m_record.isRetry()) {
            repeats.forwarded(now());
            return true;
        }
        return std::exchange(m_isRetryPaid, false) || repeats.trySpend(now());
    }

    /// Returns the prompt tokens that the chosen server must prefill: those that it neither has in its KV
    /// cache nor copies.
    std::uint32_t unreadTokens(const copy_source& source) const
    {
        const std::uint32_t known = m_result.placement.heldTokens + source.tokens;
        return m_plan.promptTokens - std::min(m_plan.promptTokens, known);
    }

    server_request makeRequest(const catalogue::backend_server& server, const copy_source& source)
    {
        server_request request;
        request.serverId = server.id.str();
        request.workspace = m_plan.workspace;
        request.callerTimeLeft = std::max(utils::duration::zero(), m_plan.callerDeadline - now());
        request.lastEventId = m_relay.lastEventId();
        request.priority = m_plan.urgency;
        request.isPrompt = m_plan.isEngine;
        m_result.copiedFrom = {};
        if (source.server != nullptr) {
            request.copyFrom = source.server->address;
            m_result.copiedFrom = source.server->id;
        }
        return request;
    }

    /// Ends a request without a successful attempt: closes the connection if the caller is gone or a response
    /// has begun, else sends the kept error response or an error of this node.
    boost::asio::awaitable<void> endWithoutResponse()
    {
        if (m_result.stopReason == stop_reason::CallerGone) {
            m_result.failure = utils::makeFailure(utils::error_kind::CallerGone);
            m_writer.closeAfterResponse();
            co_return;
        }
        if (m_writer.hasBegun()) {
            m_result.isTruncated = true;
            m_result.failure = utils::makeFailure(utils::error_kind::AnswerCut);
            m_writer.closeAfterResponse();
            co_return;
        }
        if (m_relay.hasFallback()) {
            const attempt_outcome outcome = co_await m_relay.sendFallback();
            if (outcome == attempt_outcome::Answered) {
                m_result.lastOutcome = outcome;
                co_return;
            }
        }
        if (m_relay.hasPeerRefusal() && m_record.hasProvablyNotRun()
            && m_result.stopReason == stop_reason::None) {
            m_result.failure = utils::makeFailure(m_lastRefusal);
            (void)co_await m_relay.sendPeerRefusal();
            co_return;
        }
        const utils::failure failure = failureOf(
            { m_context, m_plan, m_record, m_result }, m_admission == crash_admission::Wait, m_requestNumber);
        m_result.failure = failure;
        co_await m_writer.writeFailure(failure);
    }

    // A rejection has a short body, or none. A new connection costs less than a longer one.
    static constexpr discard_limits reclaimLimits { 16384, std::chrono::milliseconds(500) };
    // Attempts that could not connect before the next one goes to a peer.
    static constexpr unsigned failedConnectsBeforeForward = 2;

    node_context& m_context;
    peer_forwarder& m_forwarder;
    stream_directory& m_streams;
    crash_directory& m_crashes;
    crowd_directory& m_crowds;
    const client_request& m_request;
    const request_plan& m_plan;
    std::shared_ptr<stop_scope> m_scope;
    response_writer& m_writer;
    attempt_record m_record;
    std::uint64_t m_requestNumber;
    attempt_tracker m_tracker;
    unsigned m_failedConnects = 0; ///< attempts that could not connect to their server
    std::set<std::string> m_triedPeers;
    utils::error_kind m_lastRefusal = utils::error_kind::NoServer; ///< of a peer
    crash_admission m_admission = crash_admission::Send;
    std::optional<std::uint64_t> m_suspectPart; ///< with SendAlone
    flow_result m_result;
    request_waits m_waits { { m_context, m_plan, m_record, m_result } };
    std::string m_connectError; ///< why the last connection was not opened; empty if it was
    bool m_isRetryPaid = false; ///< the next retry was taken from the budget already
    replacement_search m_replacement;
    response_relay<Wire> m_relay;
};

} // namespace gateway

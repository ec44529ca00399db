#include "requestwaits.h"

#include "gateway/clock.h"

#include <algorithm>
#include <utility>

namespace gateway {

namespace {

// Three windows of the draw leave few nodes without a server.
constexpr utils::duration maxWaitForRoom = 3 * decisions::rejection_limiter::window;
// A node earns some retries a second; longer waits find no server that is better than now.
constexpr utils::duration maxWaitForRetry = std::chrono::seconds(1);
// A node notices within a second that it has lost its path; a crashed server is back after some seconds.
constexpr utils::duration maxWaitForServer = std::chrono::seconds(3);
constexpr utils::duration waitStep = std::chrono::milliseconds(20);
constexpr utils::duration serverWaitStep = std::chrono::milliseconds(50);

} // namespace

request_waits::request_waits(const dependencies& dependencies)
    : m_dependencies(dependencies)
    , m_room(dependencies.context.executor, decisions::rejection_limiter::window / 2)
    , m_retry(dependencies.context.executor, waitStep)
    , m_server(dependencies.context.executor, serverWaitStep)
    , m_verdict(dependencies.context.executor, waitStep)
{
}

bool request_waits::hasServerWithoutRest() const
{
    node_context& context = m_dependencies.context;
    return std::ranges::any_of(context.servers.usable(m_dependencies.plan.service),
        [&](const auto* server) { return !context.isResting(*server, now()); });
}

bool request_waits::mayWaitForRoom() const
{
    const request_plan& plan = m_dependencies.plan;
    return m_dependencies.context.rejections.isLimited(plan.service, now()) && hasServerWithoutRest()
        && m_room.spent() < std::min(maxWaitForRoom, plan.route->targetLatency / 2);
}

bool request_waits::mayWaitForServer(const caller_state& caller) const
{
    if (m_dependencies.record.hasProvablyNotRun() || caller.hasFallback
        || m_server.spent() >= serverLimit(caller))
        return false;
    return std::ranges::any_of(m_dependencies.context.servers.usable(m_dependencies.plan.service),
        [&](const catalogue::backend_server* server) { return mayTakeLater(*server); });
}

utils::duration request_waits::serverLimit(const caller_state& caller) const
{
    const request_plan& plan = m_dependencies.plan;
    if (!caller.hasBegun)
        return std::min(maxWaitForServer, plan.route->targetLatency / 2);
    const auto restEnd
        = earliestRestEnd(m_dependencies.context, plan, m_dependencies.result.streamVersion, now());
    return restEnd && *restEnd < plan.deadline ? utils::duration::max() : maxWaitForServer;
}

bool request_waits::mayTakeLater(const catalogue::backend_server& server) const
{
    const bool isTried = m_triedServers.contains(server.id)
        && std::ranges::find(m_returningServers, server.id) == m_returningServers.end();
    const bound_version& version = m_dependencies.result.streamVersion;
    const bool isOfVersion = !version || decisions::versionKey(server.softwareVersion) == *version;
    return !isTried && isOfVersion
        && isAllowedIn(m_dependencies.plan, m_dependencies.context.options, server.dataCentre);
}

boost::asio::awaitable<void> request_waits::forServer()
{
    co_await m_server.wait();
    for (const utils::server_id& server : std::exchange(m_returningServers, {}))
        m_triedServers.erase(server);
}

bool request_waits::mayWaitForRetry() const
{
    return m_retry.spent() < std::min(maxWaitForRetry, m_dependencies.plan.route->targetLatency / 2);
}

bool request_waits::mayWaitForVerdict(const caller_state& caller) const
{
    return caller.hasBegun || m_verdict.spent() < m_dependencies.plan.route->targetLatency;
}

utils::failure failureOf(
    const request_waits::dependencies& request, bool isWaitingForVerdict, std::uint64_t salt)
{
    node_context& context = request.context;
    const request_plan& plan = request.plan;
    const flow_result& result = request.result;
    const bool hasNotRun = request.record.hasProvablyNotRun();
    const auto restEnd = earliestRestEnd(context, plan, result.streamVersion, now());
    utils::error_kind kind = request.record.finalErrorKind();
    if (kind == utils::error_kind::NoServer && (restEnd || context.rejections.isLimited(plan.service, now())))
        kind = utils::error_kind::QueueFull;
    if (result.isViewTooOld && hasNotRun)
        kind = utils::error_kind::NodeNotCurrent;
    if ((result.isTooLateToSend || result.stopReason == stop_reason::NodeEnds) && hasNotRun)
        kind = utils::error_kind::ShuttingDown;
    else if (result.stopReason == stop_reason::NodeEnds)
        kind = utils::error_kind::AnswerCut;
    if (result.stopReason == stop_reason::DeadlineExceeded)
        kind = hasNotRun ? utils::error_kind::DeadlineUnreachable : utils::error_kind::ServerTimeout;
    if (result.refused)
        kind = result.refused->refusal.kind;
    else if (result.crashFinding && hasNotRun)
        kind = utils::error_kind::RequestCrashesServers;
    else if (isWaitingForVerdict && hasNotRun)
        kind = utils::error_kind::QueueFull;
    else if (result.origin.source == decisions::origin_source::Unknown)
        kind = utils::error_kind::StreamOriginUnknown;
    else if (kind == utils::error_kind::NoServer && result.streamVersion
        && !isVersionServed(context, plan, *result.streamVersion))
        kind = utils::error_kind::StreamVersionGone;
    utils::failure failure = utils::makeFailure(kind);
    if (result.refused)
        failure.retryAfter = result.refused->refusal.retryAfter;
    else if (utils::answerFor(kind).hasRetryAfter)
        failure.retryAfter
            = retryAfterFor(kind, salt) + (restEnd ? *restEnd - now() : utils::duration::zero());
    if (restEnd && kind == utils::error_kind::QueueFull)
        failure.detail = "all backend servers have asked for rest";
    return failure;
}

} // namespace gateway

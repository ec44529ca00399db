#include "requestplan.h"

#include "gateway/load/workmessage.h"

#include "utils/hashing.h"

#include <algorithm>

namespace gateway {

namespace {

using utils::error_kind;

// Without evidence from the store for this long, a node may not know routes and keys that are in force. A
// watch of two seconds proves at its end what held at its start, so evidence is up to four seconds old.
constexpr utils::duration evidenceLifetime = std::chrono::seconds(5);
// Timeout of a short response, as a factor on the target latency: beyond its target it is late anyway, and
// half of the target more covers the slow tail of the work.
constexpr double shortResponseTimeoutFactor = 1.5;
// Timeout of a first event, as a factor on the target latency: it may take as long as the prompts queued
// before it, and callers leave after four times the target.
constexpr double firstEventTimeoutFactor = 1.5;
// Twice the longest gap of a stream that is on time, but at least as long as a preempted run may pause.
constexpr double eventGapTimeoutFactor = 2;
constexpr utils::duration minEventGapTimeout = std::chrono::milliseconds(1000);
// An engine without a free slot frees one within about a second; a crashed server is back after some seconds.
constexpr utils::duration queueFullRetryAfter = std::chrono::milliseconds(400);
constexpr utils::duration defaultRetryAfter = std::chrono::milliseconds(300);
// Another node can serve the request, or this one can within some tens of milliseconds of its start.
constexpr utils::duration otherNodeRetryAfter = std::chrono::milliseconds(60);
// A copy that takes longer than this share of the prefill time saves too little.
constexpr double maxCopyTimeShare = 0.5;
// Part of the drain time in which a draining server still gets requests that are bound to its version. The
// rest covers the delay of the news and of the request.
constexpr int drainTimeDivisor = 4;
// Refused callers are told to retry after one to two times the base time, so that they do not all return at
// the same time.
constexpr double retryJitter = 1.0;

/// Returns `kind` if the configuration is known to be current, else NodeNotCurrent.
error_kind errorUnlessStale(const node_context& context, error_kind kind, utils::time_point now)
{
    const bool isCurrent = now - context.evidenceAt <= evidenceLifetime;
    return isCurrent ? kind : error_kind::NodeNotCurrent;
}

/// Whether engines copy the KV cache of `tokens` from each other well faster than they prefill them.
bool isCopyWorthwhile(
    const catalogue::engine_traits& engine, std::uint32_t tokens, const decisions::response_times& times)
{
    const auto copyTime = engine.copyTime(tokens);
    return copyTime && utils::toSeconds(*copyTime) < maxCopyTimeShare * tokens * times.secondsPerToken();
}

/// Picks a service by the weights of the route's shares, always the same one for the same salt.
const std::string& pickService(const catalogue::route& route, std::uint64_t salt)
{
    unsigned total = 0;
    for (const catalogue::service_share& share : route.shares)
        total += share.weight;
    if (total == 0)
        return route.shares.front().service;
    std::uint64_t at = salt % total;
    for (const catalogue::service_share& share : route.shares) {
        if (at < share.weight)
            return share.service;
        at -= share.weight;
    }
    return route.shares.back().service;
}

decisions::body_digest digestOf(const client_request& request, const std::string& workspace)
{
    std::string identity = workspace + '\n' + request.method + ' ' + request.host + request.target + '\n';
    if (request.body)
        identity += *request.body;
    return decisions::digestOf(identity);
}

utils::duration baseRetryAfter(error_kind kind)
{
    switch (kind) {
    case error_kind::QueueFull:
        return queueFullRetryAfter;
    case error_kind::ShuttingDown:
    case error_kind::NodeNotCurrent:
        return otherNodeRetryAfter;
    default:
        return defaultRetryAfter;
    }
}

/// Returns the regions that both lists allow; an empty list allows all.
std::optional<std::set<std::string>> commonRegions(
    const std::vector<std::string>& first, const std::vector<std::string>& second)
{
    if (first.empty() && second.empty())
        return std::nullopt;
    std::set<std::string> regions;
    for (const std::string& region : first.empty() ? second : first) {
        if (second.empty() || std::ranges::find(second, region) != second.end())
            regions.insert(region);
    }
    return regions;
}

decisions::server_candidate candidateOf(
    const catalogue::backend_server& server, const request_plan& plan, double weight, double failures = 0)
{
    return { server.id, server.dataCentre, server.slots, weight, plan.cacheTokens, server.startedAtMs,
        failures };
}

bool isWeighted(const decisions::server_candidate& candidate)
{
    return candidate.weight > 0;
}

/// Leaves out the usable candidates that are to be avoided for the moment, if there are others.
void preferOthers(
    node_context& context, std::vector<decisions::server_candidate>& candidates, utils::time_point now)
{
    const auto isPreferred = [&](const decisions::server_candidate& candidate) {
        return isWeighted(candidate)
            && !context.rests.isAvoided({ candidate.id, candidate.startedAtMs }, now);
    };
    if (std::ranges::none_of(candidates, isPreferred))
        return;
    for (decisions::server_candidate& candidate : candidates) {
        if (!isPreferred(candidate))
            candidate.weight = 0;
    }
}

/// Leaves one of the usable candidates, by rendezvous hashing of the part.
void keepFirstRanked(std::vector<decisions::server_candidate>& candidates, std::uint64_t part)
{
    const auto rank = [part](const decisions::server_candidate& candidate) {
        return std::pair(!isWeighted(candidate), utils::hash64(candidate.id.str(), part));
    };
    const auto first = std::ranges::min_element(candidates, {}, rank);
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
        if (it != first)
            it->weight = 0;
    }
}

bool isOfVersion(const catalogue::backend_server& server, decisions::version_key version)
{
    return decisions::versionKey(server.softwareVersion) == version;
}

/// Whether a server that drains may still get requests that no other server can take.
bool mayTakeWhileDraining(
    const node_context& context, const catalogue::backend_server& server, utils::time_point now)
{
    const auto drainingFor = context.servers.drainingFor(server.id, now);
    return drainingFor && *drainingFor <= context.options.drainTime / drainTimeDivisor
        && !context.servers.isEvacuated(server.dataCentre);
}

/// Leaves out the servers at which no stream should begin, because their version is not recorded yet.
void keepRecorded(const node_context& context, const std::string& service,
    std::vector<const catalogue::backend_server*>& servers)
{
    const auto isRecorded = [&](const catalogue::backend_server* server) {
        return context.versions.isRecorded(service, server->softwareVersion);
    };
    if (std::ranges::any_of(servers, isRecorded))
        std::erase_if(servers, [&](const auto* server) { return !isRecorded(server); });
}

/// The servers among which a request may be placed. Draining ones only where no other has the version that
/// the request is bound to.
std::vector<const catalogue::backend_server*> serversFor(const node_context& context,
    const request_plan& plan, const bound_version& version, utils::time_point now)
{
    auto servers = context.servers.usable(plan.service);
    if (!version && plan.route->kind == catalogue::request_kind::Stream)
        keepRecorded(context, plan.service, servers);
    if (!version)
        return servers;
    std::erase_if(servers, [&](const auto* server) { return !isOfVersion(*server, *version); });
    if (!servers.empty())
        return servers;
    servers = context.servers.present(plan.service);
    std::erase_if(servers, [&](const auto* server) {
        return !isOfVersion(*server, *version) || !mayTakeWhileDraining(context, *server, now);
    });
    return servers;
}

/// The servers of the service that are not among the candidates. Precondition: these are ordered by id.
decisions::excluded_servers excludedServers(const node_context& context, const std::string& service,
    const std::vector<decisions::server_candidate>& candidates, utils::time_point now)
{
    decisions::excluded_servers excluded;
    auto next = candidates.begin();
    for (const catalogue::backend_server* server : context.servers.present(service)) {
        while (next != candidates.end() && next->id < server->id)
            ++next;
        if (next != candidates.end() && next->id == server->id)
            continue;
        ++excluded.count;
        excluded.requests += context.loads.total(server->id, now).requests;
    }
    return excluded;
}

} // namespace

utils::result<request_plan> planRequest(
    node_context& context, const client_request& request, utils::time_point now)
{
    if (!context.configuration)
        return utils::fail(error_kind::NodeNotCurrent, "no configuration is in force here yet");
    if (request.hop && request.hop->configurationVersion > context.configuration->version)
        return utils::fail(error_kind::NodeNotCurrent, "the forwarding node has a newer configuration");
    request_plan plan;
    plan.configuration = context.configuration;
    plan.route = plan.configuration->findRoute(request.host, request.target);
    if (plan.route == nullptr)
        return utils::fail(errorUnlessStale(context, error_kind::UnknownRoute, now), "no route");
    plan.urgency = plan.configuration->urgencyOf(*plan.route, nullptr);
    plan.regions = commonRegions(plan.route->regions, {});
    if (plan.configuration->needsKeys && !plan.route->isPublic) {
        const catalogue::workspace* workspace = plan.configuration->findWorkspace(request.key);
        if (workspace == nullptr)
            return utils::fail(
                errorUnlessStale(context, error_kind::UnknownTeam, now), "no workspace has the key");
        plan.workspace = workspace->name;
        plan.regions = commonRegions(plan.route->regions, workspace->regions);
        plan.urgency = plan.configuration->urgencyOf(*plan.route, workspace);
    }
    const utils::duration callerTimeout = request.callerTimeout.value_or(plan.route->timeout);
    plan.callerDeadline = request.arrivedAt + callerTimeout;
    plan.deadline = request.arrivedAt + std::min(callerTimeout, plan.route->timeout);
    if (!context.window.mayPassOn(plan.deadline, now))
        return utils::fail(error_kind::ShuttingDown, "this node is leaving");
    plan.service = pickService(*plan.route, utils::hash64(request.requestId));
    const catalogue::service* service = plan.configuration->findService(plan.service);
    if (service != nullptr)
        plan.coldStart = service->coldStart;
    if (service != nullptr && service->engine) {
        plan.isEngine = true;
        plan.cacheTokens = service->engine->cacheTokens;
        plan.promptTokens = request.promptTokens;
        plan.copiesPrompts
            = isCopyWorthwhile(*service->engine, plan.promptTokens, context.responseTimesOf(plan.service));
        plan.parts = request.prompt;
        plan.outputHint = request.outputHint;
    }
    plan.suspects = decisions::suspectsOf(plan.sharedParts(), digestOf(request, plan.workspace));
    return plan;
}

bool isAllowedIn(const request_plan& plan, const node_options& options, const std::string& dataCentre)
{
    if (!plan.regions)
        return true;
    const auto region = options.regions.find(dataCentre);
    return region != options.regions.end() && plan.regions->contains(region->second);
}

bool maySendTo(node_context& context, const request_plan& plan, const catalogue::backend_server& server,
    const bound_version& version, utils::time_point now)
{
    if (version && !isOfVersion(server, *version))
        return false;
    const auto hasRoom = [&] {
        const decisions::load_total load = context.loads.total(server.id, now);
        const double unheard = (context.loads.peerScale(now) - 1) * load.peerRequests;
        const double requests = load.requests + (load.isReported ? 0 : unheard);
        return context.rejections.maySend(plan.service, server.id, requests, server.slots, now);
    };
    return (context.servers.isUsable(server.id) || (version && mayTakeWhileDraining(context, server, now)))
        && isAllowedIn(plan, context.options, server.dataCentre) && !context.isResting(server, now)
        && (!context.rejections.isLimited(plan.service, now) || hasRoom())
        && (!context.isCold(server.id, plan.coldStart, now)
            || context.coldStarts.maySend(server.id, plan.coldStart->requestsPerSecond, now));
}

std::optional<decisions::placement> chooseServer(node_context& context, const request_plan& plan,
    const choice_constraints& constraints, utils::time_point now)
{
    std::vector<decisions::server_candidate> candidates;
    for (const catalogue::backend_server* server : serversFor(context, plan, constraints.version, now)) {
        if (constraints.tried.contains(server->id) || !isAllowedIn(plan, context.options, server->dataCentre))
            continue;
        // A weight of zero keeps the server in the mean load by which the others are bounded.
        const double weight = maySendTo(context, plan, *server, constraints.version, now)
            ? context.health.weight(plan.service, server->id, now)
            : 0;
        candidates.push_back(candidateOf(*server, plan, weight, context.failures.countAt(server->id, now)));
        candidates.back().slowdown = context.pace.slowdown(server->id, now);
    }
    preferOthers(context, candidates, now);
    if (constraints.suspectPart)
        keepFirstRanked(candidates, *constraints.suspectPart);
    // No other server may go on with the stream, so one that is avoided otherwise is better than none.
    if (constraints.version && std::ranges::none_of(candidates, isWeighted)) {
        for (decisions::server_candidate& candidate : candidates) {
            const catalogue::backend_server* server = context.servers.find(candidate.id);
            if (maySendTo(context, plan, *server, constraints.version, now)
                && !context.health.isInBackoff(candidate.id, now))
                candidate.weight = 1;
        }
    }
    // If all servers look unresponsive, the fault is most likely on the side of this node.
    const auto isResponsive = [&](const auto& candidate) {
        const bool isSilent = context.isSilent(plan.service, candidate.id, now);
        if (isSilent && constraints.trace != nullptr)
            constraints.trace->silent.insert(candidate.id);
        else if (isSilent)
            context.reachability.suspected(plan.service, candidate.id);
        return !isSilent;
    };
    if (std::ranges::any_of(candidates, isResponsive))
        std::erase_if(candidates, [&](const auto& candidate) { return !isResponsive(candidate); });
    else if (constraints.trace != nullptr)
        constraints.trace->silent.clear();
    decisions::placement_query query { plan.parts, plan.promptTokens, context.options.dataCentre,
        constraints.salt, plan.urgency, plan.route->targetLatency, context.responseTimesOf(plan.service) };
    if (plan.isEngine)
        query.excluded = excludedServers(context, plan.service, candidates, now);
    query.crowdPlace = constraints.crowdPlace;
    if (constraints.trace != nullptr)
        return context.choice.choose(candidates, query, context.loads, now, &constraints.trace->costs);
    auto chosen = context.choice.choose(candidates, query, context.loads, now);
    if (chosen && chosen->view)
        context.boundViews[plan.service] = *chosen->view;
    return chosen;
}

std::optional<utils::time_point> earliestRestEnd(
    node_context& context, const request_plan& plan, const bound_version& version, utils::time_point now)
{
    std::optional<utils::time_point> earliest;
    for (const catalogue::backend_server* server : serversFor(context, plan, version, now)) {
        if (!isAllowedIn(plan, context.options, server->dataCentre))
            continue;
        const auto until = context.rests.askedUntil(processOf(*server), now);
        if (!until)
            return std::nullopt;
        earliest = std::min(earliest.value_or(*until), *until);
    }
    return earliest;
}

bool isVersionServed(const node_context& context, const request_plan& plan, decisions::version_key version)
{
    const auto isServing = [&](const auto* server) {
        return !context.servers.isDraining(server->id) && isOfVersion(*server, version);
    };
    return std::ranges::any_of(context.servers.present(plan.service), isServing)
        || std::ranges::any_of(context.servers.usable(plan.service), isServing);
}

namespace {

/// The room of a service: the slots and the load of the servers that may get requests of this node.
decisions::service_room roomOf(node_context& context, const request_plan& plan, utils::time_point now)
{
    const std::string& service = plan.service;
    decisions::service_room room;
    room.livePeers = context.peerCount;
    const utils::duration target
        = context.shedders[service].shortestTarget().value_or(plan.route->targetLatency);
    room.patience = utils::toSeconds(target) / context.responseTimesOf(service).occupancySeconds();
    const double unheard = context.loads.peerScale(now) - 1;
    for (const catalogue::backend_server* server : context.servers.usable(service)) {
        if (context.health.weight(service, server->id, now) <= 0 || context.isResting(*server, now))
            continue;
        const decisions::load_total load = context.loads.total(server->id, now);
        room.slots += server->slots;
        room.requests += load.requests + (load.isReported ? 0 : unheard * load.peerRequests);
    }
    return room;
}

decisions::work_query workOf(const request_plan& plan, const overload_forecast& forecast)
{
    return { workspaceHash(plan.workspace), plan.urgency, forecast.work, forecast.query.hash };
}

} // namespace

overload_forecast forecastOverload(node_context& context, const client_request& request,
    const request_plan& plan, const decisions::placement& chosen, utils::time_point now)
{
    overload_forecast forecast;
    const catalogue::backend_server* server = context.servers.find(chosen.server);
    if (server == nullptr)
        return forecast;
    const decisions::response_times& times = context.responseTimesOf(plan.service);
    const std::uint32_t unread = plan.promptTokens - std::min(plan.promptTokens, chosen.heldTokens);
    decisions::shed_query& query = forecast.query;
    query.slotWait = context.slotWait(plan.service, *server, chosen.load.requests, queueUrgency(plan), now);
    query.queueing = query.slotWait + times.forecast(chosen.load.promptTokens).expected();
    query.expectedAnswer = query.slotWait + times.forecast(chosen.load.promptTokens + unread).expected();
    query.loopDelay = context.loopDelay.perRequest();
    query.target = plan.route->targetLatency;
    query.timeLeft = plan.deadline - now;
    query.urgency = plan.urgency;
    query.hash = utils::hash64(request.requestId);
    forecast.work = utils::toSeconds(times.forecast(unread).prefill)
        + context.workOf(plan.service).forecast(plan.route->name, plan.outputHint);
    // Plain services have no order of their own, and short queues: what waits there is soon served.
    if (plan.isEngine)
        forecast.admission = context.overload[plan.service].shareOf(workOf(plan, forecast));
    query.hasShare = forecast.admission.isShared;
    const decisions::load_shedder& shedder = context.shedders[plan.service];
    forecast.limit = shedder.limitFor(query.urgency, query.target);
    forecast.mustWaitTooLong = shedder.mustRefuse(query);
    return forecast;
}

std::optional<overload_refusal> refuseOverload(node_context& context, const client_request& request,
    const request_plan& plan, const decisions::placement& chosen, utils::time_point now)
{
    if (context.servers.find(chosen.server) == nullptr)
        return std::nullopt;
    decisions::load_shedder& shedder = context.shedders[plan.service];
    shedder.recordTarget(plan.urgency, plan.route->targetLatency);
    decisions::overload_control& control = context.overload[plan.service];
    if (plan.isEngine && control.isDue(now))
        control.update(roomOf(context, plan, now), now);
    overload_forecast forecast = forecastOverload(context, request, plan, chosen, now);
    // The rest of a stream that has begun, and a request that has been sent before, cost more than a new one.
    const bool isResumed = plan.route->kind == catalogue::request_kind::Stream && request.lastEventId;
    const bool isSentBefore = request.hop && request.hop->earlierSent > 0;
    if (plan.isEngine && !isSentBefore)
        control.record(workOf(plan, forecast), now);
    const bool isAdmitted = isResumed || isSentBefore
        || decisions::overload_control::isAdmitted(forecast.admission, forecast.query.hash);
    const std::optional<decisions::refusal> refusal
        = isAdmitted ? shedder.decide(forecast.query, now) : shedder.refuse(forecast.query.hash, now);
    if (!refusal)
        return std::nullopt;
    if (isAdmitted)
        forecast.admission.bound = decisions::admission_bound::None;
    context.metrics.countOverload(plan.service, decisions::toString(forecast.admission.bound));
    return overload_refusal { *refusal, forecast };
}

copy_source copySource(node_context& context, const request_plan& plan,
    const catalogue::backend_server& chosen, utils::time_point now)
{
    if (!plan.copiesPrompts || plan.parts.empty())
        return {};
    std::vector<decisions::server_candidate> holders;
    for (const catalogue::backend_server* server : context.servers.present(plan.service)) {
        // A copy from a server that is down would block until that server is back.
        // What servers of different versions hold does not fit together.
        if (server->softwareVersion == chosen.softwareVersion
            && !context.isSilent(plan.service, server->id, now)
            && !context.health.isInBackoff(server->id, now) && !context.isResting(*server, now)
            && isAllowedIn(plan, context.options, server->dataCentre))
            holders.push_back(candidateOf(*server, plan, 1));
    }
    const decisions::server_candidate candidate = candidateOf(chosen, plan, 1);
    const auto source = context.choice.sourceFor(candidate, holders, plan.parts);
    const std::uint32_t tokens = source ? source->tokens : 0;
    if (const auto presumed = context.choice.presumedSourceFor(candidate, holders, plan.parts, tokens))
        return { context.servers.find(*presumed), 0 };
    return source ? copy_source { context.servers.find(source->server), tokens } : copy_source();
}

int queueUrgency(const request_plan& plan)
{
    static_assert(catalogue::configuration::urgencyLevels <= decisions::urgencyLevels);
    return plan.isEngine ? plan.urgency : decisions::urgencyLevels - 1;
}

utils::duration firstResponseTimeout(const request_plan& plan)
{
    const bool isStream = plan.route->kind == catalogue::request_kind::Stream;
    const double factor = isStream ? firstEventTimeoutFactor : shortResponseTimeoutFactor;
    return utils::fromSeconds(utils::toSeconds(plan.route->targetLatency) * factor);
}

utils::duration eventGapTimeout(const request_plan& plan)
{
    const auto gap = utils::fromSeconds(utils::toSeconds(plan.route->targetGap) * eventGapTimeoutFactor);
    return std::max(gap, minEventGapTimeout);
}

utils::duration retryAfterFor(utils::error_kind kind, std::uint64_t salt)
{
    const utils::duration pause = baseRetryAfter(kind);
    const double part = utils::toUnitInterval(utils::combineHashes(salt, static_cast<std::uint64_t>(kind)));
    return utils::fromSeconds(utils::toSeconds(pause) * (1 + retryJitter * part));
}

} // namespace gateway

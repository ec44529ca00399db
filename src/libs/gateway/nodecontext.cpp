#include "nodecontext.h"

#include "clock.h"

#include "utils/eventlog.h"
#include "utils/hashing.h"

#include <algorithm>

namespace gateway {

namespace {

// Entries that lapsed in a store outage are renewed within about two seconds of its end if their servers are
// alive.
constexpr utils::duration settleTime = std::chrono::milliseconds(1900);
// Idle connections cost memory at the backend server; a connection that is needed is reused within seconds.
constexpr utils::duration idleConnectionTimeout = std::chrono::seconds(20);
// Nodes assumed to share the fixed part of the repeats unless there are more: a small fleet and its spares.
constexpr unsigned minNodes = 9;

decisions::outlier_limits healthLimits()
{
    decisions::outlier_limits limits;
    // Calls of one kind fail on their own at a rate of up to one in seven: five failures in a row have a
    // probability of one in 17,000.
    limits.consecutiveFailures = 5;
    limits.ejection = std::chrono::seconds(2); // a crashed server is back after some seconds
    limits.maxEjection = std::chrono::seconds(10);
    limits.ramp = std::chrono::seconds(3);
    return limits;
}

decisions::window_limits windowLimits(utils::duration grace)
{
    decisions::window_limits limits;
    limits.grace = grace;
    return limits;
}

} // namespace

node_context::node_context(boost::asio::any_io_executor ioExecutor, node_options nodeOptions)
    : executor(std::move(ioExecutor))
    , options(std::move(nodeOptions))
    , startedAt(now())
    , servers(settleTime)
    , health(healthLimits())
    , reachability(utils::hash64(options.name))
    , coldStarts(startedAt)
    , rejections(startedAt)
    , rests(utils::hash64(options.name))
    , pool(idleConnectionTimeout)
    , window(windowLimits(options.stopGrace), startedAt)
{
}

decisions::repeat_allowance& node_context::repeatsOf(const std::string& service)
{
    auto& allowance = repeats.try_emplace(service, options.repeats, 0, startedAt).first->second;
    if (const unsigned nodes = fleetSize.nodes(); nodes > 0)
        allowance.setNodes(std::max(nodes, minNodes));
    return allowance;
}

decisions::response_times& node_context::responseTimesOf(const std::string& service)
{
    const auto found = responseTimes.find(service);
    if (found != responseTimes.end())
        return found->second;
    return responseTimes[service] = decisions::response_times(initialOccupancy(service));
}

decisions::request_work& node_context::workOf(const std::string& service)
{
    return work.try_emplace(service, initialOccupancy(service)).first->second;
}

double node_context::crowdShareOf(const std::string& service)
{
    const decisions::bound_view idle { 0, 0, decisions::server_choice::boundExtra };
    const decisions::bound_view& view = boundViews.try_emplace(service, idle).first->second;
    return decisions::server_choice::crowdShareOf(view, responseTimesOf(service));
}

utils::duration node_context::initialOccupancy(const std::string& service) const
{
    const catalogue::service* entry = configuration ? configuration->findService(service) : nullptr;
    const bool isEngine = entry != nullptr && entry->engine;
    return isEngine ? decisions::response_times::initialStreamOccupancy
                    : decisions::response_times::initialOccupancy;
}

utils::duration node_context::slotWait(const std::string& service, const catalogue::backend_server& server,
    std::uint32_t requests, int urgency, utils::time_point present)
{
    const utils::duration usual
        = responseTimesOf(service).slotWait(requests, server.slots, urgency, overload[service].fill());
    return utils::fromSeconds(utils::toSeconds(usual) * pace.slowdown(server.id, present));
}

utils::duration node_context::peerPrefillTime(
    const std::string& service, const utils::server_id& server, utils::time_point present) const
{
    const auto times = responseTimes.find(service);
    const std::uint32_t tokens = loads.maxPeerPromptTokens(server, present);
    if (times == responseTimes.end() || tokens == 0)
        return utils::duration::zero();
    return times->second.forecast(tokens).latest();
}

bool node_context::isSilent(
    const std::string& service, const utils::server_id& server, utils::time_point present) const
{
    return silence.isSilent(server, present)
        && silence.isSilent(server, present, peerPrefillTime(service, server, present));
}

std::vector<std::string> node_context::quietServices(utils::time_point present) const
{
    std::map<std::string, std::pair<unsigned, unsigned>> counts; // quiet and heard servers
    for (const auto& quietTime : silence.quietTimes(present)) {
        const catalogue::backend_server* server = servers.find(quietTime.server);
        const bool isQuiet = quietTime.time > decisions::silence_detector::minLimit;
        // A server that has just got its first request is neither.
        if (server == nullptr || (!isQuiet && !quietTime.hasSentData))
            continue;
        auto& [quiet, heard] = counts[server->service];
        ++(isQuiet ? quiet : heard);
    }
    std::vector<std::string> services;
    for (const auto& [service, count] : counts) {
        if (count.first > count.second)
            services.push_back(service);
    }
    return services;
}

bool node_context::isCold(const utils::server_id& server,
    const std::optional<catalogue::cold_start_traits>& traits, utils::time_point present) const
{
    if (!traits)
        return false;
    return present < servers.coldUntil(server, traits->length)
        || coldStarts.isSuspect(server, traits->length, present);
}

bool node_context::isResting(const catalogue::backend_server& server, utils::time_point present)
{
    return rests.askedUntil(processOf(server), present).has_value();
}

void node_context::learnPlacement(const decisions::placement_update& note)
{
    const catalogue::backend_server* server = servers.find(utils::server_id(note.server));
    if (server == nullptr || !configuration)
        return;
    const catalogue::service* service = configuration->findService(server->service);
    if (service != nullptr && service->engine)
        choice.applyUpdate(note, service->engine->cacheTokens);
}

bool node_context::isViewTooOld(utils::time_point present) const
{
    // The other half covers the delay of the notification to this node and of the request to the server.
    return viewLag.behindFor(present) > std::min(options.drainTime, options.evacuationTime) / 2;
}

void node_context::recordConnect(
    const utils::server_id& server, const std::string& error, utils::time_point present)
{
    const catalogue::backend_server* entry = servers.find(server);
    if (entry == nullptr)
        return;
    const std::string& service = entry->service;
    const std::size_t usable = servers.usable(service).size();
    metrics.countConnect(service, error.empty());
    const bool isChanged = error.empty() ? reachability.connected(service, server, usable, present)
                                         : reachability.failed(service, server, usable, present);
    if (!isChanged)
        return;
    const utils::event id = error.empty() ? utils::event::ServiceReached : utils::event::ServiceCutOff;
    utils::logEvent(id,
        { { "service", service }, { "server", server.str() }, { "usable", std::to_string(usable) },
            { "connect", error.empty() ? "accepted" : error } });
    if (error.empty())
        resetServers(service);
    else
        suspectOtherServices(service);
}

void node_context::resetServers(const std::string& service)
{
    std::vector<utils::server_id> ids;
    for (const catalogue::backend_server* server : servers.usable(service)) {
        ids.push_back(server->id);
        // Whether a connection from before has lost bytes cannot be seen.
        pool.drop(server->id);
    }
    health.reset(service, ids);
}

void node_context::suspectOtherServices(const std::string& service)
{
    failures.discardUpdates();
    if (!configuration)
        return;
    for (const auto& [name, other] : configuration->services) {
        const auto usable = servers.usable(name);
        if (name != service && !usable.empty())
            reachability.suspected(name, usable.front()->id);
    }
}

void node_context::updateServers()
{
    versions.observe(servers.softwareVersions(), now());
    if (!configuration)
        return;
    for (const auto& [name, service] : configuration->services) {
        std::vector<utils::server_id> ids;
        for (const catalogue::backend_server* server : servers.usable(name))
            ids.push_back(server->id);
        health.setServers(name, ids);
    }
}

} // namespace gateway

#include "nodemetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace gateway {

namespace {

using counter_family = prometheus::Family<prometheus::Counter>;
using gauge_family = prometheus::Family<prometheus::Gauge>;
using histogram_family = prometheus::Family<prometheus::Histogram>;

// Latency targets lie between 0.3 and 1.5 s, so the buckets are dense around them.
const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1,
    1.5, 2.5, 5, 10, 15 };

constexpr std::string_view answered = "answered";

std::string str(std::string_view view)
{
    return std::string(view);
}

} // namespace

struct node_metrics::data {
    prometheus::Registry registry;

    counter_family& counters(const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }
    histogram_family& histograms(const char* name, const char* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }
    prometheus::Gauge& gauge(const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    counter_family& requests
        = counters("lycheefront_requests_total", "Requests ended, by service and outcome");
    counter_family& attempts
        = counters("lycheefront_attempts_total", "Attempts at backend servers, by service and end");
    counter_family& repeats
        = counters("lycheefront_repeats_total", "Attempts sent that were retries at the service");
    counter_family& overload = counters(
        "lycheefront_overload_refusals_total", "Requests refused for lack of room, by service and bound");
    counter_family& resumptions = counters("lycheefront_stream_resumptions_total",
        "Streams resumed by callers, by service, source of the origin and end");
    counter_family& crowdPlaces = counters("lycheefront_crowd_places_total",
        "Requests with a shared part, by service and what the home of the part has said");
    counter_family& loadNotices = counters("lycheefront_load_notices_total",
        "Reports of engines above the bound on their load that were passed on to all nodes, by service");
    counter_family& coldRequests
        = counters("lycheefront_cold_requests_total", "Requests sent to backend servers that were cold");
    counter_family& rests = counters(
        "lycheefront_server_rests_total", "Answers in which a backend server asks for rest, by service");
    counter_family& requestsInRest = counters("lycheefront_requests_in_rest_total",
        "Requests sent to a backend server that wants none from this node, by service");
    counter_family& connects = counters(
        "lycheefront_server_connects_total", "Connections opened to backend servers, by service and end");
    counter_family& forwards
        = counters("lycheefront_forwarded_requests_total", "Requests forwarded to peers, by service and end");
    counter_family& cutAnswers = counters("lycheefront_answers_cut_total",
        "Responses of which callers received only the beginning, by service and cause");
    counter_family& stalls = counters("lycheefront_attempts_stalled_total",
        "Attempts that receive no data and are not replaced, by service and reason");
    prometheus::Counter& closedUnread = counters("lycheefront_connections_closed_unread_total",
        "Callers' connections closed unread, since this node has more than it can do and others have less")
                                            .Add({});
    counter_family& storeCalls
        = counters("lycheefront_store_calls_total", "Calls to the store, by kind and end");
    counter_family& heartbeats = counters("lycheefront_peer_beats_total", "Beats sent and received");
    counter_family& fetches
        = counters("lycheefront_view_fetches_total", "Copies of the store's view asked of peers");
    histogram_family& seconds
        = histograms("lycheefront_request_seconds", "Time from a request's first byte to its end");
    histogram_family& firstEvents = histograms(
        "lycheefront_first_event_seconds", "Time from a request's first byte to its first event");
    histogram_family& viewAge = histograms("lycheefront_server_view_age_seconds",
        "Age of the view of the backend servers right before a request was sent");
    prometheus::Gauge& version
        = gauge("lycheefront_configuration_version", "Version of the configuration in force");
    prometheus::Gauge& evidence = gauge("lycheefront_configuration_evidence_seconds",
        "Time since the configuration in force was known to be the newest");
    prometheus::Gauge& behind = gauge("lycheefront_server_view_behind_seconds",
        "Time since changes of backend servers were known to be missing");
    prometheus::Gauge& usable = gauge("lycheefront_servers_usable", "Backend servers that take requests");
    prometheus::Gauge& known = gauge("lycheefront_servers_known", "Backend servers with an entry");
    prometheus::Gauge& evacuated
        = gauge("lycheefront_data_centres_evacuated", "Data centres whose backend servers get no requests");
    prometheus::Gauge& resting = gauge(
        "lycheefront_servers_resting", "Backend servers that want no requests from this node for a while");
    prometheus::Gauge& cutOff
        = gauge("lycheefront_services_cut_off", "Services whose backend servers this node cannot connect to");
    prometheus::Gauge& peers = gauge("lycheefront_peers", "Other nodes heard lately");
    prometheus::Gauge& fleetNodes = gauge(
        "lycheefront_fleet_nodes", "Nodes that share the fleet's bounds, this one included; 0 while unknown");
    prometheus::Gauge& inProgress = gauge("lycheefront_requests_in_progress", "Requests under way");
    prometheus::Gauge& idle
        = gauge("lycheefront_idle_connections", "Connections to backend servers in no use");
    prometheus::Gauge& streamOrigins = gauge("lycheefront_stream_origins",
        "Streams whose software version is known here, of this node and of peers");
    prometheus::Gauge& streamOriginsDropped = gauge(
        "lycheefront_stream_origins_dropped", "Streams that were dropped before their time for lack of room");
    prometheus::Gauge& undecidedLosses
        = gauge("lycheefront_undecided_losses", "Lost attempts whose server may have crashed");
    prometheus::Gauge& partStrikes
        = gauge("lycheefront_part_strikes", "Strikes against parts of prompts after crashes");
    prometheus::Gauge& crashingParts = gauge(
        "lycheefront_crashing_parts", "Parts of prompts that are refused because servers crash under them");
    prometheus::Gauge& descriptors = gauge("process_open_fds", "Open descriptors");
    prometheus::Gauge& resident = gauge("process_resident_memory_bytes", "Memory held");
    prometheus::Gauge& dropped = gauge("lycheefront_log_lines_dropped", "Lines that nobody read in time");
    prometheus::Gauge& timerLag
        = gauge("lycheefront_work_late_seconds", "How late the last thing due at a set time was done");
    prometheus::Family<prometheus::Gauge>& retriesLeft
        = prometheus::BuildGauge()
              .Name("lycheefront_retries_left")
              .Help("Retries that this node's part of the budget still allows, by service")
              .Register(registry);
    prometheus::Family<prometheus::Gauge>& offered
        = prometheus::BuildGauge()
              .Name("lycheefront_offered_slots")
              .Help("Work that callers offer to a service over all nodes, in slots, as this node knows it")
              .Register(registry);
    prometheus::Family<prometheus::Gauge>& capacity
        = prometheus::BuildGauge()
              .Name("lycheefront_capacity_slots")
              .Help("Work that the backend servers of a service can do, in slots, as this node knows it")
              .Register(registry);
    prometheus::Family<prometheus::Gauge>& heavyWorkspaces
        = prometheus::BuildGauge()
              .Name("lycheefront_heavy_workspaces")
              .Help("Workspaces that are bound to their part of too little room, by service")
              .Register(registry);
    prometheus::Gauge& uptime = gauge("lycheefront_uptime_seconds", "Time since the process started");
    prometheus::Gauge& store = gauge("lycheefront_store_reachable", "1 while the store answers this node");
};

node_metrics::node_metrics()
    : d(std::make_unique<data>())
{
}

node_metrics::~node_metrics() = default;

void node_metrics::countRequest(std::string_view service, std::string_view kind, utils::duration took)
{
    const std::string_view outcome = kind.empty() ? answered : kind;
    d->requests.Add({ { "service", str(service) }, { "outcome", str(outcome) } }).Increment();
    d->seconds.Add({ { "service", str(service) } }, secondsBuckets).Observe(utils::toSeconds(took));
}

void node_metrics::countFirstEvent(std::string_view service, utils::duration took)
{
    d->firstEvents.Add({ { "service", str(service) } }, secondsBuckets).Observe(utils::toSeconds(took));
}

void node_metrics::countAttempt(std::string_view service, attempt_outcome end, bool isRetry)
{
    d->attempts.Add({ { "service", str(service) }, { "end", str(toString(end)) } }).Increment();
    if (isRetry && attempt_record::isSent(end))
        d->repeats.Add({ { "service", str(service) } }).Increment();
}

void node_metrics::countOverload(std::string_view service, std::string_view bound)
{
    d->overload.Add({ { "service", str(service) }, { "bound", str(bound) } }).Increment();
}

void node_metrics::countResumption(std::string_view service, std::string_view source, bool isAnswered)
{
    d->resumptions
        .Add({ { "service", str(service) }, { "origin", str(source) },
            { "end", isAnswered ? "answered" : "failed" } })
        .Increment();
}

void node_metrics::countCrowdPlace(std::string_view service, bool isFurther, bool isAnswered)
{
    const char* const place = isFurther ? "further" : "first";
    d->crowdPlaces.Add({ { "service", str(service) }, { "place", isAnswered ? place : "no_answer" } })
        .Increment();
}

void node_metrics::countLoadNotice(std::string_view service)
{
    d->loadNotices.Add({ { "service", str(service) } }).Increment();
}

void node_metrics::countColdRequest(std::string_view service)
{
    d->coldRequests.Add({ { "service", str(service) } }).Increment();
}

void node_metrics::countRest(std::string_view service)
{
    d->rests.Add({ { "service", str(service) } }).Increment();
}

void node_metrics::countRequestInRest(std::string_view service)
{
    d->requestsInRest.Add({ { "service", str(service) } }).Increment();
}

void node_metrics::countConnect(std::string_view service, bool isAccepted)
{
    d->connects.Add({ { "service", str(service) }, { "end", isAccepted ? "accepted" : "failed" } })
        .Increment();
}

void node_metrics::countClosedUnread()
{
    d->closedUnread.Increment();
}

void node_metrics::countCutAnswer(std::string_view service, cut_cause cause)
{
    d->cutAnswers.Add({ { "service", str(service) }, { "cause", str(toString(cause)) } }).Increment();
}

void node_metrics::countStall(std::string_view service, decisions::stall_reason reason)
{
    d->stalls.Add({ { "service", str(service) }, { "reason", str(toString(reason)) } }).Increment();
}

void node_metrics::countForward(std::string_view service, attempt_outcome end)
{
    d->forwards.Add({ { "service", str(service) }, { "end", str(toString(end)) } }).Increment();
}

void node_metrics::countStoreCall(store_call call, store_status status)
{
    d->storeCalls.Add({ { "call", str(toString(call)) }, { "end", str(toString(status)) } }).Increment();
}

void node_metrics::countHeartbeat(bool isSent)
{
    d->heartbeats.Add({ { "direction", isSent ? "sent" : "received" } }).Increment();
}

void node_metrics::countViewFetch(std::string_view end)
{
    d->fetches.Add({ { "end", str(end) } }).Increment();
}

void node_metrics::countViewAge(utils::duration age)
{
    d->viewAge.Add({}, secondsBuckets).Observe(utils::toSeconds(age));
}

std::string node_metrics::text(const node_gauges& gauges)
{
    d->version.Set(static_cast<double>(gauges.configurationVersion));
    d->evidence.Set(gauges.configurationEvidenceSeconds);
    d->behind.Set(gauges.serverViewBehindSeconds);
    d->usable.Set(gauges.serversUsable);
    d->known.Set(gauges.serversKnown);
    d->evacuated.Set(gauges.evacuatedDataCentres);
    d->resting.Set(gauges.serversResting);
    d->cutOff.Set(gauges.servicesCutOff);
    d->peers.Set(gauges.peers);
    d->fleetNodes.Set(gauges.fleetNodes);
    d->inProgress.Set(gauges.requestsInProgress);
    d->idle.Set(gauges.idleConnections);
    d->streamOrigins.Set(gauges.streamOrigins);
    d->streamOriginsDropped.Set(gauges.streamOriginsDropped);
    d->undecidedLosses.Set(gauges.undecidedLosses);
    d->partStrikes.Set(gauges.partStrikes);
    d->crashingParts.Set(gauges.crashingParts);
    d->descriptors.Set(gauges.openDescriptors);
    d->resident.Set(gauges.residentBytes);
    d->dropped.Set(gauges.droppedLogLines);
    d->timerLag.Set(gauges.timerLagSeconds);
    d->store.Set(gauges.isStoreReachable ? 1 : 0);
    d->uptime.Set(gauges.uptimeSeconds);
    for (const auto& [service, left] : gauges.retriesLeft)
        d->retriesLeft.Add({ { "service", service } }).Set(left);
    for (const node_gauges::service_work& work : gauges.work) {
        d->offered.Add({ { "service", work.service } }).Set(work.offered);
        d->capacity.Add({ { "service", work.service } }).Set(work.capacity);
        d->heavyWorkspaces.Add({ { "service", work.service } }).Set(work.heavyWorkspaces);
    }
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    if (!(file >> total >> resident))
        return 0;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double openDescriptors()
{
    std::error_code error;
    double count = 0;
    for (auto it = std::filesystem::directory_iterator("/proc/self/fd", error);
         !error && it != std::filesystem::directory_iterator(); it.increment(error))
        ++count;
    return count;
}

} // namespace gateway

#pragma once

#include "gateway/requests/attempt.h"
#include "gateway/requests/cutanswer.h"
#include "gateway/view/store.h"

#include "decisions/stalledattempts.h"

#include "utils/errorkind.h"
#include "utils/time.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gateway {

struct node_context;

/// Gauges that are read when the metrics are scraped.
struct node_gauges {
    std::uint64_t configurationVersion = 0;
    double configurationEvidenceSeconds = 0; ///< time since it was last known to be the newest
    double serverViewBehindSeconds = 0; ///< time since changes of backend servers were known to be missing
    double serversUsable = 0;
    double serversKnown = 0;
    double evacuatedDataCentres = 0;
    double serversResting = 0; ///< that want no requests from this node
    double servicesCutOff = 0; ///< services whose backend servers this node cannot connect to
    double peers = 0;
    double fleetNodes = 0; ///< that share the fleet's bounds; 0: not known yet
    double requestsInProgress = 0;
    double idleConnections = 0;
    double streamOrigins = 0; ///< streams whose origin is known
    double streamOriginsDropped = 0; ///< for lack of room
    double undecidedLosses = 0; ///< lost attempts whose server may have crashed
    double partStrikes = 0; ///< the same against parts of prompts
    double crashingParts = 0; ///< parts of prompts whose requests are refused
    double openDescriptors = 0;
    double residentBytes = 0;
    double droppedLogLines = 0;
    double timerLagSeconds = 0; ///< of the last heartbeat
    double uptimeSeconds = 0; ///< since the process started
    bool isStoreReachable = false;
    std::vector<std::pair<std::string, double>> retriesLeft; ///< in this node's budget, by service
    /// What is offered to a service, and what its servers can do.
    struct service_work {
        std::string service;
        double offered = 0; ///< slot seconds a second, by all nodes
        double capacity = 0; ///< slot seconds a second
        double heavyWorkspaces = 0; ///< that are bound to their part of the room
    };
    std::vector<service_work> work;
};

/// The counters, histograms and gauges of one node, in one registry. Names follow the conventions of
/// Prometheus; label values come from closed lists or are services of the configuration. Not thread safe.
class node_metrics {
public:
    node_metrics();
    ~node_metrics();
    node_metrics(const node_metrics&) = delete;
    node_metrics& operator=(const node_metrics&) = delete;

    /// Counts a finished request; `kind` is the kind of error, empty if the backend server's answer was
    /// complete.
    void countRequest(std::string_view service, std::string_view kind, utils::duration took);
    /// Records the time to the first event of a stream.
    void countFirstEvent(std::string_view service, utils::duration took);
    /// Counts a finished attempt at a backend server.
    void countAttempt(std::string_view service, attempt_outcome end, bool isRetry);
    /// Counts a request that is refused because of overload, by what bounds its share.
    void countOverload(std::string_view service, std::string_view bound);
    /// Counts a stream that a caller resumes, by how its origin became known and whether it was answered.
    void countResumption(std::string_view service, std::string_view source, bool isAnswered);
    /// Counts a request with a shared part, by whether it gets an engine further down the part's ranking, and
    /// whether the part's home has said so.
    void countCrowdPlace(std::string_view service, bool isFurther, bool isAnswered);
    /// Counts a report of an engine on its load that was passed on to all nodes.
    void countLoadNotice(std::string_view service);
    /// Counts a request that is sent to a cold backend server.
    void countColdRequest(std::string_view service);
    /// Counts an answer in which a backend server asks for rest.
    void countRest(std::string_view service);
    /// Counts a request that is sent to a backend server which has asked this node for rest.
    void countRequestInRest(std::string_view service);
    /// Counts a connection to a backend server that was accepted or not.
    void countConnect(std::string_view service, bool isAccepted);
    /// Counts a caller's connection that was closed before its request was read.
    void countClosedUnread();
    /// Counts a response of which the caller received only the beginning.
    void countCutAnswer(std::string_view service, cut_cause cause);
    /// Counts that an attempt that receives no data is not replaced for that reason.
    void countStall(std::string_view service, decisions::stall_reason reason);
    /// Counts an attempt by way of a peer.
    void countForward(std::string_view service, attempt_outcome end);
    void countStoreCall(store_call call, store_status status);
    void countHeartbeat(bool isSent);
    void countViewFetch(std::string_view end);
    /// Records the age of the view of the backend servers right before a request was sent to one.
    void countViewAge(utils::duration age);
    /// All metrics in the text format of Prometheus.
    std::string text(const node_gauges& gauges);

private:
    struct data;
    std::unique_ptr<data> d;
};

/// Resident memory of this process in bytes, and its number of open descriptors; 0 where the system does not
/// provide them. Thread safe.
double residentBytes();
double openDescriptors();

} // namespace gateway

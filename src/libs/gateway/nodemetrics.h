#pragma once

#include "attempt.h"
#include "store.h"

#include "utils/errorkind.h"
#include "utils/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace gateway {

struct node_context;

/// Values that are read when the metrics are asked for.
struct node_gauges {
    std::uint64_t configurationVersion = 0;
    double configurationEvidenceSeconds = 0; ///< since it was last known to be the newest
    double serverViewBehindSeconds = 0; ///< since changes of backend servers were known to be missing
    double serversUsable = 0;
    double serversKnown = 0;
    double peers = 0;
    double requestsInProgress = 0;
    double idleConnections = 0;
    double crashStrikes = 0; ///< strikes against requests that may crash backend servers
    double openDescriptors = 0;
    double residentBytes = 0;
    double droppedLogLines = 0;
    double timerLagSeconds = 0; ///< of the last beat, after it was due
    bool isStoreReachable = false;
};

/// The counters, histograms and gauges of one node, in one registry. Names follow Prometheus' conventions;
/// labels have values of closed lists or of the configuration's services. Not thread safe.
class node_metrics {
public:
    node_metrics();
    ~node_metrics();
    node_metrics(const node_metrics&) = delete;
    node_metrics& operator=(const node_metrics&) = delete;

    /// A request has ended; `kind` is empty for a backend server's whole answer.
    void countRequest(std::string_view service, std::string_view kind, utils::duration took);
    /// The first event of a stream went out.
    void countFirstEvent(std::string_view service, utils::duration took);
    /// One attempt at a backend server has ended.
    void countAttempt(std::string_view service, attempt_outcome end, bool isRetry);
    void countStoreCall(store_status status);
    void countHeartbeat(bool isSent);
    void countViewFetch(std::string_view end);
    /// The age of the view of the backend servers right before a request was sent to one.
    void countViewAge(utils::duration age);
    /// Text for the collector.
    std::string text(const node_gauges& gauges);

private:
    struct data;
    std::unique_ptr<data> d;
};

/// Bytes of memory that this process holds, and the descriptors it has open; 0 where the system does not
/// tell. Thread safe.
double residentBytes();
double openDescriptors();

} // namespace gateway

#pragma once

#include "soakplan.h"

#include "platformstandin/replicastandin.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace soak {

using time_point = std::chrono::steady_clock::time_point;

/// Retries that all nodes together may send to a service in ten seconds, in their settings. Most are not
/// earned by requests: nodes that are killed in series must not spend them anew each time.
inline constexpr double retriesPerCall = 0.05;
inline constexpr double extraRetries = 108;

/// As told to the nodes by callers in each request.
inline constexpr duration callerDeadline = std::chrono::seconds(6);

/// What callers ask for.
enum class call_kind {
    Payment, ///< may run once at most
    Lookup,
    Chat, ///< a stream that may be resumed
    Draft, ///< a stream that may run once at most
};

/// One request as its caller saw it.
struct call_record {
    std::string id;
    call_kind kind = call_kind::Lookup;
    std::size_t node = 0; ///< that took it
    bool usesSecondKey = false; ///< the one that is taken away at times
    time_point sentAt {};
    time_point endedAt {};
    int status = 0; ///< 0: no head of an answer came
    bool isWhole = false; ///< the answer ended as HTTP says
    bool isMarked = false; ///< as the answer of a backend server
    std::string answeredId; ///< that the answer names
    std::string body; ///< as far as it came
    std::string resumes {}; ///< the call that brought the first event of the stream; empty: takes none up
    bool hasCrashingPart = false; ///< in its prompt
    unsigned resumedAfter = 0; ///< the last event that the caller had before
    bool hasTimedOut = false; ///< the caller left, early or at its deadline
    std::vector<std::string> versions {}; ///< software versions of the servers that wrote the events
};

/// The part of prompts under which engines crash at times, in hexadecimal.
inline constexpr std::string_view crashingPart = "bad";

/// Moves the types of the events, which name the versions that wrote them, out of the body. Thread safe.
void takeVersions(call_record& call);
/// The last whole event in the body of a stream; 0: there is none. Thread safe.
unsigned lastEvent(const std::string& body);

/// One request as a backend server saw it.
struct arrival {
    std::string server;
    platform_standin::replica_request request;
};

/// An engine as the store had it.
struct engine_life {
    std::string version; ///< of its software
    time_point from {};
    time_point to = time_point::max(); ///< when it drained
};

/// A span of time.
struct span {
    time_point from {};
    time_point to {};
};

/// What a run has seen.
struct soak_evidence {
    std::vector<call_record> calls;
    std::vector<arrival> arrivals;
    std::vector<std::vector<span>> nodeFaults; ///< of each node, also those of its link to the store
    std::vector<std::vector<span>> nodeEnds; ///< of each node: it may end with requests in progress
    std::set<std::size_t> pathNodes; ///< whose paths to all servers are lost at times
    std::vector<span> nodePathFaults; ///< when
    std::map<std::string, std::vector<time_point>> crashes; ///< of backend servers
    std::set<std::string> reportedCuts; ///< calls that the nodes' logs name as cut
    std::map<std::string, std::vector<span>> linkFaults; ///< of the link to that backend server
    std::map<std::string, std::vector<span>> rests; ///< of each backend server, up to the end of the last one
    std::map<std::string, time_point> leftAt; ///< backend servers, when the store had it
    std::map<std::string, std::string> dataCentres; ///< of each backend server
    std::map<std::string, std::vector<span>> evacuated; ///< by data centre, as the store had it
    std::map<std::string, engine_life> engines;
    std::vector<time_point> partCrashes; ///< of engines that began to answer a prompt with the crashing part
    time_point partCrashesUntil {}; ///< when the part became sound
    std::vector<span> withoutSecondKey; ///< from the store's knowing to its knowing better
    std::string wholeStream; ///< the body of a stream from its first event to its last
    std::vector<std::string> ownEnds; ///< nodes that ended though nobody ended them
    std::vector<std::string> notRecovered; ///< nodes that did not serve once all faults were over
};

/// Bounds of the promises that have one; none are checked without.
struct soak_bounds {
    duration outOfTouch
        = std::chrono::milliseconds(5000); ///< after a fault: the platform's 3 s and a busy machine
    duration leaving
        = std::chrono::milliseconds(2500); ///< the platform's 2 s and half a second for a busy machine
    duration evacuating
        = std::chrono::milliseconds(5500); ///< the platform's 5 s and half a second for a busy machine
    duration resting = std::chrono::milliseconds(1000); ///< the platform's half a second, and as much for it
    duration inForce = std::chrono::milliseconds(2500); ///< likewise
};

/// Each broken promise in a line. `bounds`: nothing where the machine may be too busy for them. Thread safe.
std::vector<std::string> brokenPromises(
    const soak_evidence& evidence, const std::optional<soak_bounds>& bounds);

} // namespace soak

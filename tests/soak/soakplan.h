#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace soak {

using duration = std::chrono::milliseconds;

/// What is done to the fleet from outside.
enum class fault_kind {
    KillNode, ///< SIGKILL, started again at the end
    PauseNode, ///< SIGSTOP, SIGCONT at the end
    StopNode, ///< SIGTERM, started again once it has ended
    ReloadNode, ///< SIGHUP
    StoreRefuses, ///< one node gets 503
    StoreSilent, ///< one node gets no answer
    StoreDeaf, ///< one node's watches hear nothing
    StoreAway, ///< all nodes get 503
    StoreForgets, ///< watches from before are refused
    StoreLink, ///< the proxy between one node and the store misbehaves
    ServerLink, ///< the proxy before one backend server misbehaves
    ServerActs, ///< one backend server fails in its way
    ServerLeaves, ///< it drains, and another takes its place
    KeyRevoked, ///< one of two keys is taken away, and given back at the end
    ConfigurationChanges, ///< a new version that changes nothing
    NodeCutOff, ///< one node's paths to all backend servers misbehave
    ServersBrittle, ///< the plain servers announce that they bear few rejections
    FleetKilled, ///< all nodes, or all but one, as KillNode
    ServiceFails, ///< all backend servers of a service reject or cut what they get
    EnginesReleased, ///< one engine after another is replaced by one of a new version; some or all
    PartCrashesEngines, ///< engines crash when they begin to answer prompts with a certain part
    ServersStall, ///< one, a third or all servers of a service, or of both, send nothing, then go on
    ServersRest, ///< one, a third or all servers of a service, or of both, turn away and ask for rest
    DataCentreEvacuated, ///< half of the backend servers may get nothing; they are cold at the end
};

/// The kind's name in reports.
std::string_view toString(fault_kind kind);

/// One fault.
struct planned_fault {
    fault_kind kind = fault_kind::KillNode;
    duration at {}; ///< since the start of traffic
    duration lasts {};
    std::size_t target = 0; ///< the node or backend server, modulo their number
    unsigned variant = 0; ///< which of the ways to misbehave, modulo their number
};

/// Which backend servers a fault hits.
struct server_share {
    bool hasPress = false; ///< the plain servers
    bool hasEngines = false;
    std::size_t ofEach = 0; ///< servers of each service that is hit
};

/// Returns the servers that stall or rest. Precondition: the fault is of the kind ServersStall or
/// ServersRest. Thread safe.
server_share serversHit(const planned_fault& fault, std::size_t serversOfEach);

/// The size of a run.
struct soak_size {
    std::size_t nodes = 3;
    std::size_t servers = 3; ///< of each service
    std::size_t callers = 8;
    duration length = std::chrono::seconds(12);
};

/// The faults of a seed: single ones, series of one kind, and several at once, in order of their beginning.
/// The last fifth of the run stays free of new ones. Thread safe.
std::vector<planned_fault> drawPlan(std::uint64_t seed, const soak_size& size);

/// How fast servers answer, and how fast the routes want it.
struct soak_pace {
    duration eventInterval = std::chrono::milliseconds(2); ///< from one event of a stream to the next
    duration targetLatency = std::chrono::seconds(5);
    duration targetGap = std::chrono::seconds(5); ///< between two events
};

/// Returns the pace of a seed. Where servers stall, the targets are low enough for the nodes to take a stall
/// for silence, and in some of these seeds streams last for seconds, so that it hits them midway. Thread
/// safe.
soak_pace drawPace(std::uint64_t seed);

} // namespace soak

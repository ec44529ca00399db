#pragma once

#include "platformstandin/rawreplica.h"
#include "platformstandin/replicastandin.h"
#include "platformstandin/storestandin.h"
#include "processtools/simplehttp.h"
#include "processtools/spawnedprocess.h"
#include "processtools/waituntil.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// A gateway process under test.
struct gateway_node {
    std::string name; ///< the same in each run: names decide which nodes follow the store
    std::string address; ///< of the VM
    unsigned short storePort = 0; ///< the store's listener for this node alone
    unsigned short callerPort = 0;
    unsigned short readinessPort = 0;
    unsigned short metricsPort = 0;
    std::string settingsFile;
    unsigned starts = 0; ///< each start writes its own log file
    std::unique_ptr<spawned_process> process;
};

/// What a replica says of itself.
struct replica_entry {
    std::string state = "ready";
    std::string dataCentre = "a"; ///< "a" and "b" are in "north", "c" in "south"
    unsigned coldMs = 0;
    std::string softwareVersion = "v1";
    unsigned slots = 8;
    std::uint64_t startedAtMs = 1'700'000'000'000;
    std::string id {}; ///< empty: the name of the stand-in
};

/// What a configuration says besides its version.
struct configuration_content {
    bool hasSecondKey = false; ///< of the workspace "print-shop": "key-2" besides "key-1"
    std::vector<std::string> routeRegions {}; ///< of all routes
    std::vector<std::string> workspaceRegions {};
    double coldRequestsPerSecond = 0; ///< of the service "press"; 0: not limited
    unsigned latencyMs = 5000; ///< target of all routes
    unsigned gapMs = 5000; ///< target between two events
    unsigned timeoutMs = 20000; ///< of all routes
    unsigned slots = 8; ///< of each replica of the service "engines"
    unsigned maxBodyBytes = 65536; ///< of a caller's request
};

/// Real gateway processes with stand-ins for the platform's store and for replicas. Tests wait for states,
/// never for fixed times.
class gateway_testbed {
public:
    /// Maps the port of a stand-in's listener to the port that nodes connect to: that of a proxy, or the
    /// same.
    using port_route = std::function<unsigned short(unsigned short)>;

    /// Starts `replicas` replicas of the plain service "press" and as many of the model service "engines".
    explicit gateway_testbed(std::size_t replicas = 2, port_route route = {});
    ~gateway_testbed() { m_thread.stop(); }

    platform_standin::store_standin& store() { return m_store; }
    platform_standin::replica_standin& press(std::size_t index) { return *m_press.at(index); }
    platform_standin::replica_standin& engine(std::size_t index) { return *m_engines.at(index); }

    /// Writes the configuration with that version. Its workspace "print-shop" has the key "key-1", and also
    /// "key-2" if `hasSecondKey`.
    void configure(unsigned version, bool hasSecondKey = false);
    void configure(unsigned version, const configuration_content& content);
    void announce(const platform_standin::replica_standin& replica, const std::string& service,
        const std::string& state = "ready");
    void announce(const platform_standin::replica_standin& replica, const std::string& service,
        const replica_entry& entry);
    void announce(
        const platform_standin::raw_replica& replica, const std::string& service, const replica_entry& entry);
    void withdraw(const platform_standin::replica_standin& replica);
    /// Sets the retries that all nodes together may send in ten seconds, for nodes started from now on:
    /// `ratio` per request, and `extra`.
    void setRetryLimits(double ratio, double extra)
    {
        m_retryRatio = ratio;
        m_extraRetries = extra;
    }
    /// Starts a node, with the nodes started before as its seeds. `substitutions`: texts that the store tells
    /// this node otherwise than the others, by the text that it tells those.
    gateway_node& startNode(platform_standin::store_mode mode = platform_standin::store_mode::Serve,
        std::map<std::string, std::string> substitutions = {});
    /// Starts the process of a node again after it has ended.
    void restartNode(gateway_node& node) const;
    gateway_node& node(std::size_t index) { return *m_nodes.at(index); }
    std::size_t nodeCount() const { return m_nodes.size(); }
    const std::string& folder() const { return m_folder; }
    /// Port for heartbeats and copies, the same on all addresses.
    unsigned short peerPort() const { return m_peerPort; }
    platform_standin::standin_thread& thread() { return m_thread; }

    bool isReady(const gateway_node& node) const;
    /// Waits until the node is ready. Throws std::runtime_error if it does not become ready.
    void awaitReady(const gateway_node& node) const;

    /// Waits until all nodes hear each other. Throws std::runtime_error if one does not hear the others.
    void awaitPeers() const;
    /// Kills all nodes at once, and waits until they are ready again.
    void killAll();
    /// The metrics of a node, in the text format of Prometheus.
    std::string metrics(const gateway_node& node) const;

    /// A request with the first key and a new id.
    http_question question(const std::string& method, const std::string& path, const std::string& body = "");
    http_reply ask(const gateway_node& node, const http_question& question) const;

private:
    std::string settingsFor(const gateway_node& node, unsigned short peerPort) const;
    void announceAt(const std::string& address, const std::string& service, const replica_entry& entry);
    unsigned short routed(unsigned short port) const { return m_route ? m_route(port) : port; }

    port_route m_route;
    platform_standin::standin_thread m_thread;
    platform_standin::store_standin m_store;
    std::vector<std::unique_ptr<platform_standin::replica_standin>> m_press;
    std::vector<std::unique_ptr<platform_standin::replica_standin>> m_engines;
    std::vector<std::unique_ptr<gateway_node>> m_nodes;
    std::string m_folder;
    unsigned short m_peerPort = 0;
    unsigned m_nextId = 1;
    double m_retryRatio = 0.2; ///< as the platform's sheets have it
    double m_extraRetries = 54; ///< likewise
};

/// A testbed with one node that is ready. Each request earns its own retries: those that a process which has
/// just started is allowed depend on the requests before.
struct ready_testbed : gateway_testbed {
    ready_testbed()
    {
        setRetryLimits(4, 54);
        configure(1);
        startNode();
        awaitReady(node(0));
    }
};

#pragma once

#include "soakcaller.h"
#include "soakcheck.h"
#include "soakplan.h"

#include "gatewaytestbed/gatewaytestbed.h"
#include "platformstandin/faultproxy.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace soak {

/// Real gateway processes between stand-ins, with callers and the faults of one seed. Used once.
class soak_run {
public:
    soak_run(std::uint64_t seed, const soak_size& size);
    ~soak_run();
    soak_run(const soak_run&) = delete;
    soak_run& operator=(const soak_run&) = delete;

    /// Plays the run and tells what was seen.
    soak_evidence play();
    /// The plan's faults, a line each.
    std::string describePlan() const;
    /// Where the nodes' logs are.
    const std::string& folder() const { return m_world.folder(); }

private:
    /// A node's life as the run steers it.
    struct node_life {
        bool isToRestart = false;
        time_point restartAt {};
    };
    /// What ends a fault.
    struct pending_end {
        time_point at {};
        std::function<void()> undo;
    };

    // Of a node, until it has heard of the others.
    static constexpr duration startTime = std::chrono::seconds(1);

    static time_point now();
    /// Data centre of the server at that position: they take turns.
    static std::string dataCentreOf(std::size_t server);
    unsigned short routed(unsigned short port);
    platform_standin::fault_proxy& proxyOf(unsigned short port) { return *m_proxies.at(port); }
    void begin(const planned_fault& fault);
    void beginOnNode(const planned_fault& fault, std::size_t node);
    void beginOnStore(const planned_fault& fault, std::size_t node);
    void beginOnServer(const planned_fault& fault);
    /// Writes the next version of the configuration.
    void configure(bool hasSecondKey);
    void takeKeyAway(duration lasts);
    void cutOffNode(const planned_fault& fault);
    void killFleet(const planned_fault& fault);
    void failService(const planned_fault& fault);
    /// Lets the node that may be cut off reach the server by a proxy of its own.
    void addPath(const platform_standin::replica_standin& server);
    void evacuate(const std::string& dataCentre, duration lasts);
    void replaceServer(std::size_t server);
    /// The server drains and leaves, and another one takes its place.
    void leave(std::size_t server);
    void releaseEngines(const planned_fault& fault);
    void crashUnderPart(duration lasts);
    void stallServers(const planned_fault& fault);
    void stall(std::size_t server, duration lasts);
    void restServers(const planned_fault& fault);
    void rest(std::size_t server, const planned_fault& fault);
    /// Does something to the servers that a fault hits, by their positions.
    template <class Action> void forServersHit(const planned_fault& fault, const Action& action)
    {
        const server_share share = serversHit(fault, m_size.servers);
        for (std::size_t i = 0; i < share.ofEach; ++i) {
            const std::size_t place = (fault.target + i) % m_size.servers;
            if (share.hasPress)
                action(place);
            if (share.hasEngines)
                action(m_size.servers + place);
        }
    }
    void announce(std::size_t server, const std::string& state, duration coldFor = {});
    void until(duration lasts, std::function<void()> undo);
    void faultOnNode(std::size_t node, duration lasts);
    void tick();
    void stepNode(std::size_t node);
    void endAll();
    void awaitService();
    void collect();
    /// Reads the logs of the nodes for answers that they have cut, and for copies of addresses.
    void collectLogs();
    void readLog(const std::string& file, std::size_t node);
    /// Finds the nodes that use the paths of the node that may be cut off: by its copies, or by copies of
    /// these.
    void findPathNodes();

    platform_standin::standin_thread m_proxyThread;
    std::map<unsigned short, std::unique_ptr<platform_standin::fault_proxy>>
        m_proxies; ///< by the port behind them
    /// Between the node that may be cut off and each server there ever was, by the text in its entry.
    std::map<std::string, std::unique_ptr<platform_standin::fault_proxy>> m_paths;
    unsigned m_cuts = 0; ///< faults that cut the node off now
    soak_size m_size;
    std::uint64_t m_seed;
    std::vector<planned_fault> m_plan;
    soak_pace m_pace;
    gateway_testbed m_world;
    std::vector<std::unique_ptr<platform_standin::replica_standin>> m_servers; ///< all there ever were
    std::vector<std::size_t> m_serving; ///< positions in m_servers; press first, then engines
    std::vector<node_life> m_lives;
    std::vector<pending_end> m_ends;
    unsigned m_version = 0; ///< of the configuration
    std::vector<unsigned> m_engineVersions; ///< of the software, by the engine's place
    unsigned m_newestEngines = 1; ///< the highest one of these
    std::map<std::string, unsigned> m_evacuations; ///< in force now, by data centre
    bool m_isPartCrashing = false; ///< engines crash under it now
    unsigned m_keysTaken = 0; ///< faults that keep the second key away now
    std::map<std::string, std::set<std::size_t>>
        m_copies; ///< nodes that took addresses of servers, by the peer
    soak_evidence m_evidence;
};

} // namespace soak

#pragma once

#include "virtualnetwork.h"

#include "fleet/fleetnode.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace virtualfleet {

struct fleet_options {
    std::size_t nodes = 7;
    std::size_t dataCentres = 3;
    network_options network;
    fleet::fleet_settings settings; ///< options for every node; names are filled in
    std::vector<fleet::homed_server> servers;
    std::uint64_t seed = 1;
};

/// The platform's calls of the fleet's nodes, as the platform counts them.
struct platform_calls {
    std::uint64_t headReads = 0;
    std::uint64_t documentReads = 0;
    std::size_t watches = 0; ///< waiting now
};

/// Bytes on the wire of one node, IP and UDP headers included.
struct node_traffic {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t packetsSent = 0;
    std::uint64_t packetsReceived = 0;
    std::uint64_t largestSecond = 0; ///< bytes sent and received in the worst second
};

/// A fleet of real fleet_nodes over a virtual network, with a platform that holds the head of the
/// configuration. Nodes can be started, killed, stopped and continued, and told different VM lists.
/// Not thread safe.
class virtual_fleet {
public:
    /// Starts `nodes` nodes named n0, n1, ... round the data centres, each with the whole list.
    explicit virtual_fleet(fleet_options options);

    utils::time_point now() const { return m_network.now(); }
    virtual_network& network() { return m_network; }
    void run(utils::duration time) { m_network.runUntil(now() + time); }
    /// Runs in steps until `condition` holds; the time taken, or nothing after `limit`.
    std::optional<utils::duration> runUntil(const std::function<bool()>& condition, utils::duration limit,
        utils::duration step = std::chrono::milliseconds(10));

    static utils::node_id name(std::size_t index);
    fleet::fleet_node& node(std::size_t index) { return *m_nodes.at(index).node; }
    const fleet::fleet_node& node(std::size_t index) const { return *m_nodes.at(index).node; }
    std::size_t size() const { return m_nodes.size(); }
    bool isRunning(std::size_t index) const { return m_nodes.at(index).isRunning; }
    bool isStopped(std::size_t index) const { return m_nodes.at(index).isStopped; }
    /// Neither killed nor stopped.
    bool isAtWork(std::size_t index) const { return isRunning(index) && !isStopped(index); }

    /// A new node that is told `list`; its index.
    std::size_t start(const std::vector<fleet::listed_vm>& list);
    /// kill -9.
    void kill(std::size_t index);
    /// SIGSTOP: its datagrams wait in the socket, its timer too.
    void stop(std::size_t index);
    /// SIGCONT: first come the datagrams that wait, then the timer, or the other way round, as the
    /// system pleases.
    void resume(std::size_t index, bool isTimerFirst = false);
    /// Begins a graceful leave.
    void leave(std::size_t index);
    void setListed(std::size_t index, const std::vector<fleet::listed_vm>& list);
    void setListedEverywhere(const std::vector<fleet::listed_vm>& list);
    fleet::listed_vm rowOf(std::size_t index) const;
    std::vector<fleet::listed_vm> rows(std::size_t first, std::size_t count) const;
    /// Carries out an event on a node, as the daemon does.
    void with(std::size_t index, const std::function<void(fleet::fleet_node&, utils::time_point)>& event);

    /// Moves the platform's head; watchers are told.
    void moveHead(utils::config_revision revision);
    static constexpr utils::duration usualDocumentDelay = std::chrono::milliseconds(10);
    /// How long a fetch or read of a document takes.
    void setDocumentDelay(utils::duration delay) { m_documentDelay = delay; }
    void setPlatformUp(bool isUp) { m_isPlatformUp = isUp; }
    const platform_calls& calls() const { return m_calls; }
    /// Every revision that the node put in force, in order.
    const std::vector<utils::config_revision>& history(std::size_t index) const
    {
        return m_nodes.at(index).history;
    }
    const node_traffic& traffic(std::size_t index) const { return m_nodes.at(index).traffic; }
    void resetTraffic();

private:
    struct running_node {
        std::unique_ptr<fleet::fleet_node> node;
        bool isRunning = true;
        bool isStopped = false;
        bool isWatching = false;
        std::uint64_t tickOrder = 0;
        std::vector<std::pair<std::string, std::string>> inbox; ///< bytes and sender while stopped
        std::vector<utils::config_revision> history;
        node_traffic traffic;
        std::int64_t second = 0;
        std::uint64_t bytesThisSecond = 0;
    };

    void flush(std::size_t index);
    void scheduleTick(std::size_t index);
    void deliver(std::size_t index, const std::string& bytes, const std::string& from);
    void act(std::size_t index, const fleet::fleet_action& action);
    void fetch(std::size_t index, const fleet::fetch_from_peer& action);
    void tellHead(std::size_t index, utils::time_point startedAt);
    void adopt(std::size_t index, utils::config_revision revision);
    void count(running_node& node, std::size_t bytes);
    static std::size_t indexOf(const utils::node_id& id);

    fleet_options m_options;
    virtual_network m_network;
    utils::state_chart m_chart;
    std::vector<running_node> m_nodes;
    utils::config_revision m_head = 0;
    bool m_isPlatformUp = true;
    utils::duration m_documentDelay = usualDocumentDelay;
    platform_calls m_calls;
};

} // namespace virtualfleet

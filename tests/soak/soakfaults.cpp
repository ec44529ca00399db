#include "soakrun.h"

#include <array>
#include <csignal>

// How a run begins and ends each kind of fault.
namespace soak {

namespace {

using platform_standin::link_state;
using platform_standin::replica_act;
using platform_standin::replica_standin;
using platform_standin::store_mode;

constexpr duration stopTime = std::chrono::seconds(10); // the grace of eight seconds, and the next start
constexpr duration drainTime
    = std::chrono::seconds(3); // a server stays known after it has said that it leaves
constexpr duration releasePause = std::chrono::milliseconds(300); // between two engines of a release
constexpr std::array linkStates { link_state::Slow, link_state::CutToServer, link_state::CutToCaller,
    link_state::Silent, link_state::Refusing };
constexpr std::array pressActs { replica_act::Cut, replica_act::Hang, replica_act::Shed,
    replica_act::ShedUnmarked, replica_act::ExtraAnswer, replica_act::Unframed, replica_act::Fail,
    replica_act::Unsigned };
constexpr std::array engineActs { replica_act::StreamCut, replica_act::StreamCutOnce, replica_act::Shed,
    replica_act::ShedUnmarked, replica_act::Cut, replica_act::Hang };
// Of all servers of a service.
constexpr std::array failingActs { replica_act::Shed, replica_act::Cut };
constexpr std::array cutStates { link_state::Lost, link_state::ClosedToNew, link_state::Refusing,
    link_state::Silent };
constexpr unsigned rejectionLimit = 3; // a second
constexpr std::array<const char*, 3> rests { "1", "2.5", "4" }; // seconds
constexpr duration longestRest = std::chrono::seconds(4);
constexpr duration killedLogTime
    = std::chrono::seconds(1); // log lines may wait for so long before they are written
// From SIGTERM on, when requests still in progress may be ended: five sixths of the grace.
constexpr duration graceTime = std::chrono::milliseconds(6600);
// A replica that comes back after an evacuation.
constexpr duration coldTime = std::chrono::milliseconds(500);

} // namespace

void soak_run::begin(const planned_fault& fault)
{
    const std::size_t node = fault.target % m_size.nodes;
    switch (fault.kind) {
    case fault_kind::KillNode:
    case fault_kind::PauseNode:
    case fault_kind::StopNode:
    case fault_kind::ReloadNode:
        return beginOnNode(fault, node);
    case fault_kind::StoreRefuses:
    case fault_kind::StoreSilent:
    case fault_kind::StoreDeaf:
    case fault_kind::StoreLink:
    case fault_kind::StoreForgets:
        return beginOnStore(fault, node);
    case fault_kind::StoreAway:
        for (std::size_t i = 0; i < m_size.nodes; ++i)
            beginOnStore({ fault_kind::StoreRefuses, fault.at, fault.lasts, i, 0 }, i);
        return;
    case fault_kind::ServerLink:
    case fault_kind::ServerActs:
    case fault_kind::ServerLeaves:
        return beginOnServer(fault);
    case fault_kind::NodeCutOff:
        return cutOffNode(fault);
    case fault_kind::ServersBrittle:
        for (std::size_t i = 0; i < m_size.servers; ++i)
            m_servers[m_serving[i]]->announceRejectionLimit(rejectionLimit);
        return until(fault.lasts, [this] {
            for (const auto& server : m_servers)
                server->announceRejectionLimit(std::nullopt);
        });
    case fault_kind::FleetKilled:
        return killFleet(fault);
    case fault_kind::ServiceFails:
        return failService(fault);
    case fault_kind::KeyRevoked:
        return takeKeyAway(fault.lasts);
    case fault_kind::EnginesReleased:
        return releaseEngines(fault);
    case fault_kind::PartCrashesEngines:
        return crashUnderPart(fault.lasts);
    case fault_kind::ServersStall:
        return stallServers(fault);
    case fault_kind::ServersRest:
        return restServers(fault);
    case fault_kind::ConfigurationChanges:
        return configure(m_keysTaken == 0);
    case fault_kind::DataCentreEvacuated:
        return evacuate(dataCentreOf(fault.target), fault.lasts);
    }
}

void soak_run::killFleet(const planned_fault& fault)
{
    const bool isOneSpared = fault.variant % 2 == 0;
    for (std::size_t node = 0; node < m_size.nodes; ++node) {
        if (!isOneSpared || node != fault.target % m_size.nodes)
            beginOnNode({ fault_kind::KillNode, fault.at, fault.lasts, node, 0 }, node);
    }
}

void soak_run::failService(const planned_fault& fault)
{
    const bool isPress = fault.target % 2 == 0;
    const replica_act act = failingActs.at(fault.variant % failingActs.size());
    for (std::size_t server = 0; server < m_serving.size(); ++server) {
        if ((server < m_size.servers) != isPress)
            continue;
        replica_standin& standin = *m_servers[m_serving[server]];
        standin.act(act);
        until(fault.lasts,
            [&standin, isPress] { standin.act(isPress ? replica_act::Answer : replica_act::Stream); });
    }
}

void soak_run::stallServers(const planned_fault& fault)
{
    forServersHit(fault, [&](std::size_t server) { stall(server, fault.lasts); });
}

void soak_run::restServers(const planned_fault& fault)
{
    forServersHit(fault, [&](std::size_t server) { rest(server, fault); });
}

void soak_run::rest(std::size_t server, const planned_fault& fault)
{
    replica_standin& standin = *m_servers[m_serving[server]];
    const bool isPress = server < m_size.servers;
    standin.askForRest(rests.at(fault.variant % rests.size()));
    standin.act(replica_act::Shed);
    m_evidence.rests[standin.id()].push_back({ now(), now() + fault.lasts + longestRest });
    until(fault.lasts,
        [&standin, isPress] { standin.act(isPress ? replica_act::Answer : replica_act::Stream); });
}

void soak_run::stall(std::size_t server, duration lasts)
{
    replica_standin& standin = *m_servers[m_serving[server]];
    standin.stall();
    until(lasts, [&standin] { standin.resume(); });
}

void soak_run::crashUnderPart(duration lasts)
{
    const auto setParts = [this](bool isCrashing) {
        m_isPartCrashing = isCrashing;
        std::set<std::string> parts;
        if (isCrashing)
            parts.insert(std::string(crashingPart));
        for (std::size_t server = m_size.servers; server < m_serving.size(); ++server)
            m_servers[m_serving[server]]->crashOn(parts);
    };
    setParts(true);
    until(lasts, [this, setParts] {
        setParts(false);
        m_evidence.partCrashesUntil = now();
    });
}

void soak_run::cutOffNode(const planned_fault& fault)
{
    ++m_cuts;
    m_evidence.nodePathFaults.push_back({ now(), now() + fault.lasts });
    for (const auto& [text, path] : m_paths)
        path->set(cutStates.at(fault.variant % cutStates.size()));
    until(fault.lasts, [this] {
        if (--m_cuts > 0)
            return;
        for (const auto& [text, path] : m_paths)
            path->set(link_state::Open);
    });
}

void soak_run::evacuate(const std::string& dataCentre, duration lasts)
{
    const std::string key = "op/evacuate/" + dataCentre;
    if (++m_evacuations[dataCentre] == 1) {
        m_world.store().put(key, "{}");
        m_evidence.evacuated[dataCentre].push_back({ now(), time_point::max() });
    }
    until(lasts, [this, dataCentre, key] {
        if (--m_evacuations[dataCentre] > 0)
            return;
        m_evidence.evacuated[dataCentre].back().to = now();
        m_world.store().remove(key);
        for (std::size_t server = 0; server < m_serving.size(); ++server) {
            if (dataCentreOf(server) == dataCentre)
                announce(server, "ready", coldTime);
        }
    });
}

void soak_run::beginOnNode(const planned_fault& fault, std::size_t node)
{
    spawned_process& process = *m_world.node(node).process;
    node_life& life = m_lives[node];
    switch (fault.kind) {
    case fault_kind::KillNode:
        life = { true, now() + fault.lasts };
        process.kill();
        m_evidence.nodeEnds[node].push_back({ now() - killedLogTime, now() + fault.lasts + startTime });
        return faultOnNode(node, fault.lasts + startTime);
    case fault_kind::PauseNode:
        process.sendSignal(SIGSTOP);
        until(fault.lasts, [this, node] { m_world.node(node).process->sendSignal(SIGCONT); });
        return faultOnNode(node, fault.lasts);
    case fault_kind::StopNode:
        life = { true, now() };
        process.sendSignal(SIGTERM);
        m_evidence.nodeEnds[node].push_back({ now() + graceTime, now() + stopTime });
        return faultOnNode(node, stopTime);
    default:
        process.sendSignal(SIGHUP);
        return;
    }
}

void soak_run::beginOnStore(const planned_fault& fault, std::size_t node)
{
    const unsigned short port = m_world.node(node).storePort;
    auto& store = m_world.store();
    switch (fault.kind) {
    case fault_kind::StoreRefuses:
    case fault_kind::StoreSilent:
        store.setMode(port, fault.kind == fault_kind::StoreSilent ? store_mode::Silent : store_mode::Refuse);
        until(fault.lasts, [&store, port] { store.setMode(port, store_mode::Serve); });
        break;
    case fault_kind::StoreDeaf:
        store.setDeaf(port, true);
        until(fault.lasts, [&store, port] { store.setDeaf(port, false); });
        break;
    case fault_kind::StoreLink:
        proxyOf(port).set(linkStates.at(fault.variant % linkStates.size()));
        until(fault.lasts, [this, port] { proxyOf(port).set(link_state::Open); });
        break;
    default:
        return store.forgetHistory();
    }
    faultOnNode(node, fault.lasts);
}

void soak_run::beginOnServer(const planned_fault& fault)
{
    const std::size_t server = fault.target % m_serving.size();
    replica_standin& standin = *m_servers[m_serving[server]];
    const bool isPress = server < m_size.servers;
    switch (fault.kind) {
    case fault_kind::ServerLink: {
        const unsigned short port = standin.port();
        proxyOf(port).set(linkStates.at(fault.variant % linkStates.size()));
        until(fault.lasts, [this, port] { proxyOf(port).set(link_state::Open); });
        m_evidence.linkFaults[standin.id()].push_back({ now(), now() + fault.lasts });
        return;
    }
    case fault_kind::ServerActs:
        standin.act(isPress ? pressActs.at(fault.variant % pressActs.size())
                            : engineActs.at(fault.variant % engineActs.size()));
        until(fault.lasts,
            [&standin, isPress] { standin.act(isPress ? replica_act::Answer : replica_act::Stream); });
        return;
    default:
        return leave(server);
    }
}

void soak_run::leave(std::size_t server)
{
    replica_standin& standin = *m_servers[m_serving[server]];
    standin.announceLeaving(true);
    announce(server, "draining");
    m_evidence.leftAt[standin.id()] = now();
    if (const auto engine = m_evidence.engines.find(standin.id()); engine != m_evidence.engines.end())
        engine->second.to = now();
    until(drainTime, [this, &standin] { m_world.withdraw(standin); });
    replaceServer(server);
}

void soak_run::releaseEngines(const planned_fault& fault)
{
    const unsigned version = ++m_newestEngines;
    const bool isOneLeftOut = fault.variant % 2 == 0;
    for (std::size_t i = isOneLeftOut ? 1 : 0; i < m_size.servers; ++i) {
        until(static_cast<int>(i) * releasePause, [this, i, version] {
            m_engineVersions[i] = version;
            leave(m_size.servers + i);
        });
    }
}

void soak_run::takeKeyAway(duration lasts)
{
    ++m_keysTaken;
    configure(false);
    if (m_keysTaken == 1)
        m_evidence.withoutSecondKey.push_back({ now(), time_point::max() });
    until(lasts, [this] {
        if (--m_keysTaken > 0)
            return;
        m_evidence.withoutSecondKey.back().to = now();
        configure(true);
    });
}

} // namespace soak

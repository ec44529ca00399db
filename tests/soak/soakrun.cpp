#include "soakrun.h"

#include "processtools/waituntil.h"

#include <array>
#include <csignal>
#include <sstream>
#include <thread>

namespace soak {

namespace {

using platform_standin::fault_proxy;
using platform_standin::link_state;
using platform_standin::replica_act;
using platform_standin::replica_standin;
using platform_standin::store_mode;

constexpr duration tickPeriod = std::chrono::milliseconds(20);
constexpr duration stopTime = std::chrono::seconds(10); // the grace of eight seconds, and the next start
constexpr duration startTime = std::chrono::seconds(1); // of a node, until it has heard of the others
constexpr duration drainTime
    = std::chrono::seconds(3); // a server stays known after it has said that it leaves
constexpr unsigned eventsOfStream = 30; // of 2 ms

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
constexpr std::size_t cutNode = 0;
constexpr unsigned rejectionLimit = 3; // a second

// A replica that comes back after an evacuation.
constexpr duration coldTime = std::chrono::milliseconds(500);

/// Data centre of the server at that position: they take turns.
std::string dataCentreOf(std::size_t server)
{
    return server % 2 == 0 ? "a" : "b";
}

using path_texts = std::map<std::string, std::string>;

/// What the store tells the node that may be cut off, by what it tells the others.
path_texts pathTexts(const std::map<std::string, std::unique_ptr<fault_proxy>>& paths)
{
    path_texts texts;
    for (const auto& [text, path] : paths)
        texts[text] = path->address();
    return texts;
}

time_point now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

soak_run::soak_run(std::uint64_t seed, const soak_size& size)
    : m_size(size)
    , m_seed(seed)
    , m_plan(drawPlan(seed, size))
    , m_world(0, [this](unsigned short port) { return routed(port); })
    , m_lives(size.nodes)
{
    m_evidence.wholeStream = platform_standin::eventsUpTo(eventsOfStream);
    m_evidence.nodeFaults.resize(size.nodes);
    for (std::size_t i = 0; i < 2 * size.servers; ++i) {
        m_serving.push_back(0);
        replaceServer(i);
    }
    m_world.configure(m_version, true);
    for (std::size_t i = 0; i < size.nodes; ++i)
        m_world.startNode(store_mode::Serve, i == cutNode ? pathTexts(m_paths) : path_texts());
    for (std::size_t i = 0; i < size.nodes; ++i)
        m_world.awaitReady(m_world.node(i));
}

soak_run::~soak_run()
{
    m_world.thread().stop();
    m_proxyThread.stop();
}

std::string soak_run::describePlan() const
{
    std::ostringstream text;
    for (const planned_fault& fault : m_plan)
        text << fault.at.count() << " ms: " << toString(fault.kind) << " for " << fault.lasts.count()
             << " ms, target " << fault.target % m_size.nodes << '/' << fault.target % m_serving.size()
             << ", variant " << fault.variant << '\n';
    return text.str();
}

soak_evidence soak_run::play()
{
    std::vector<node_address> addresses;
    for (std::size_t i = 0; i < m_size.nodes; ++i)
        addresses.push_back({ m_world.node(i).address, m_world.node(i).callerPort });
    std::vector<std::unique_ptr<soak_caller>> callers;
    std::vector<std::thread> threads;
    std::atomic<bool> isStopped { false };
    for (std::size_t i = 0; i < m_size.callers; ++i) {
        callers.push_back(
            std::make_unique<soak_caller>("caller-" + std::to_string(i), m_seed * 1000 + i, addresses));
        // Not by its place in the vector, which moves while it grows.
        threads.emplace_back([caller = callers.back().get(), &isStopped] { caller->run(isStopped); });
    }
    const time_point startedAt = now();
    auto next = m_plan.begin();
    while (now() - startedAt < m_size.length) {
        for (; next != m_plan.end() && now() - startedAt >= next->at; ++next)
            begin(*next);
        tick();
        std::this_thread::sleep_for(tickPeriod);
    }
    endAll();
    awaitService();
    isStopped = true;
    for (std::thread& thread : threads)
        thread.join();
    for (const auto& caller : callers)
        m_evidence.calls.insert(m_evidence.calls.end(), caller->calls().begin(), caller->calls().end());
    collect();
    return std::move(m_evidence);
}

unsigned short soak_run::routed(unsigned short port)
{
    auto& proxy = m_proxies[port];
    if (!proxy)
        proxy = std::make_unique<fault_proxy>(m_proxyThread, port);
    return proxy->port();
}

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
    case fault_kind::ConfigurationChanges:
        return m_world.configure(++m_version, m_keysTaken == 0);
    case fault_kind::DataCentreEvacuated:
        return evacuate(dataCentreOf(fault.target), fault.lasts);
    }
}

void soak_run::cutOffNode(const planned_fault& fault)
{
    ++m_cuts;
    for (const auto& [text, path] : m_paths)
        path->set(cutStates.at(fault.variant % cutStates.size()));
    until(fault.lasts, [this] {
        if (--m_cuts > 0)
            return;
        for (const auto& [text, path] : m_paths)
            path->set(link_state::Open);
    });
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

void soak_run::addPath(const replica_standin& server)
{
    const unsigned short port = routed(server.port());
    m_paths["127.0.0.1:" + std::to_string(port)] = std::make_unique<fault_proxy>(m_proxyThread, port);
    if (m_world.nodeCount() > cutNode)
        m_world.store().setSubstitutions(m_world.node(cutNode).storePort, pathTexts(m_paths));
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
        return faultOnNode(node, fault.lasts + startTime);
    case fault_kind::PauseNode:
        process.sendSignal(SIGSTOP);
        until(fault.lasts, [this, node] { m_world.node(node).process->sendSignal(SIGCONT); });
        return faultOnNode(node, fault.lasts);
    case fault_kind::StopNode:
        life = { true, now() };
        process.sendSignal(SIGTERM);
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
        announce(server, "draining");
        m_evidence.leftAt[standin.id()] = now();
        until(drainTime, [this, &standin] { m_world.withdraw(standin); });
        return replaceServer(server);
    }
}

void soak_run::takeKeyAway(duration lasts)
{
    ++m_keysTaken;
    m_world.configure(++m_version, false);
    if (m_keysTaken == 1)
        m_evidence.withoutSecondKey.push_back({ now(), time_point::max() });
    until(lasts, [this] {
        if (--m_keysTaken > 0)
            return;
        m_evidence.withoutSecondKey.back().to = now();
        m_world.configure(++m_version, true);
    });
}

void soak_run::replaceServer(std::size_t server)
{
    const bool isPress = server < m_size.servers;
    const std::string id = (isPress ? "press-" : "engine-") + std::to_string(m_servers.size());
    m_servers.push_back(std::make_unique<replica_standin>(m_world.thread(), id));
    m_serving[server] = m_servers.size() - 1;
    if (!isPress) {
        m_servers.back()->setEvents(eventsOfStream, eventsOfStream / 2);
        m_servers.back()->act(replica_act::Stream);
    }
    m_evidence.dataCentres[id] = dataCentreOf(server);
    addPath(*m_servers.back());
    announce(server, "ready");
}

void soak_run::announce(std::size_t server, const std::string& state, duration coldFor)
{
    const bool isPress = server < m_size.servers;
    const replica_entry entry { state, dataCentreOf(server), static_cast<unsigned>(coldFor.count()) };
    m_world.announce(*m_servers[m_serving[server]], isPress ? "press" : "engines", entry);
}

void soak_run::until(duration lasts, std::function<void()> undo)
{
    m_ends.push_back({ now() + lasts, std::move(undo) });
}

void soak_run::faultOnNode(std::size_t node, duration lasts)
{
    m_evidence.nodeFaults[node].push_back({ now(), now() + lasts });
}

void soak_run::tick()
{
    for (std::size_t i = 0; i < m_ends.size(); ++i) {
        if (now() < m_ends[i].at || !m_ends[i].undo)
            continue;
        const auto undo = std::exchange(m_ends[i].undo, nullptr);
        undo();
    }
    for (std::size_t i = 0; i < m_size.nodes; ++i)
        stepNode(i);
}

void soak_run::stepNode(std::size_t node)
{
    gateway_node& target = m_world.node(node);
    node_life& life = m_lives[node];
    if (target.process->isRunning() || now() < life.restartAt)
        return;
    if (!life.isToRestart) {
        m_evidence.ownEnds.push_back(target.name);
        faultOnNode(node, startTime);
    }
    life.isToRestart = false;
    m_world.restartNode(target);
}

/// Everything is undone, and all nodes run again.
void soak_run::endAll()
{
    for (pending_end& each : m_ends)
        each.at = now();
    waitUntil([this] {
        tick();
        return std::ranges::none_of(m_lives, &node_life::isToRestart);
    });
    for (std::size_t i = 0; i < m_size.nodes; ++i) {
        if (m_lives[i].isToRestart) // it was stopped, and does not end
            m_evidence.notRecovered.push_back(m_world.node(i).name);
    }
}

/// All nodes serve each kind once more.
void soak_run::awaitService()
{
    static constexpr std::array kinds { call_kind::Payment, call_kind::Draft };
    for (std::size_t i = 0; i < m_size.nodes; ++i) {
        for (const call_kind kind : kinds) {
            const bool isServed = waitUntil([&] {
                const std::string path = kind == call_kind::Payment ? "/pay/order" : "/draft/1";
                http_question question = m_world.question("POST", path);
                question.body = question.headers["Lycheefront-Attempt-Id"];
                call_record call;
                call.id = question.body;
                call.kind = kind;
                call.node = i;
                call.sentAt = now();
                const http_reply reply = m_world.ask(m_world.node(i), question);
                call.status = reply.status;
                call.isWhole = reply.isWhole;
                call.isMarked = reply.headers.contains("Lycheefront-Response-Signature");
                call.answeredId = call.isMarked ? reply.headers.at("Lycheefront-Attempt-Id") : "";
                call.body = reply.body;
                call.endedAt = now();
                m_evidence.calls.push_back(call);
                return reply.status == 200 && reply.isWhole;
            });
            if (!isServed)
                m_evidence.notRecovered.push_back(m_world.node(i).name);
        }
    }
}

void soak_run::collect()
{
    for (const auto& server : m_servers) {
        for (platform_standin::replica_request& request : server->requests())
            m_evidence.arrivals.push_back({ server->id(), std::move(request) });
    }
}

} // namespace soak

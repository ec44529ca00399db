#include "soakrun.h"

#include "processtools/freeport.h"
#include "processtools/waituntil.h"

#include <array>
#include <fstream>
#include <sstream>
#include <thread>

namespace soak {

namespace {

using platform_standin::fault_proxy;
using platform_standin::replica_act;
using platform_standin::replica_standin;
using platform_standin::store_mode;

constexpr duration tickPeriod = std::chrono::milliseconds(20);
constexpr unsigned eventsOfStream = 30;
constexpr duration logTime = std::chrono::milliseconds(1500); // until a node has written its lines

constexpr std::size_t cutNode = 0; // the first to start
constexpr std::size_t pathAddress = 240; // index of the address of its paths, behind those of all nodes

using path_texts = std::map<std::string, std::string>;

/// What the store tells the node that may be cut off, by what it tells the others.
path_texts pathTexts(const std::map<std::string, std::unique_ptr<fault_proxy>>& paths)
{
    path_texts texts;
    for (const auto& [text, path] : paths)
        texts[text] = path->address();
    return texts;
}

/// The value of a field in a line of a node's log; empty if it has none.
std::string fieldOf(const std::string& line, const std::string& name)
{
    const std::string begin = '"' + name + "\":\"";
    const std::size_t at = line.find(begin);
    if (at == std::string::npos)
        return {};
    const std::size_t from = at + begin.size();
    return line.substr(from, line.find('"', from) - from);
}

} // namespace

time_point soak_run::now()
{
    return std::chrono::steady_clock::now();
}

std::string soak_run::dataCentreOf(std::size_t server)
{
    return server % 2 == 0 ? "a" : "b";
}

soak_run::soak_run(std::uint64_t seed, const soak_size& size)
    : m_size(size)
    , m_seed(seed)
    , m_plan(drawPlan(seed, size))
    , m_pace(drawPace(seed))
    , m_world(0, [this](unsigned short port) { return routed(port); })
    , m_lives(size.nodes)
    , m_engineVersions(size.servers, 1)
{
    m_evidence.wholeStream = platform_standin::eventsUpTo(eventsOfStream);
    m_evidence.nodeFaults.resize(size.nodes);
    m_evidence.nodeEnds.resize(size.nodes);
    for (std::size_t i = 0; i < 2 * size.servers; ++i) {
        m_serving.push_back(0);
        replaceServer(i);
    }
    configure(true);
    m_world.setRetryLimits(retriesPerCall, extraRetries);
    // The node that may be cut off starts before its peers, of which it could copy addresses behind its
    // paths.
    m_world.awaitReady(m_world.startNode(store_mode::Serve, pathTexts(m_paths)));
    for (std::size_t i = 1; i < size.nodes; ++i)
        m_world.startNode();
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
    text << "an event each " << m_pace.eventInterval.count() << " ms\n";
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

void soak_run::addPath(const replica_standin& server)
{
    const unsigned short port = routed(server.port());
    m_paths["127.0.0.1:" + std::to_string(port)]
        = std::make_unique<fault_proxy>(m_proxyThread, port, nodeAddress(pathAddress));
    if (m_world.nodeCount() > cutNode)
        m_world.store().setSubstitutions(m_world.node(cutNode).storePort, pathTexts(m_paths));
}

void soak_run::replaceServer(std::size_t server)
{
    const bool isPress = server < m_size.servers;
    const std::string id = (isPress ? "press-" : "engine-") + std::to_string(m_servers.size());
    m_servers.push_back(std::make_unique<replica_standin>(m_world.thread(), id));
    m_serving[server] = m_servers.size() - 1;
    if (!isPress) {
        m_servers.back()->setEvents(eventsOfStream, eventsOfStream / 2);
        m_servers.back()->setEventInterval(m_pace.eventInterval);
        m_servers.back()->act(replica_act::Stream);
        const std::string version = "v" + std::to_string(m_engineVersions[server - m_size.servers]);
        m_servers.back()->setEventType(version);
        if (m_isPartCrashing)
            m_servers.back()->crashOn({ std::string(crashingPart) });
        m_evidence.engines[id] = { version, now() };
    }
    m_evidence.dataCentres[id] = dataCentreOf(server);
    addPath(*m_servers.back());
    announce(server, "ready");
}

void soak_run::announce(std::size_t server, const std::string& state, duration coldFor)
{
    const bool isPress = server < m_size.servers;
    replica_entry entry { state, dataCentreOf(server), static_cast<unsigned>(coldFor.count()) };
    if (!isPress)
        entry.softwareVersion = m_evidence.engines.at(m_servers[m_serving[server]]->id()).version;
    m_world.announce(*m_servers[m_serving[server]], isPress ? "press" : "engines", entry);
}

void soak_run::configure(bool hasSecondKey)
{
    configuration_content content;
    content.hasSecondKey = hasSecondKey;
    content.latencyMs = static_cast<unsigned>(m_pace.targetLatency.count());
    content.gapMs = static_cast<unsigned>(m_pace.targetGap.count());
    m_world.configure(++m_version, content);
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
        m_evidence.nodeEnds[node].push_back({ now() - startTime, now() + startTime });
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
                takeVersions(call);
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
        const std::vector<time_point> crashes = server->crashTimes();
        m_evidence.crashes[server->id()] = crashes;
        m_evidence.partCrashes.insert(m_evidence.partCrashes.end(), crashes.begin(), crashes.end());
        for (platform_standin::replica_request& request : server->requests())
            m_evidence.arrivals.push_back({ server->id(), std::move(request) });
    }
    collectLogs();
}

void soak_run::collectLogs()
{
    std::this_thread::sleep_for(logTime);
    for (std::size_t i = 0; i < m_size.nodes; ++i) {
        const gateway_node& node = m_world.node(i);
        for (unsigned start = 1; start <= node.starts; ++start)
            readLog(m_world.folder() + "/" + node.name + "." + std::to_string(start) + ".log", i);
    }
    findPathNodes();
}

void soak_run::readLog(const std::string& file, std::size_t node)
{
    std::ifstream log(file);
    for (std::string line; std::getline(log, line);) {
        if (fieldOf(line, "name") == "answer_cut")
            m_evidence.reportedCuts.insert(fieldOf(line, "request"));
        else if (fieldOf(line, "name") == "view_copy_taken" && fieldOf(line, "part") == "servers")
            m_copies[fieldOf(line, "peer")].insert(node);
    }
}

void soak_run::findPathNodes()
{
    std::vector<std::size_t> found { cutNode };
    while (!found.empty()) {
        const std::size_t node = found.back();
        found.pop_back();
        if (!m_evidence.pathNodes.insert(node).second)
            continue;
        const std::set<std::size_t>& copies = m_copies[m_world.node(node).name];
        found.insert(found.end(), copies.begin(), copies.end());
    }
}

} // namespace soak

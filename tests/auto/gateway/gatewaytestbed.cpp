#include "gatewaytestbed.h"

#include "processtools/freeport.h"

#include <boost/json.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace json = boost::json;
using platform_standin::replica_standin;
using platform_standin::store_mode;

namespace {

json::array textsJson(const std::vector<std::string>& texts)
{
    return json::array(texts.begin(), texts.end());
}

json::object routeJson(const std::string& name, const std::string& path, const std::string& kind,
    const std::string& service, unsigned attempts, const configuration_content& content)
{
    return { { "name", name }, { "hostname", "shop.example" }, { "pathPrefix", path }, { "kind", kind },
        { "timeoutMs", content.timeoutMs }, { "targetLatencyMs", content.latencyMs }, { "priority", 1 },
        { "backend", service }, { "maxAttempts", attempts }, { "public", false },
        { "sticky", kind == "streaming" }, { "resumable", name == "chat" }, { "gapAimMs", content.gapMs },
        { "allowedRegions", textsJson(content.routeRegions) } };
}

} // namespace

gateway_testbed::gateway_testbed(std::size_t replicas, port_route route)
    : m_route(std::move(route))
    , m_store(m_thread)
    , m_folder(std::filesystem::temp_directory_path() / ("lycheefront-gateway-" + std::to_string(getpid())))
    , m_peerPort(freePortPair(nodeAddress(0)))
{
    std::filesystem::create_directories(m_folder);
    for (std::size_t i = 0; i < replicas; ++i) {
        m_press.push_back(std::make_unique<replica_standin>(m_thread, "press-" + std::to_string(i)));
        m_engines.push_back(std::make_unique<replica_standin>(m_thread, "engine-" + std::to_string(i)));
        m_engines.back()->act(platform_standin::replica_act::Stream);
        announce(*m_press.back(), "press");
        announce(*m_engines.back(), "engines");
    }
}

void gateway_testbed::configure(unsigned version, bool hasSecondKey)
{
    configure(version, configuration_content { hasSecondKey });
}

void gateway_testbed::configure(unsigned version, const configuration_content& content)
{
    json::array keys { "key-1" };
    if (content.hasSecondKey)
        keys.push_back("key-2");
    const json::object engine { { "slots", content.slots }, { "kvCapacity", 100000 }, { "kvBytes", 18432 },
        { "linkMbps", 130000 } };
    const json::object document {
        { "resourceVersion", version },
        { "routes",
            json::array { routeJson("pay", "/pay/", "non_idempotent", "press", 1, content),
                routeJson("look", "/look/", "idempotent", "press", 2, content),
                routeJson("chat", "/chat/", "streaming", "engines", 2, content),
                routeJson("draft", "/draft/", "streaming", "engines", 1, content) } },
        { "services",
            json::array { json::object { { "name", "press" }, { "healthPath", "/healthz" }, { "maxConns", 9 },
                              { "coldStartS", 3 }, { "coldPerS", content.coldRequestsPerSecond } },
                json::object { { "name", "engines" }, { "healthPath", "/healthz" },
                    { "maxConns", content.slots + 1 }, { "engine", engine } } } },
        { "limits",
            json::object { { "maxHeaderBytes", 4096 }, { "maxBodyBytes", content.maxBodyBytes },
                { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants",
            json::array { json::object { { "name", "print-shop" }, { "apiKeys", keys },
                { "allowedRegions", textsJson(content.workspaceRegions) } } } },
    };
    m_store.put("op/config", json::serialize(document));
}

void gateway_testbed::announce(
    const replica_standin& replica, const std::string& service, const std::string& state)
{
    announce(replica, service, replica_entry { state });
}

void gateway_testbed::announce(
    const replica_standin& replica, const std::string& service, const replica_entry& described)
{
    replica_entry named = described;
    if (named.id.empty())
        named.id = replica.id();
    announceAt("127.0.0.1:" + std::to_string(routed(replica.port())), service, named);
}

void gateway_testbed::announce(
    const platform_standin::raw_replica& replica, const std::string& service, const replica_entry& described)
{
    replica_entry named = described;
    named.id = replica.id();
    announceAt(replica.address(), service, named);
}

void gateway_testbed::announceAt(
    const std::string& address, const std::string& service, const replica_entry& described)
{
    const json::object entry { { "backend", service }, { "address", address },
        { "zone", described.dataCentre }, { "resourceVersion", described.softwareVersion },
        { "slots", described.slots }, { "state", described.state }, { "coldRemainingMs", described.coldMs },
        { "sequence", 1 }, { "born", described.startedAtMs } };
    m_store.put("servers/" + described.id, json::serialize(entry));
}

void gateway_testbed::withdraw(const replica_standin& replica)
{
    m_store.remove("servers/" + replica.id());
}

gateway_node& gateway_testbed::startNode(store_mode mode, std::map<std::string, std::string> substitutions)
{
    auto node = std::make_unique<gateway_node>();
    const std::string number = std::to_string(m_nodes.size() + 1);
    node->name = "vm-" + number;
    node->address = nodeAddress(m_nodes.size());
    node->storePort = m_store.listen();
    m_store.setMode(node->storePort, mode);
    m_store.setSubstitutions(node->storePort, std::move(substitutions));
    node->callerPort = freePort(node->address);
    node->readinessPort = freePort(node->address);
    node->metricsPort = freePort(node->address);
    node->settingsFile = m_folder + "/node-" + number + ".toml";
    std::ofstream(node->settingsFile) << settingsFor(*node, m_peerPort);
    restartNode(*node);
    m_nodes.push_back(std::move(node));
    return *m_nodes.back();
}

void gateway_testbed::restartNode(gateway_node& node) const
{
    std::vector<std::string> arguments { "--settings=" + node.settingsFile,
        "--metrics_port=" + std::to_string(node.metricsPort) };
    node.process
        = std::make_unique<spawned_process>(std::string(LYCHEEFRONT_BIN_DIR) + "/lycheefront-gateway",
            arguments, m_folder + "/" + node.name + "." + std::to_string(++node.starts) + ".log");
}

std::string gateway_testbed::settingsFor(const gateway_node& node, unsigned short peerPort) const
{
    std::string seeds;
    for (const auto& other : m_nodes)
        seeds += (seeds.empty() ? "\"" : ", \"") + other->address + ":1\"";
    const std::string store = "127.0.0.1:" + std::to_string(routed(node.storePort));
    const std::string regions = "[zones]\na = \"north\"\nb = \"north\"\nc = \"south\"\n";
    return "node = \"" + node.name + "\"\nzone = \"a\"\nseeds = [" + seeds + "]\ninternalPorts = ["
        + std::to_string(peerPort) + ", " + std::to_string(peerPort + 1) + "]\n" + regions
        + "[listen]\nfront = \"" + node.address + ":" + std::to_string(node.callerPort) + "\"\nreadiness = \""
        + node.address + ":" + std::to_string(node.readinessPort) + "\"\n[provider]\naddress = \"" + store
        + "\"\n[bounds]\nretryBudgetRatio = " + std::to_string(m_retryRatio)
        + "\nbudgetExtra = " + std::to_string(m_extraRetries) + "\n";
}

bool gateway_testbed::isReady(const gateway_node& node) const
{
    http_question question;
    question.target = "/-/ready";
    question.address = node.address;
    return askHttp(node.readinessPort, question).status == 200;
}

void gateway_testbed::awaitReady(const gateway_node& node) const
{
    if (!waitUntil([&] { return isReady(node); }))
        throw std::runtime_error("the node is not ready: " + node.process->log());
}

void gateway_testbed::awaitPeers() const
{
    const std::string others = "lycheefront_peers " + std::to_string(m_nodes.size() - 1);
    for (const auto& node : m_nodes) {
        if (!waitUntil([&] { return metrics(*node).find(others) != std::string::npos; }))
            throw std::runtime_error("the node does not hear the others: " + node->process->log());
    }
}

void gateway_testbed::killAll()
{
    for (const auto& node : m_nodes)
        node->process->kill();
    for (const auto& node : m_nodes)
        restartNode(*node);
    for (const auto& node : m_nodes)
        awaitReady(*node);
}

std::string gateway_testbed::metrics(const gateway_node& node) const
{
    http_question question;
    question.target = "/metrics";
    question.address = node.address;
    return askHttp(node.metricsPort, question).body;
}

http_question gateway_testbed::question(
    const std::string& method, const std::string& path, const std::string& body)
{
    http_question question;
    question.method = method;
    question.target = path;
    question.body = body;
    question.headers["Host"] = "shop.example";
    question.headers["Authorization"] = "Token key-1";
    question.headers["Lycheefront-Attempt-Id"] = "request-" + std::to_string(m_nextId++);
    question.headers["Lycheefront-Deadline-Ms"] = "30000";
    return question;
}

http_reply gateway_testbed::ask(const gateway_node& node, const http_question& question) const
{
    http_question addressed = question;
    addressed.address = node.address;
    return askHttp(node.callerPort, addressed);
}

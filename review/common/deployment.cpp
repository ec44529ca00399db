#include "deployment.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr auto idleTime = std::chrono::seconds(60); // of a connection to a stand-in

std::string base64(const std::string& bytes)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= count ? digits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

/// The value of a parameter in the query, percent-decoded.
std::string parameter(const std::string& target, const std::string& name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        ++at;
        const std::size_t end = target.find('&', at);
        const std::string pair = target.substr(at, end == std::string::npos ? end : end - at);
        at = end;
        if (!pair.starts_with(name + '='))
            continue;
        std::string value;
        for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
            if (pair[i] != '%') {
                value += pair[i];
                continue;
            }
            value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        return value;
    }
    return {};
}

/// The first field of that name in a JSON text whose strings have no escapes; empty if there is none.
std::string textField(const std::string& json, const std::string& name)
{
    const std::string mark = '"' + name + "\":";
    std::size_t begin = json.find(mark);
    if (begin == std::string::npos)
        return {};
    begin += mark.size();
    const bool isText = json[begin] == '"';
    begin += isText ? 1 : 0;
    return json.substr(begin, json.find_first_of(isText ? "\"" : ",}]", begin) - begin);
}

} // namespace

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void endRun(int status)
{
    std::cout.flush();
    std::_Exit(status);
}

run_record::run_record(const std::string& path)
    : m_file(path)
{
}

void run_record::add(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    const std::chrono::duration<double> elapsed = steady_clock::now() - m_startedAt;
    m_file << std::fixed << std::setprecision(3) << elapsed.count() << ' ' << line << std::endl;
}

store_standin::store_standin(const std::string& ip)
    : m_listener(ip)
    , m_address(ip + ':' + std::to_string(m_listener.port()))
{
    m_listener.start([this](stream_socket& socket) { serve(socket); });
}

void store_standin::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    change(key, base64(value));
}

void store_standin::change(const std::string& key, std::string value)
{
    m_items[key] = { std::move(value), ++m_revision };
    m_changed.notify_all();
}

void store_standin::serve(stream_socket& socket)
{
    while (const auto request = readMessage(socket, idleTime)) {
        const auto [status, body] = answer(*request);
        const std::string head = "HTTP/1.1 " + std::to_string(status)
            + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size());
        if (!socket.send(head + "\r\n\r\n" + body))
            return;
    }
}

std::string store_standin::itemJson(const std::string& key, const item& stored) const
{
    const std::string revision = std::to_string(stored.revision);
    return R"({"key":")" + key + R"(","value":")" + stored.value + R"(","revision":)" + revision
        + R"(,"createRev":)" + revision + R"(,"lease":0,"asOf":)" + std::to_string(m_revision) + '}';
}

std::string store_standin::itemsAfter(const std::string& prefix, std::uint64_t after) const
{
    std::string items;
    for (const auto& [key, stored] : m_items) {
        if (key.starts_with(prefix) && stored.revision > after)
            items += (items.empty() ? "" : ",") + itemJson(key, stored);
    }
    return items;
}

std::pair<int, std::string> store_standin::write(const std::string& transaction)
{
    const std::string key = textField(transaction, "key");
    const std::uint64_t expected = std::strtoull(textField(transaction, "revision").c_str(), nullptr, 10);
    const auto found = m_items.find(key);
    const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
    if (revision != expected)
        return { 412, R"({"items":[)" + (revision == 0 ? "" : itemJson(key, found->second)) + "]}" };
    change(key, textField(transaction, "value"));
    return { 200, R"({"revision":)" + std::to_string(m_revision) + '}' };
}

std::pair<int, std::string> store_standin::answer(const http_message& request)
{
    const std::string& line = request.startLine;
    const std::size_t begin = line.find(' ') + 1;
    const std::string target = line.substr(begin, line.rfind(' ') - begin);
    std::unique_lock lock(m_mutex);
    const std::string prefix = parameter(target, "pathPrefix");
    const auto asOf = [this] { return R"(,"asOf":)" + std::to_string(m_revision) + '}'; };
    if (target.starts_with("/-/kv-range"))
        return { 200, R"({"items":[)" + itemsAfter(prefix, 0) + R"(],"hasMore":false)" + asOf() };
    if (target.starts_with("/-/kv-watch")) {
        const std::uint64_t after = std::stoull(parameter(target, "after"));
        const auto until = steady_clock::now() + milliseconds(std::stoul(parameter(target, "waitMs")));
        while (itemsAfter(prefix, after).empty()
            && m_changed.wait_until(lock, until) != std::cv_status::timeout) { }
        return { 200, R"({"events":[)" + itemsAfter(prefix, after) + ']' + asOf() };
    }
    if (target.starts_with("/-/kv-key")) {
        const auto found = m_items.find(parameter(target, "key"));
        return found == m_items.end() ? std::pair(404, std::string("{}"))
                                      : std::pair(200, itemJson(found->first, found->second));
    }
    if (target.starts_with("/-/kv-txn"))
        return write(request.body);
    return { 404, "{}" };
}

replica_standin::replica_standin(
    const std::string& ip, std::string id, std::string service, handler handle, std::uint16_t port)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_handle(std::move(handle))
    , m_listener(ip, port)
    , m_address(ip + ':' + std::to_string(m_listener.port()))
{
    m_listener.start([this](stream_socket& socket) { serve(socket); });
}

std::string replica_standin::entryJson(unsigned slots, unsigned life) const
{
    return R"({"backend":")" + m_service + R"(","address":")" + m_address
        + R"(","zone":"zone-a","resourceVersion":"v1","slots":)" + std::to_string(slots)
        + R"(,"state":"ready","coldRemainingMs":0,"sequence":4,"born":)"
        + std::to_string(1700000000000 + life) + '}';
}

void replica_standin::serve(stream_socket& socket)
{
    while (auto message = readMessage(socket, idleTime)) {
        const std::string& line = message->startLine;
        const std::size_t first = line.find(' ');
        const std::size_t last = line.rfind(' ');
        replica_request request { line.substr(0, first), line.substr(first + 1, last - first - 1), {}, {} };
        request.id = message->header("lycheefront-attempt-id");
        const std::string expected = message->header("lycheefront-expect-instance");
        request.message = std::move(*message);
        if (!expected.empty() && expected != m_id) {
            const std::string refusal = "HTTP/1.1 421 Misdirected Request\r\nLycheefront-Attempt-Id: "
                + request.id + "\r\nLycheefront-Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n";
            if (!socket.send(refusal))
                return;
            continue;
        }
        if (!m_handle(*this, socket, request))
            return;
    }
}

std::string responseOf(const std::string& requestId, int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " OK\r\nLycheefront-Attempt-Id: " + requestId
        + "\r\nLycheefront-Response-Signature: " + signature
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string configurationJson(unsigned version, const std::vector<std::string>& keys)
{
    std::string keyList;
    for (const std::string& key : keys)
        keyList += (keyList.empty() ? "\"" : ",\"") + key + '"';
    const auto route = [](const std::string& name, const std::string& kind, const std::string& service,
                           const std::string& more) {
        return R"({"name":"r-)" + name + R"(","hostname":")" + hostName + R"(","pathPrefix":"/)" + name
            + R"(/","kind":")" + kind + R"(","backend":")" + service + R"(","public":false,)" + more + '}';
    };
    return R"({"resourceVersion":)" + std::to_string(version) + R"(,"routes":[)"
        + route("chat", "streaming", modelService,
            R"("timeoutMs":12000,"targetLatencyMs":800,"priority":1,"maxAttempts":1,"sticky":true,)"
            R"("resumable":false,"gapAimMs":300)")
        + ','
        + route("pay", "non_idempotent", plainService,
            R"("timeoutMs":2000,"targetLatencyMs":300,"priority":2,"maxAttempts":1)")
        + ','
        + route("look", "idempotent", plainService,
            R"("timeoutMs":2000,"targetLatencyMs":300,"priority":2,"maxAttempts":2)")
        + R"(],"services":[{"name":")" + modelService
        + R"(","healthPath":"/healthz","maxConns":620,"protocol":"h1","tls":false,"engine":{"slots":128,)"
          R"("kvCapacity":692758,"kvBytes":18432,"linkMbps":88000.0}},{"name":")"
        + plainService
        + R"(","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],)"
          R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
          R"("idleTimeoutMs":15000},"tenants":[{"name":")"
        + tenantName + R"(","apiKeys":[)" + keyList + R"(],"priority":1}]})";
}

std::vector<node_place> placeNodes(unsigned count)
{
    constexpr std::uint16_t portsOfNode = 30;
    std::vector<node_place> nodes;
    for (unsigned i = 1; i <= count; ++i)
        nodes.push_back({ "front-zone-a-" + std::to_string(i), loopbackAddress(), 0 });
    const std::uint16_t port = freePorts(nodes.front().ip, portsOfNode);
    for (node_place& node : nodes)
        node.port = port;
    return nodes;
}

gateway_process::gateway_process(
    std::string binary, const std::string& storeAddress, std::vector<node_place> nodes)
    : m_binary(std::move(binary))
    , m_nodes(std::move(nodes))
{
    char folder[] = "/tmp/review-XXXXXX";
    if (::mkdtemp(folder) == nullptr)
        throw std::runtime_error("no temporary folder");
    m_folder = folder;
    m_settings = m_folder + "/local.toml";
    writeSettings(storeAddress);
}

void gateway_process::writeSettings(const std::string& storeAddress) const
{
    const auto at = [](const node_place& node, unsigned offset) {
        return '"' + node.ip + ':' + std::to_string(node.port + offset) + '"';
    };
    const node_place& own = m_nodes.front();
    std::string seeds;
    for (const node_place& node : m_nodes)
        seeds += (seeds.empty() ? "" : ",") + at(node, 2);
    std::ofstream file(m_settings);
    file << "node = \"" << own.name << "\"\nrole = \"gateway\"\nmachineClass = \"front\"\n"
         << "serves = [\"front\",\"control\"]\nip = \"" << own.ip << "\"\nzone = \"zone-a\"\n"
         << "region = \"baltic-north\"\ninternalPorts = [" << own.port + 10 << ',' << own.port + 25 << "]\n"
         << "seeds = [" << seeds << "]\nbootstrap = true\nlossCounts = false\n"
         << "discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n"
         << "[zones]\nzone-a = \"baltic-north\"\n"
         << "[listen]\nfront = " << at(own, 0) << "\nreadiness = " << at(own, 1)
         << "\ncontrol = " << at(own, 2)
         << "\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\n"
         << "[bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\n"
         << "drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n"
         << "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 54\nrecoverS = 12\n"
         << "[provider]\naddress = \"" << storeAddress << "\"\nform = \"kv\"\nwritesPerS = 400\n"
         << "readsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n";
}

gateway_process::~gateway_process()
{
    kill();
    std::error_code ignored; // a leftover folder disturbs nothing
    std::filesystem::remove_all(m_folder, ignored);
}

bool gateway_process::start()
{
    const std::string log = m_folder + "/log.txt";
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("LYCHEEFRONT_NODE_FILE", m_settings.c_str(), 1);
        if (std::freopen(log.c_str(), "a", stdout) != nullptr)
            ::dup2(1, 2);
        ::execl(m_binary.c_str(), m_binary.c_str(), "--metrics_port=9464", nullptr);
        ::_exit(127);
    }
    m_pid = child;
    const auto until = steady_clock::now() + std::chrono::seconds(10);
    while (steady_clock::now() < until && !hasEnded()) {
        if (isReady())
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

bool gateway_process::isReady() const
{
    stream_socket socket = stream_socket::connectTo(ip(), static_cast<std::uint16_t>(port() + 1));
    if (!socket.isOpen() || !socket.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
        return false;
    const auto answer = readMessage(socket, std::chrono::seconds(1));
    return answer && answer->status() == 200;
}

void gateway_process::kill()
{
    const pid_t child = m_pid.exchange(0);
    if (child <= 0)
        return;
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
}

bool gateway_process::hasEnded()
{
    const pid_t child = m_pid;
    if (child <= 0 || ::waitpid(child, nullptr, WNOHANG) != child)
        return child <= 0;
    m_pid = 0;
    return true;
}

std::size_t gateway_process::residentBytes() const
{
    const pid_t child = m_pid;
    std::ifstream file("/proc/" + std::to_string(child) + "/statm");
    std::size_t all = 0;
    std::size_t resident = 0;
    if (child <= 0 || !(file >> all >> resident))
        return 0;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::string requestHead(const std::string& id, const std::string& method, const std::string& path,
    unsigned deadlineMs, const std::string& key)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: " + hostName + "\r\nLycheefront-Attempt-Id: " + id
        + "\r\nLycheefront-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Token " + key
        + "\r\n";
}

} // namespace review

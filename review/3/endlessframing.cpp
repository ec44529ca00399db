// One replica of three spoils 2 of 100 of its streams for five seconds: behind a valid head come bytes that
// are no chunk, and they do not end. The other replicas are sound and run payments. Checks whether clients'
// kept connections are closed without an answer to requests that were passed on to sound replicas. The
// stand-in of the platform kills a process that exceeds the memory of its settings and starts it again, as it
// does on a VM. Usage: case-3 GATEWAY RECORD. Ends with 1 if the rule was broken, 0 if it held, 2 if the case
// could not run.

#include "deployment.h"

#include <iostream>
#include <memory>
#include <set>

namespace {

using namespace review;

constexpr unsigned payers = 12;
constexpr unsigned readers = 4;
constexpr auto playTime = std::chrono::seconds(14);
// When responses are spoiled, since the start of the traffic.
constexpr auto troubleFrom = std::chrono::seconds(2);
constexpr auto troubleUntil = std::chrono::seconds(7);
constexpr unsigned spoiledEvery = 50; // streams of the faulty replica
constexpr auto payTime = milliseconds(300);
constexpr auto streamTime = milliseconds(20);
constexpr auto answerTimeout = std::chrono::seconds(15);
constexpr unsigned excusedLosses = 3;
// A spoiled response comes at the speed of the replica's link, 1,000 Mbit/s, and ends with its connection, at
// the latest after this many bytes.
constexpr std::size_t linkBytesPerMs = 125000;
constexpr std::size_t maxSpoiledBytes = std::size_t { 600 } * 1000 * 1000;

/// What has become of the payments. Thread safe.
class evidence {
public:
    explicit evidence(run_record& record)
        : m_record(record)
    {
    }

    void run(const std::string& id, const replica_standin& replica)
    {
        const std::lock_guard lock(m_mutex);
        m_run.insert(id);
        m_record.add("run " + id + " at " + replica.id());
    }
    void answered(const std::string& id, const std::optional<http_message>& answer, bool isKept)
    {
        const std::lock_guard lock(m_mutex);
        const bool isLost = !answer && isKept && m_run.contains(id);
        m_lost += isLost ? 1 : 0;
        m_answers += answer ? 1 : 0;
        m_record.add("answered " + id + ": " + (answer ? answer->startLine : "connection closed")
            + (isLost ? ": LOST" : ""));
    }
    unsigned lost() const { return m_lost; }
    unsigned answers() const { return m_answers; }

private:
    run_record& m_record;
    std::mutex m_mutex;
    std::set<std::string> m_run;
    unsigned m_lost = 0;
    unsigned m_answers = 0;
};

/// Sends requests one after the other, on a connection that is kept as long as possible.
void runClient(const std::string& name, const std::string& path, const gateway_process& gateway,
    run_record& record, evidence& seen)
{
    stream_socket socket;
    bool isKept = false;
    const auto until = steady_clock::now() + playTime;
    for (unsigned number = 0; steady_clock::now() < until; ++number) {
        if (!socket.isOpen()) {
            socket = stream_socket::connectTo(gateway.ip(), gateway.port());
            isKept = false;
        }
        if (!socket.isOpen()) {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        const std::string id = name + '-' + std::to_string(number);
        record.add("sent " + id + (isKept ? " on a kept connection" : ""));
        const bool isSent
            = socket.send(requestHead(id, "POST", path, 12000) + "Content-Length: 9\r\n\r\namount=12");
        const auto answer = isSent ? readMessage(socket, answerTimeout) : std::nullopt;
        seen.answered(id, answer, isKept);
        isKept = answer.has_value();
        if (!answer || answer->header("connection") == "close")
            socket.close();
    }
}

bool sendStream(stream_socket& socket, const std::string& requestId)
{
    const std::string events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
    char size[20] = {};
    std::snprintf(size, sizeof size, "%zx", events.size());
    return socket.send("HTTP/1.1 200 OK\r\nLycheefront-Attempt-Id: " + requestId
        + "\r\nLycheefront-Response-Signature: " + signature
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + events
        + "\r\n0\r\n\r\n");
}

/// Sends the head of a stream, and then bytes that are no chunk. Returns how many of these were taken.
std::size_t sendSpoiled(stream_socket& socket, const std::string& requestId)
{
    std::size_t sent = 0;
    const std::string bytes(linkBytesPerMs, '~');
    if (!socket.send("HTTP/1.1 200 OK\r\nLycheefront-Attempt-Id: " + requestId
            + "\r\nLycheefront-Response-Signature: " + signature
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
        return sent;
    const auto startedAt = steady_clock::now();
    while (sent < maxSpoiledBytes && socket.send(bytes)) {
        sent += bytes.size();
        std::this_thread::sleep_until(startedAt + milliseconds(sent / linkBytesPerMs));
    }
    return sent;
}

/// Kills and restarts the process when it exceeds its memory, until `isOver`.
void watchMemory(gateway_process& gateway, run_record& record, std::atomic<unsigned>& kills,
    const std::atomic<bool>& isOver)
{
    std::size_t peak = 0;
    while (!isOver) {
        const std::size_t resident = gateway.residentBytes();
        peak = std::max(peak, resident);
        if (resident > gateway_process::memoryLimit) {
            record.add("the gateway has " + std::to_string(resident >> 20U)
                + " MiB, more than its settings allow: "
                  "killed by the platform");
            gateway.kill();
            ++kills;
            std::this_thread::sleep_for(milliseconds(500));
            record.add(gateway.start() ? "the gateway is back" : "the gateway did not come back");
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    record.add("peak memory " + std::to_string(peak >> 20U) + " MiB");
}

[[noreturn]] void play(const std::string& binary, const std::string& recordPath)
{
    run_record record(recordPath);
    evidence seen(record);
    const std::string ip = loopbackAddress();
    store_standin store(ip);
    std::vector<std::unique_ptr<replica_standin>> replicas;
    std::atomic<unsigned> spoiled = 0; // responses
    std::atomic<unsigned> streams = 0; // of the faulty replica, while it is faulty
    steady_clock::time_point startedAt = steady_clock::time_point::max(); // of the traffic
    const auto pay = [&](replica_standin& replica, stream_socket& socket, const replica_request& request) {
        seen.run(request.id, replica);
        std::this_thread::sleep_for(payTime);
        return socket.send(responseOf(request.id, 200, "paid"));
    };
    const auto stream = [&](replica_standin& replica, stream_socket& socket, const replica_request& request) {
        std::this_thread::sleep_for(streamTime);
        const auto elapsed = steady_clock::now() - startedAt;
        const bool isFaulty
            = hasTrouble() && replica.id() == "i-llm0" && elapsed >= troubleFrom && elapsed < troubleUntil;
        const bool isSpoiled = isFaulty && ++streams % spoiledEvery == 0;
        if (!isSpoiled)
            return sendStream(socket, request.id);
        ++spoiled;
        record.add("spoiled response of " + replica.id() + " to " + request.id);
        const std::size_t sent = sendSpoiled(socket, request.id);
        record.add("spoiled response ended after " + std::to_string(sent / 1000000) + " MB");
        return false;
    };
    for (unsigned i = 0; i < 3; ++i) {
        replicas.push_back(
            std::make_unique<replica_standin>(ip, "i-app" + std::to_string(i), plainService, pay));
        replicas.push_back(
            std::make_unique<replica_standin>(ip, "i-llm" + std::to_string(i), modelService, stream));
    }
    store.put("op/config", configurationJson());
    for (const auto& replica : replicas)
        store.put(
            "servers/" + replica->id(), replica->entryJson(replica->service() == modelService ? 128 : 6));
    auto gateway = std::make_unique<gateway_process>(binary, store.address(), placeNodes(1));
    if (!gateway->start()) {
        record.add("the gateway did not become ready");
        gateway.reset();
        endRun(2);
    }
    startedAt = steady_clock::now();
    std::vector<std::thread> clients;
    for (unsigned i = 0; i < payers; ++i)
        clients.emplace_back(
            [&, i] { runClient("pay" + std::to_string(i), "/pay/1", *gateway, record, seen); });
    for (unsigned i = 0; i < readers; ++i)
        clients.emplace_back(
            [&, i] { runClient("chat" + std::to_string(i), "/chat/1", *gateway, record, seen); });
    std::atomic<bool> isOver = false;
    std::atomic<unsigned> kills = 0;
    std::thread joiner([&] {
        for (std::thread& client : clients)
            client.join();
        isOver = true;
    });
    watchMemory(*gateway, record, kills, isOver);
    joiner.join();
    gateway.reset();
    record.add("killed for its memory: " + std::to_string(kills) + ", answers: "
        + std::to_string(seen.answers()) + ", lost on kept connections: " + std::to_string(seen.lost()));
    std::cout << "killed for its memory " << kills << " times, LOST " << seen.lost() << " requests\n";
    if (seen.answers() == 0 || (hasTrouble() && spoiled == 0))
        endRun(2);
    endRun(seen.lost() > excusedLosses ? 1 : 0);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return 2;
    try {
        play(argv[1], argv[2]);
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
    }
    endRun(2);
}

#pragma once

#include "sockets.h"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

inline const std::string hostName = "ficu95.example";
inline const std::string apiKey = "n2ctnfzs989anu6wsjnb";
inline const std::string tenantName = "hule930";
inline const std::string signature = "3e1b.07.5a2.600.0.c9f2a4d1";

/// Whether the run has the disruption of its case; TROUBLE=0 leaves it out.
bool hasTrouble();

/// Ends the program at once, with that exit status: the threads of the stand-ins still run, and use the
/// objects that a return would destroy.
[[noreturn]] void endRun(int status);

/// Lines of what was sent, answered and run, with the time since the start. Thread safe.
class run_record {
public:
    explicit run_record(const std::string& path);
    void add(const std::string& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady_clock::time_point m_startedAt = steady_clock::now();
};

/// Stand-in of the platform's store: items, reads by key and prefix, watches, and writes of one item under a
/// condition. Thread safe.
class store_standin {
public:
    explicit store_standin(const std::string& ip);
    std::string address() const { return m_address; }
    void put(const std::string& key, const std::string& value);

private:
    struct item {
        std::string value; ///< in base64
        std::uint64_t revision = 0;
    };

    void serve(stream_socket& socket);
    std::pair<int, std::string> answer(const http_message& request);
    std::pair<int, std::string> write(const std::string& transaction);
    void change(const std::string& key, std::string value);
    std::string itemJson(const std::string& key, const item& stored) const;
    std::string itemsAfter(const std::string& prefix, std::uint64_t after) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 400;
    listener m_listener;
    std::string m_address;
};

/// A request as it has reached a replica.
struct replica_request {
    std::string method;
    std::string target;
    http_message message;
    std::string id; ///< of the client's attempt
};

/// Stand-in of a replica: one request at a time on each connection. A request for another instance gets 421;
/// all others go to the handler, which sends the response and returns whether to keep the connection.
class replica_standin {
public:
    using handler = std::function<bool(replica_standin&, stream_socket&, const replica_request&)>;

    /// `port`: 0 for a free one.
    replica_standin(
        const std::string& ip, std::string id, std::string service, handler handle, std::uint16_t port = 0);
    const std::string& id() const { return m_id; }
    /// The entry that the replica keeps in the store. `life`: number of its start.
    std::string entryJson(unsigned slots, unsigned life = 0) const;
    const std::string& service() const { return m_service; }

private:
    void serve(stream_socket& socket);

    std::string m_id;
    std::string m_service;
    handler m_handle;
    listener m_listener;
    std::string m_address;
};

/// A complete response of a replica.
std::string responseOf(const std::string& requestId, int status, const std::string& body);

/// The services of the deployment, by their names on the wire.
inline const std::string modelService = "huvo11a";
inline const std::string plainService = "wuno96b";

/// The operator's configuration, with three routes: /chat/ (a stream that may not be resumed), /pay/ (not
/// idempotent) and /look/ (idempotent).
std::string configurationJson(unsigned version = 7, const std::vector<std::string>& keys = { apiKey });

/// Where a node listens. All nodes of a run have the same port.
struct node_place {
    std::string name;
    std::string ip;
    std::uint16_t port = 0;
};

/// Places for that many nodes, on loopback addresses of their own.
std::vector<node_place> placeNodes(unsigned count);

/// One gateway process, started as the deploy file says. Not thread safe, but for residentBytes().
class gateway_process {
public:
    /// `binary`: path of the program. `nodes`: the places of all nodes, this one first.
    gateway_process(std::string binary, const std::string& storeAddress, std::vector<node_place> nodes);
    ~gateway_process();
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;

    /// Starts the process. Returns whether it has become ready in time.
    bool start();
    /// Ends the process with SIGKILL.
    void kill();
    /// Resident memory of the process; 0 if it does not run.
    std::size_t residentBytes() const;
    /// Whether the process has ended by itself.
    bool hasEnded();
    std::string ip() const { return m_nodes.front().ip; }
    std::uint16_t port() const { return m_nodes.front().port; }

    /// The limit of memory in its settings, in bytes.
    static constexpr std::size_t memoryLimit = 260 * std::size_t { 1024 } * 1024;

private:
    bool isReady() const;

    void writeSettings(const std::string& storeAddress) const;

    std::string m_binary;
    std::vector<node_place> m_nodes;
    std::string m_folder; ///< temporary
    std::string m_settings;
    std::atomic<pid_t> m_pid { 0 };
};

/// The head of a client's request, up to the headers of its body.
std::string requestHead(const std::string& id, const std::string& method, const std::string& path,
    unsigned deadlineMs, const std::string& key = apiKey);

} // namespace review

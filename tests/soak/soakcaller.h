#pragma once

#include "soakcheck.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace soak {

/// Where a node takes callers.
struct node_address {
    std::string address;
    unsigned short port = 0;
};

/// A caller that asks one request after another. It keeps a connection for as long as the node does, and goes
/// to another node when it is closed or, now and then, by itself; some of its requests it gives up early.
/// Streams that break off or that it has given up it takes up again, mostly at another node.
class soak_caller {
public:
    /// `name` begins the ids of its requests.
    soak_caller(std::string name, std::uint64_t seed, std::vector<node_address> nodes);
    ~soak_caller();

    /// Asks until told to stop. To be called once, on a thread of its own.
    void run(const std::atomic<bool>& isStopped);
    /// All it has asked. Precondition: run() has returned.
    const std::vector<call_record>& calls() const { return m_calls; }

private:
    class connection;

    std::uint64_t draw(std::uint64_t below);
    /// Sends the call over the connection that is open, or a new one, and records it. False if there is none.
    bool send(call_record call, duration wait);
    void askOnce();
    /// Takes a stream up that has broken off.
    void resumeLast();

    std::string m_name;
    std::vector<node_address> m_nodes;
    std::uint64_t m_random;
    std::unique_ptr<connection> m_connection;
    std::size_t m_node = 0;
    std::vector<call_record> m_calls;
};

} // namespace soak

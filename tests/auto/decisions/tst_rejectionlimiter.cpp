#include "decisions/rejectionlimiter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using decisions::rejection_limiter;
using utils::server_id;

namespace {

constexpr unsigned slots = 6;
constexpr unsigned room = 8; ///< requests that a server holds, running or waiting
constexpr unsigned rejectionsPerSecond = 6;
constexpr auto heartbeat = 250ms;
constexpr auto runTime = 300ms;

std::string addressOf(std::size_t node)
{
    return "10.0.0." + std::to_string(node) + ":7340";
}

/// A fleet under a burst before servers that reject what they have no room for. A node knows the load of a
/// server as of the last heartbeat of all nodes, and its own requests since.
class burst_fleet {
public:
    burst_fleet(std::size_t nodes, std::size_t servers)
        : m_nodes(nodes)
        , m_servers(servers)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            m_nodes[i].limiter.setFleet(addressOf(i), nodes);
            m_nodes[i].sentSince.resize(servers);
        }
        for (std::size_t i = 0; i < servers; ++i)
            m_servers[i].id = server_id("press-" + std::to_string(i));
    }

    /// Lets all servers announce their limit.
    void announce()
    {
        for (node_state& node : m_nodes)
            node.limiter.recordAnswer("press", rejectionsPerSecond, m_now);
    }

    /// Plays `length` with that many requests a second; returns the most rejections of a server in a second.
    std::size_t play(utils::duration length, double requestsPerSecond)
    {
        const utils::time_point end = m_now + length;
        std::size_t most = 0;
        for (; m_now < end; m_now += 1ms) {
            if ((m_now - utils::time_point {}) % heartbeat == 0ms)
                tellLoads();
            for (server_state& server : m_servers)
                std::erase_if(server.endsAt, [this](auto at) { return at <= m_now; });
            while (!m_waiting.empty() && m_waiting.front().at <= m_now) {
                const waiting_request next = m_waiting.front();
                m_waiting.pop_front();
                trySend(next.node, next.tries);
            }
            m_due += requestsPerSecond / 1000;
            for (; m_due >= 1; m_due -= 1)
                send();
            for (server_state& server : m_servers) {
                while (!server.rejectedAt.empty() && server.rejectedAt.front() <= m_now - 1s)
                    server.rejectedAt.pop_front();
                most = std::max(most, server.rejectedAt.size());
            }
        }
        return most;
    }
    std::size_t served() const { return m_served; }

private:
    struct node_state {
        rejection_limiter limiter { utils::time_point() };
        std::vector<unsigned> sentSince; ///< since the last heartbeat, by server
    };
    struct server_state {
        server_id id;
        unsigned told = 0; ///< load at the last heartbeat
        std::vector<utils::time_point> endsAt;
        std::deque<utils::time_point> rejectedAt;
    };

    struct waiting_request {
        utils::time_point at {};
        std::size_t node = 0;
        unsigned tries = 0;
    };

    void tellLoads()
    {
        for (server_state& server : m_servers)
            server.told = static_cast<unsigned>(server.endsAt.size());
        for (node_state& node : m_nodes)
            std::ranges::fill(node.sentSince, 0);
    }

    void send()
    {
        const std::size_t node = m_random() % m_nodes.size();
        m_nodes[node].limiter.recordArrival("press", m_now);
        trySend(node, 0);
    }

    /// Tries again half a window later where no server may be sent to, for three windows.
    void trySend(std::size_t nodeIndex, unsigned tries)
    {
        constexpr unsigned maxTries = 6;
        node_state& node = m_nodes[nodeIndex];
        server_state* best = nullptr;
        unsigned lowest = 0;
        const std::size_t first = m_random();
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            const std::size_t index = (first + i) % m_servers.size();
            server_state& server = m_servers[index];
            const unsigned known = server.told + node.sentSince[index];
            if (!node.limiter.maySend("press", server.id, known, slots, m_now))
                continue;
            if (best != nullptr && known >= lowest)
                continue;
            best = &server;
            lowest = known;
        }
        if (best == nullptr) {
            if (tries < maxTries)
                m_waiting.push_back({ m_now + rejection_limiter::window / 2, nodeIndex, tries + 1 });
            return;
        }
        node.limiter.recordSent(best->id, m_now);
        ++node.sentSince[static_cast<std::size_t>(best - m_servers.data())];
        if (best->endsAt.size() >= room) {
            best->rejectedAt.push_back(m_now);
            node.limiter.recordRejected(best->id, m_now);
            return;
        }
        ++m_served;
        const auto queued = best->endsAt.size() < slots ? 0ms : runTime;
        best->endsAt.push_back(m_now + runTime + queued);
    }

    std::vector<node_state> m_nodes;
    std::vector<server_state> m_servers;
    std::mt19937_64 m_random { 20261203 };
    utils::time_point m_now = utils::time_point {} + 1h;
    double m_due = 0;
    std::deque<waiting_request> m_waiting;
    std::size_t m_served = 0;
};

/// Requests a second that the servers run when all their slots are in use.
double capacityOf(std::size_t servers)
{
    return static_cast<double>(servers * slots) / utils::toSeconds(runTime);
}

} // namespace

BOOST_AUTO_TEST_SUITE(rejectionlimiter)

// Guards against servers that fail because the nodes together make them reject too many requests.
BOOST_AUTO_TEST_CASE(rejections_of_all_nodes_stay_under_the_limit_in_a_burst)
{
    for (const std::size_t nodes : { 7U, 61U }) {
        const std::size_t servers = nodes == 7 ? 3 : 24;
        BOOST_TEST_CONTEXT("nodes " << nodes)
        {
            burst_fleet unlimited(nodes, servers);
            BOOST_TEST(unlimited.play(5s, 2 * capacityOf(servers)) > rejectionsPerSecond);
            burst_fleet fleet(nodes, servers);
            fleet.announce();
            BOOST_TEST(fleet.play(4s, 2 * capacityOf(servers)) <= rejectionsPerSecond);
            // The servers go on working meanwhile.
            BOOST_TEST(static_cast<double>(fleet.served()) >= 4 * capacityOf(servers) / 2);
            burst_fleet calm(nodes, servers);
            calm.announce();
            BOOST_TEST(calm.play(4s, capacityOf(servers) / 4) == 0u);
            BOOST_TEST(static_cast<double>(calm.served()) >= 0.95 * capacityOf(servers));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_service_that_announces_nothing_is_not_limited)
{
    rejection_limiter limiter { utils::time_point() };
    limiter.setFleet(addressOf(0), 7);
    const utils::time_point now = utils::time_point {} + 1h;
    limiter.recordRejected(server_id("press-0"), now);
    BOOST_TEST(limiter.maySend("press", server_id("press-0"), 100, slots, now));
    limiter.recordAnswer("press", 5, now);
    BOOST_TEST(!limiter.maySend("press", server_id("press-0"), 0, slots, now));
    BOOST_TEST(limiter.maySend("press", server_id("press-1"), 0, slots, now));
    limiter.recordAnswer("press", std::nullopt, now);
    BOOST_TEST(limiter.maySend("press", server_id("press-0"), 100, slots, now));
    limiter.recordAnswer("press", 5, now);
    BOOST_TEST(!limiter.isLimited("press", now + 6s));
}

// Guards against a process that sends to a server which has just rejected the process before it on the node.
BOOST_AUTO_TEST_CASE(a_process_that_has_just_started_waits_as_after_a_rejection)
{
    const utils::time_point startedAt = utils::time_point {} + 1h;
    rejection_limiter limiter(startedAt);
    limiter.setFleet(addressOf(0), 7);
    limiter.recordAnswer("press", 5, startedAt);
    BOOST_TEST(!limiter.maySend("press", server_id("press-0"), 0, slots, startedAt + 1s));
    BOOST_TEST(limiter.maySend("press", server_id("press-0"), 0, slots, startedAt + 1300ms));
}

BOOST_AUTO_TEST_SUITE_END()

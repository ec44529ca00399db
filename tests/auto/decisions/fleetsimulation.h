#pragma once

#include "decisions/serverchoice.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <queue>
#include <random>
#include <set>
#include <vector>

struct fleet_outcome {
    unsigned sent = 0;
    unsigned aboveLimit = 0; ///< sent to an engine above twice the mean, plus three
    std::uint64_t sharedTokens = 0;
    std::uint64_t tokensReadAgain = 0; ///< of shared parts that another engine held
};

/// The size of a fleet and its load.
struct fleet_shape {
    unsigned nodes = 300;
    unsigned engines = 240;
    double requestsPerMs = 1.1;
    double hotShare = 0.02; ///< of the requests, for the hottest part
};

/// Nodes that each send a few requests a second and reach ten others with a heartbeat, before engines that
/// report their load with each answer. Some shared parts are much in use.
class fleet_simulation {
public:
    static constexpr unsigned partCount = 1000;
    static constexpr unsigned heartbeatTargets = 10;
    static constexpr std::int64_t heartbeatMs = 250;

    explicit fleet_simulation(const fleet_shape& shape)
        : m_shape(shape)
        , m_nodes(shape.nodes)
        , m_load(shape.engines)
        , m_held(shape.engines)
    {
        for (unsigned i = 0; i < shape.engines; ++i)
            m_engines.push_back({ utils::server_id("engine-" + std::to_string(i)), "a", 16, 1, 400000, 1 });
    }

    /// From now on the first engines get nothing: their data centre is being emptied.
    void empty(unsigned engines) { m_emptied = engines; }
    void setLoad(double requestsPerMs, double hotShare)
    {
        m_shape.requestsPerMs = requestsPerMs;
        m_shape.hotShare = hotShare;
    }
    fleet_outcome run(std::int64_t fromMs, std::int64_t untilMs)
    {
        fleet_outcome outcome;
        for (std::int64_t now = fromMs; now < untilMs; ++now) {
            finishUntil(now);
            for (unsigned node = 0; node < m_shape.nodes; ++node) {
                if ((now + std::int64_t { node } * 7) % heartbeatMs == 0)
                    beat(node, now);
            }
            m_due += m_shape.requestsPerMs;
            for (; m_due >= 1; m_due -= 1)
                send(now, outcome);
        }
        return outcome;
    }

private:
    struct node_state {
        decisions::server_loads loads;
        decisions::server_choice choice;
    };
    struct running_request {
        std::int64_t endsMs;
        unsigned node;
        unsigned engine;
        std::vector<decisions::prompt_part> parts;
        bool operator>(const running_request& other) const { return endsMs > other.endsMs; }
    };

    static utils::time_point timeOf(std::int64_t milliseconds)
    {
        return utils::time_point {} + std::chrono::hours(1) + std::chrono::milliseconds(milliseconds);
    }
    double uniform() { return static_cast<double>(m_random() % 1000000) / 1000000; }

    void finishUntil(std::int64_t now)
    {
        while (!m_running.empty() && m_running.top().endsMs <= now) {
            const running_request done = m_running.top();
            m_running.pop();
            node_state& node = m_nodes[done.node];
            node.loads.finished(m_engines[done.engine].id);
            node.choice.recordEnded(done.parts);
            --m_load[done.engine];
            node.loads.recordReport(m_engines[done.engine].id, m_load[done.engine], 0, timeOf(now));
        }
    }

    void beat(unsigned sender, std::int64_t now)
    {
        const auto shares = m_nodes[sender].loads.ownShares();
        const auto updates = m_nodes[sender].choice.takeUpdates();
        for (unsigned i = 0; i < heartbeatTargets; ++i) {
            node_state& receiver = m_nodes[m_random() % m_shape.nodes];
            if (&receiver == &m_nodes[sender])
                continue;
            receiver.loads.updatePeer(utils::node_id(std::to_string(sender)), shares, timeOf(now));
            for (const auto& update : updates)
                receiver.choice.applyUpdate(update, m_engines.front().cacheTokens);
        }
    }

    void send(std::int64_t now, fleet_outcome& outcome)
    {
        const auto sender = static_cast<unsigned>(m_random() % m_shape.nodes);
        const std::uint64_t part = uniform() < m_shape.hotShare ? 0 : 1 + m_random() % (partCount - 1);
        const std::vector<decisions::prompt_part> parts { { part, 5000 }, { partCount + m_sent, 600 } };
        decisions::placement_query query { parts, 5600, "a", m_sent };
        node_state& node = m_nodes[sender];
        const std::vector<decisions::server_candidate> inUse(m_engines.begin() + m_emptied, m_engines.end());
        for (unsigned i = 0; i < m_emptied; ++i) {
            ++query.excluded.count;
            query.excluded.requests += node.loads.total(m_engines[i].id, timeOf(now)).requests;
        }
        const auto placed = node.choice.choose(inUse, query, node.loads, timeOf(now));
        BOOST_REQUIRE(placed.has_value());
        const auto engine = static_cast<unsigned>(
            std::ranges::find(m_engines, placed->server, &decisions::server_candidate::id)
            - m_engines.begin());
        count(engine, part, outcome);
        node.choice.recordStarted(parts, timeOf(now));
        node.choice.recordSent(m_engines[engine], parts);
        node.loads.started(placed->server, 0);
        ++m_load[engine];
        ++m_sent;
        m_running.push({ now + static_cast<std::int64_t>(300 + 1200 * uniform()), sender, engine, parts });
    }

    void count(unsigned engine, std::uint64_t part, fleet_outcome& outcome)
    {
        ++outcome.sent;
        const double mean = static_cast<double>(m_running.size()) / m_shape.engines;
        outcome.aboveLimit += m_load[engine] > 2 * mean + 3 ? 1 : 0;
        outcome.sharedTokens += 5000;
        const bool isHeldSomewhere = m_heldAnywhere.contains(part);
        if (m_held[engine].insert(part).second && isHeldSomewhere)
            outcome.tokensReadAgain += 5000;
        m_heldAnywhere.insert(part);
    }

    fleet_shape m_shape;
    std::mt19937_64 m_random { 20261203 };
    std::vector<node_state> m_nodes;
    std::vector<decisions::server_candidate> m_engines;
    std::vector<unsigned> m_load; ///< requests in progress by engine
    std::vector<std::set<std::uint64_t>> m_held; ///< shared parts by engine
    std::set<std::uint64_t> m_heldAnywhere;
    std::priority_queue<running_request, std::vector<running_request>, std::greater<>> m_running;
    unsigned m_emptied = 0; ///< engines that get nothing, the first ones
    std::uint64_t m_sent = 0;
    double m_due = 0;
};

/// A third of the engines is emptied while a burst and a hot part begin; what is sent in the five seconds
/// from then on.
inline fleet_outcome runEmptiedFleet(unsigned nodes, unsigned engines)
{
    constexpr double meanLoad = 5;
    constexpr double meanMs = 900;
    constexpr double burst = 1.4;
    constexpr double hotShare = 0.15;
    const double requestsPerMs = engines * meanLoad / meanMs;
    fleet_simulation fleet({ nodes, engines, requestsPerMs, 0.02 });
    fleet.run(0, 5000);
    fleet.empty(engines / 3);
    fleet.setLoad(burst * requestsPerMs, hotShare);
    return fleet.run(5000, 10000);
}

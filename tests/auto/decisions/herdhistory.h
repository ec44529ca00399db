#pragma once

#include "decisions/crowdregister.h"
#include "decisions/loadnotices.h"
#include "decisions/serverchoice.h"

#include "utils/hashing.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// A fleet in ordinary use, and herds: requests with one shared part that reach all nodes within a short
/// time.
struct herd_shape {
    unsigned nodes = 7;
    unsigned engines = 24;
    double requestsPerEngine = 2.5; ///< a second, in ordinary use
    unsigned herd = 200; ///< requests of one herd
    double herdSeconds = 0.03;
    bool isPartKnown = false; ///< each node has served the part before
    bool hasReports = true; ///< the engines tell their load with each answer
    double lostDatagrams = 0; ///< share that gets lost
    unsigned herds = 3;
};

/// What was sent in the five seconds from the beginning of each herd.
struct herd_outcome {
    unsigned sent = 0;
    unsigned aboveLimit = 0; ///< sent to an engine above twice the mean, plus three
    unsigned most = 0; ///< the most requests in progress at one engine
    std::size_t enginesOfPart = 0; ///< that have read the part

    /// The rule on the load of engines allows fewer than 20, or up to 3 in 100 requests.
    bool isWithinRule() const { return aboveLimit < 20 || aboveLimit <= 0.03 * sent; }
};

/// Nodes that choose engines, tell each other their loads as the gateway does, and hear each message some
/// milliseconds late.
class herd_history {
public:
    herd_history(const herd_shape& shape, std::uint64_t seed)
        : m_shape(shape)
        , m_random(seed)
        , m_nodes(shape.nodes)
        , m_engineLoads(shape.engines)
    {
        constexpr unsigned slots = 16;
        constexpr std::uint64_t cacheTokens = 400000;
        for (unsigned i = 0; i < shape.engines; ++i)
            m_engines.push_back(
                { utils::server_id("engine-" + std::to_string(i)), "a", slots, 1, cacheTokens, 1 });
        for (unsigned i = 0; i < shape.nodes; ++i)
            m_nodes[i].nextBeatMs = static_cast<std::int64_t>(i) * maxBeatMs / shape.nodes;
    }

    /// The outcome of each herd.
    std::vector<herd_outcome> run()
    {
        std::vector<herd_outcome> outcomes;
        runUntil(warmUpMs);
        for (unsigned herd = 0; herd < m_shape.herds; ++herd) {
            m_herdPart = firstHerdPart + herd;
            m_enginesOfPart.clear();
            if (m_shape.isPartKnown)
                serveHerdPartEverywhere();
            m_outcome = {};
            m_herdFromMs = m_nowMs;
            m_herdLeft = m_shape.herd;
            runUntil(m_nowMs + countedMs);
            m_outcome.enginesOfPart = m_enginesOfPart.size();
            outcomes.push_back(m_outcome);
        }
        return outcomes;
    }

private:
    static constexpr std::int64_t warmUpMs = 4000;
    static constexpr std::int64_t countedMs = 5000;
    static constexpr std::int64_t maxBeatMs = 250;
    static constexpr std::int64_t minBeatMs = 60;
    static constexpr std::int64_t requestsPerBeat = 8;
    static constexpr unsigned fullTargets = 10;
    static constexpr std::int64_t maxLatencyMs = 5;
    static constexpr std::int64_t answerTimeoutMs = 25;
    static constexpr std::int64_t firstEventMs = 60;
    static constexpr double requestMs = 1400; ///< mean time at an engine
    static constexpr std::uint64_t partCount = 1000;
    static constexpr std::uint64_t firstHerdPart = 1000000;
    static constexpr std::uint64_t firstOwnPart = 2000000;
    static constexpr std::uint32_t sharedTokens = 5000;
    static constexpr std::uint32_t ownTokens = 600;

    struct node_state {
        decisions::server_loads loads;
        decisions::server_choice choice;
        decisions::crowd_register crowds; ///< of the parts whose home it is
        decisions::load_notices notices;
        decisions::bound_view view { 0, 0, decisions::server_choice::boundExtra }; ///< of its last choice
        std::int64_t nextBeatMs = 0;
        std::int64_t sentSinceBeat = 0;
        std::int64_t beatMs = maxBeatMs;
    };
    struct event {
        std::int64_t atMs;
        std::uint64_t number; ///< events of one moment happen in the order in which they were made
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return std::pair(atMs, number) > std::pair(other.atMs, other.number);
        }
    };

    utils::time_point now() const
    {
        return utils::time_point {} + std::chrono::hours(1) + std::chrono::milliseconds(m_nowMs);
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    unsigned anyNode() { return static_cast<unsigned>(m_random() % m_shape.nodes); }
    void after(std::int64_t milliseconds, std::function<void()> action)
    {
        m_events.push({ m_nowMs + milliseconds, m_eventNumber++, std::move(action) });
    }

    void runUntil(std::int64_t endMs)
    {
        for (; m_nowMs < endMs; ++m_nowMs) {
            while (!m_events.empty() && m_events.top().atMs <= m_nowMs) {
                const std::function<void()> action = m_events.top().action;
                m_events.pop();
                action();
            }
            for (unsigned node = 0; node < m_shape.nodes; ++node) {
                if (m_nodes[node].nextBeatMs <= m_nowMs)
                    beat(node);
            }
            sendDue();
        }
    }

    void sendDue()
    {
        m_due += m_shape.requestsPerEngine * m_shape.engines / 1000;
        for (; m_due >= 1; m_due -= 1)
            send(anyNode(), m_random() % partCount);
        const double herdMs = 1000 * m_shape.herdSeconds;
        const double passed = std::min(1.0, static_cast<double>(m_nowMs + 1 - m_herdFromMs) / herdMs);
        const auto wanted = static_cast<unsigned>(m_shape.herd * (1 - passed));
        for (; m_herdLeft > wanted; --m_herdLeft)
            send(anyNode(), m_herdPart);
    }

    /// Each node sends the part once within some seconds; all requests end before the herd begins.
    void serveHerdPartEverywhere()
    {
        constexpr std::int64_t servedWithinMs = 8000;
        for (unsigned node = 0; node < m_shape.nodes; ++node)
            after(static_cast<std::int64_t>(uniform() * servedWithinMs),
                [this, node] { send(node, m_herdPart); });
        runUntil(m_nowMs + servedWithinMs + static_cast<std::int64_t>(requestMs));
    }

    /// A request that a node has not placed yet.
    struct pending_request {
        unsigned sender = 0;
        std::uint64_t part = 0;
        bool isPlaced = false;
    };

    double shareOf(unsigned node) const
    {
        return decisions::server_choice::crowdShareOf(m_nodes[node].view, m_times);
    }

    /// The node asks the home of the part for a place, and sends the request without one if no answer comes.
    void send(unsigned sender, std::uint64_t part)
    {
        const unsigned home = static_cast<unsigned>(utils::hash64("home", part) % m_shape.nodes);
        if (home == sender || m_shape.nodes == 1) {
            sendTo(sender, part, m_nodes[home].crowds.place(part, shareOf(sender), now()));
            return;
        }
        const auto request = std::make_shared<pending_request>(pending_request { sender, part });
        after(answerTimeoutMs, [this, request] { sendOnce(*request, 0); });
        deliver([this, request, home, share = shareOf(sender)] {
            const std::uint32_t place = m_nodes[home].crowds.place(request->part, share, now());
            deliver([this, request, place] { sendOnce(*request, place); });
        });
    }

    void sendOnce(pending_request& request, std::uint32_t place)
    {
        if (!std::exchange(request.isPlaced, true))
            sendTo(request.sender, request.part, place);
    }

    void sendTo(unsigned sender, std::uint64_t part, std::uint32_t place)
    {
        node_state& node = m_nodes[sender];
        const std::vector<decisions::prompt_part> parts { { part, sharedTokens },
            { firstOwnPart + m_sent, ownTokens } };
        decisions::placement_query query { parts, sharedTokens + ownTokens, "a", m_sent };
        query.times = m_times;
        query.crowdPlace = place;
        const auto placed = node.choice.choose(m_engines, query, node.loads, now());
        BOOST_REQUIRE(placed.has_value());
        node.view = *placed->view;
        const auto engine = static_cast<unsigned>(
            std::ranges::find(m_engines, placed->server, &decisions::server_candidate::id)
            - m_engines.begin());
        count(engine, part);
        node.choice.recordStarted(parts, now());
        node.choice.recordSent(m_engines[engine], parts, placed->isUnexpected);
        node.loads.started(placed->server, 0);
        ++node.sentSinceBeat;
        ++m_sent;
        if (m_shape.hasReports)
            after(firstEventMs, [this, sender, engine] { report(sender, engine); });
        after(static_cast<std::int64_t>(requestMs * (1 + (uniform() - 0.5) / 2)),
            [this, sender, engine, parts] { finish(sender, engine, parts); });
    }

    void count(unsigned engine, std::uint64_t part)
    {
        ++m_outcome.sent;
        const double mean = static_cast<double>(m_inProgress) / m_shape.engines;
        m_outcome.aboveLimit += m_engineLoads[engine] > 2 * mean + 3 ? 1 : 0;
        m_outcome.most = std::max(m_outcome.most, ++m_engineLoads[engine]);
        ++m_inProgress;
        if (part == m_herdPart)
            m_enginesOfPart.insert(engine);
    }

    void report(unsigned node, unsigned engine)
    {
        node_state& receiver = m_nodes[node];
        const utils::server_id& server = m_engines[engine].id;
        const unsigned requests = m_engineLoads[engine];
        receiver.loads.recordReport(server, requests, 0, now());
        receiver.notices.expire(now());
        if (receiver.loads.peerScale(now()) <= 1
            || !receiver.notices.mustTell(server, requests, receiver.view, now()))
            return;
        for (unsigned other = 0; other < m_shape.nodes; ++other) {
            if (other != node)
                deliver([this, other, &server, requests] {
                    m_nodes[other].notices.heard(server, now());
                    m_nodes[other].loads.recordReport(server, requests, 0, now());
                });
        }
    }

    void finish(unsigned sender, unsigned engine, const std::vector<decisions::prompt_part>& parts)
    {
        node_state& node = m_nodes[sender];
        node.loads.finished(m_engines[engine].id);
        node.choice.recordEnded(parts);
        --m_engineLoads[engine];
        --m_inProgress;
        if (m_shape.hasReports)
            report(sender, engine);
    }

    /// A heartbeat as the gateway sends it: all lists to some peers, unexpected placements to all.
    void beat(unsigned sender)
    {
        node_state& node = m_nodes[sender];
        node.beatMs = node.sentSinceBeat == 0
            ? maxBeatMs
            : std::clamp(node.beatMs * requestsPerBeat / node.sentSinceBeat, minBeatMs, maxBeatMs);
        node.sentSinceBeat = 0;
        node.nextBeatMs = m_nowMs + node.beatMs;
        const auto shares = node.loads.ownShares();
        std::vector<decisions::placement_update> updates = node.choice.takeUpdates();
        std::set<unsigned> targets;
        if (m_shape.nodes <= fullTargets + 1) {
            for (unsigned other = 0; other < m_shape.nodes; ++other)
                targets.insert(other);
        } else {
            while (targets.size() < fullTargets)
                targets.insert(anyNode());
        }
        targets.erase(sender);
        for (const unsigned target : targets)
            deliver([this, sender, target, shares, updates] {
                node_state& receiver = m_nodes[target];
                receiver.loads.updatePeer(utils::node_id(std::to_string(sender)), shares, now());
                applyUpdates(receiver, updates);
            });
        std::erase_if(updates, [](const decisions::placement_update& note) { return !note.isUnexpected; });
        if (updates.empty())
            return;
        for (unsigned other = 0; other < m_shape.nodes; ++other) {
            if (other != sender && !targets.contains(other))
                deliver([this, other, updates] { applyUpdates(m_nodes[other], updates); });
        }
    }

    void applyUpdates(node_state& receiver, const std::vector<decisions::placement_update>& updates)
    {
        for (const decisions::placement_update& update : updates)
            receiver.choice.applyUpdate(update, m_engines.front().cacheTokens);
    }

    void deliver(std::function<void()> action)
    {
        if (m_shape.lostDatagrams > 0 && uniform() < m_shape.lostDatagrams)
            return;
        after(1 + static_cast<std::int64_t>(uniform() * maxLatencyMs), std::move(action));
    }

    herd_shape m_shape;
    decisions::response_times m_times { std::chrono::milliseconds(static_cast<int>(requestMs)) };
    std::mt19937_64 m_random;
    std::vector<node_state> m_nodes;
    std::vector<decisions::server_candidate> m_engines;
    std::vector<unsigned> m_engineLoads; ///< requests in progress by engine
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_eventNumber = 0;
    std::int64_t m_nowMs = 0;
    std::int64_t m_herdFromMs = 0;
    unsigned m_herdLeft = 0;
    std::uint64_t m_herdPart = 0;
    std::set<unsigned> m_enginesOfPart;
    unsigned m_inProgress = 0;
    std::uint64_t m_sent = 0;
    double m_due = 0;
    herd_outcome m_outcome;
};

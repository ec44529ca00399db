#pragma once

#include "decisions/loadshedding.h"
#include "decisions/overloadcontrol.h"
#include "decisions/repeatallowance.h"
#include "decisions/responsetimes.h"
#include "decisions/serverchoice.h"
#include "utils/hashing.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// How nodes decide who is refused while there is too little room.
enum class overload_rule {
    ByWait, ///< by urgency and forecast wait
    ByWork ///< by offered work, as gateways do
};

/// A kind of request.
struct overload_kind {
    int urgency = 0;
    double frequency = 1; ///< relative to the other kinds
    double work = 0.3; ///< seconds in a slot, in the mean
    double worth = 1; ///< of an answer in time, to the caller
    double target = 1; ///< seconds to the first byte
    double deadline = 6; ///< seconds
};

/// A fleet of nodes before engines, with more work than these can do. Times are in seconds.
struct overload_history {
    unsigned nodes = 7;
    unsigned servers = 9;
    unsigned slots = 8;
    unsigned queue = 24;
    double load = 1.6; ///< offered work, relative to the slots
    double length = 20;
    double warmUp = 5; ///< not counted
    unsigned workspaces = 12;
    double heavyFactor = 1; ///< the first workspace sends that multiple of the others; `load` is without it
    overload_rule rule = overload_rule::ByWork;
    std::vector<overload_kind> kinds {
        { 0, 3, 0.3, 3 },
        { 1, 4, 0.3, 1 },
        { 2, 2, 1.45, 1 },
    };
    /// Servers out of use from then on.
    double lossAt = 1e9;
    unsigned lost = 0;
    std::uint64_t seed = 1;
};

struct overload_count {
    unsigned asked = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    unsigned refused = 0; ///< and not served when they came back
    unsigned unanswered = 0; ///< at their deadline

    double share(unsigned part) const { return asked == 0 ? 1 : static_cast<double>(part) / asked; }
    unsigned served() const { return inTime + late; }
    void add(const overload_count& other)
    {
        asked += other.asked;
        inTime += other.inTime;
        late += other.late;
        refused += other.refused;
        unanswered += other.unanswered;
    }
};

struct overload_outcome {
    std::vector<overload_count> kinds;
    std::vector<overload_count> workspaces;
    overload_count largest; ///< the largest tenth of the last kind
    unsigned rejections = 0; ///< by full servers
    double earned = 0; ///< worth of the answers in time
    double best = 0; ///< worth that the slots allow, most worth a slot second first

    overload_count othersThan(unsigned workspace) const
    {
        overload_count sum;
        for (unsigned i = 0; i < workspaces.size(); ++i) {
            if (i != workspace)
                sum.add(workspaces[i]);
        }
        return sum;
    }
    double share() const { return earned / best; }
};

/// Plays a history with the decisions of the gateway. Nodes hear of each other by heartbeats, and of servers
/// by their answers.
class overload_player {
public:
    explicit overload_player(const overload_history& history)
        : m_history(history)
        , m_random(history.seed)
        , m_servers(history.servers)
    {
        for (unsigned i = 0; i < history.nodes; ++i)
            m_nodes.emplace_back(history);
        for (unsigned i = 0; i < history.servers; ++i)
            m_candidates.push_back(
                { utils::server_id("server-" + std::to_string(i)), "a", history.slots, 1, 400000, 1 });
        m_outcome.kinds.resize(history.kinds.size());
        m_outcome.workspaces.resize(history.workspaces);
    }

    overload_outcome run()
    {
        const double perSecond = arrivalsPerSecond();
        std::exponential_distribution<double> gap(perSecond);
        for (double at = gap(m_random); at < m_history.length; at += gap(m_random))
            schedule(at, [this] { arrive(); });
        for (unsigned node = 0; node < m_history.nodes; ++node) {
            for (double at = heartbeat * uniform(); at < m_history.length; at += heartbeat)
                schedule(at, [this, node] { beat(node); });
        }
        schedule(m_history.lossAt, [this] { loseServers(); });
        while (!m_events.empty() && m_events.top().at < m_history.length + drainTime) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        m_outcome.best = bestWorth(perSecond);
        return m_outcome;
    }

private:
    struct node_state {
        explicit node_state(const overload_history& history)
            : repeats({}, std::max(history.nodes, 9U), timeOf(-startLead))
            , kindWork(history.kinds.size(), 0.5)
            , finished(history.kinds.size())
        {
        }
        decisions::server_loads loads;
        decisions::server_choice choice;
        decisions::response_times times { std::chrono::milliseconds(500) };
        decisions::load_shedder shedder;
        decisions::overload_control control;
        decisions::repeat_allowance repeats;
        std::vector<double> kindWork; ///< mean work of a kind, as learned
        std::vector<unsigned> finished; ///< requests of a kind
    };
    struct request {
        unsigned node = 0;
        std::size_t kind = 0;
        unsigned workspace = 0;
        double work = 0;
        double arrivedAt = 0;
        unsigned tries = 0; ///< of the caller
        unsigned attempts = 0; ///< of this try
        std::uint64_t hash = 0;
        bool isLargest = false;
        bool isCounted = true;
        bool hasShare = false;
        bool hasEnded = false;
        std::set<utils::server_id> tried;
    };
    using request_ptr = std::shared_ptr<request>;
    struct server_state {
        unsigned running = 0;
        std::map<int, std::deque<request_ptr>> waiting; ///< by urgency
        bool isLost = false;
        unsigned waitingCount() const
        {
            std::size_t sum = 0;
            for (const auto& [urgency, queue] : waiting)
                sum += queue.size();
            return static_cast<unsigned>(sum);
        }
    };
    struct event {
        double at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return at > other.at || (at == other.at && order > other.order);
        }
    };

    static constexpr double startLead = 20; ///< nodes run before the first request
    static constexpr double wayToServer = 0.003;
    static constexpr double wayToNode = 0.003;
    static constexpr double heartbeat = 0.25;
    static constexpr unsigned heartbeatTargets = 10;
    static constexpr double drainTime = 10;
    static constexpr double largestShare = 0.1;
    static constexpr unsigned callerTries = 2;
    static constexpr unsigned maxAttempts = 2;

    static utils::time_point timeOf(double seconds)
    {
        return utils::time_point(std::chrono::hours(1) + utils::fromSeconds(seconds));
    }
    utils::time_point now() const { return timeOf(m_now); }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    void schedule(double at, std::function<void()> action)
    {
        m_events.push({ at, m_order++, std::move(action) });
    }
    const overload_kind& kindOf(const request& one) const { return m_history.kinds[one.kind]; }
    double meanOverKinds(double overload_kind::*value) const
    {
        double sum = 0;
        double frequencies = 0;
        for (const overload_kind& kind : m_history.kinds) {
            sum += kind.frequency * kind.*value;
            frequencies += kind.frequency;
        }
        return sum / frequencies;
    }
    double slotsInUse() const { return static_cast<double>(m_history.servers) * m_history.slots; }
    double arrivalsPerSecond() const
    {
        const double heavy = (m_history.workspaces - 1 + m_history.heavyFactor) / m_history.workspaces;
        return heavy * m_history.load * slotsInUse() / meanOverKinds(&overload_kind::work);
    }

    /// Worth of the requests that fill the slots best.
    double bestWorth(double perSecond) const
    {
        std::vector<overload_kind> kinds = m_history.kinds;
        std::ranges::sort(
            kinds, std::greater<>(), [](const overload_kind& kind) { return kind.worth / kind.work; });
        double frequencies = 0;
        for (const overload_kind& kind : kinds)
            frequencies += kind.frequency;
        double left = slotsInUse();
        double worth = 0;
        for (const overload_kind& kind : kinds) {
            const double rate = perSecond * kind.frequency / frequencies;
            const double served = std::min(rate, left / kind.work);
            worth += served * kind.worth;
            left -= served * kind.work;
        }
        return worth * (m_history.length - m_history.warmUp);
    }

    void arrive()
    {
        const auto one = std::make_shared<request>();
        one->node = static_cast<unsigned>(uniform() * m_history.nodes);
        std::vector<double> frequencies;
        for (const overload_kind& kind : m_history.kinds)
            frequencies.push_back(kind.frequency);
        one->kind = std::discrete_distribution<std::size_t>(frequencies.begin(), frequencies.end())(m_random);
        const double others = m_history.workspaces - 1;
        const bool isHeavy = uniform() * (others + m_history.heavyFactor) < m_history.heavyFactor;
        one->workspace = isHeavy ? 0 : 1 + static_cast<unsigned>(uniform() * others);
        const double size = uniform();
        one->isLargest = one->kind + 1 == m_history.kinds.size() && size > 1 - largestShare;
        one->work = kindOf(*one).work * (0.5 + size);
        one->arrivedAt = m_now;
        one->hash = m_random();
        one->isCounted = m_now >= m_history.warmUp;
        count(*one, &overload_count::asked);
        schedule(m_now + kindOf(*one).deadline, [this, one] {
            if (!std::exchange(one->hasEnded, true))
                count(*one, &overload_count::unanswered);
        });
        tryRequest(one);
    }

    void count(const request& one, unsigned overload_count::*field)
    {
        if (!one.isCounted)
            return;
        ++(m_outcome.kinds[one.kind].*field);
        ++(m_outcome.workspaces[one.workspace].*field);
        if (one.isLargest)
            ++(m_outcome.largest.*field);
    }

    void tryRequest(const request_ptr& one)
    {
        if (one->hasEnded)
            return;
        ++one->tries;
        one->attempts = 0;
        one->tried.clear();
        node_state& node = m_nodes[one->node];
        if (m_history.rule == overload_rule::ByWork) {
            const decisions::work_query query = workQuery(*one);
            node.control.record(query, now());
            if (node.control.isDue(now()))
                node.control.update(roomAt(node), now());
            const auto share = node.control.shareOf(query);
            if (!decisions::overload_control::isAdmitted(share, one->hash)) {
                const auto refusal = node.shedder.refuse(one->hash, now());
                refuse(one, utils::toSeconds(refusal.retryAfter));
                return;
            }
            one->hasShare = share.isShared;
        }
        attempt(one);
    }

    decisions::work_query workQuery(const request& one)
    {
        node_state& node = m_nodes[one.node];
        return { one.workspace + 1, kindOf(one).urgency, node.kindWork[one.kind], one.hash };
    }

    decisions::service_room roomAt(const node_state& node) const
    {
        decisions::service_room room;
        room.livePeers = m_history.nodes - 1;
        room.patience = m_history.kinds.front().target / node.times.occupancySeconds();
        const double scale = node.loads.peerScale(now());
        for (const auto& candidate : m_candidates) {
            if (candidate.weight <= 0)
                continue;
            const decisions::load_total load = node.loads.total(candidate.id, now());
            room.slots += candidate.slots;
            room.requests += load.requests + (load.isReported ? 0 : (scale - 1) * load.peerRequests);
        }
        return room;
    }

    void refuse(const request_ptr& one, double retryAfter)
    {
        const double left = one->arrivedAt + kindOf(*one).deadline - m_now;
        if (one->tries >= callerTries || retryAfter > left / 3) {
            if (!std::exchange(one->hasEnded, true))
                count(*one, &overload_count::refused);
            return;
        }
        schedule(m_now + retryAfter, [this, one] {
            one->hash = m_random();
            one->node = static_cast<unsigned>(uniform() * m_history.nodes);
            tryRequest(one);
        });
    }

    void attempt(const request_ptr& one)
    {
        node_state& node = m_nodes[one->node];
        const std::vector<decisions::prompt_part> parts { { one->hash, 10 } };
        std::vector<decisions::server_candidate> candidates = m_candidates;
        std::erase_if(candidates, [&](const auto& candidate) { return one->tried.contains(candidate.id); });
        const overload_kind& kind = kindOf(*one);
        const decisions::placement_query query { parts, 10, "a", one->hash + one->attempts, kind.urgency,
            utils::fromSeconds(kind.target), node.times };
        const auto placed = node.choice.choose(candidates, query, node.loads, now());
        if (!placed) {
            refuse(one, 0.4);
            return;
        }
        if (one->attempts == 0) {
            if (const auto refusal = refusalByWait(node, *one, *placed)) {
                refuse(one, utils::toSeconds(refusal->retryAfter));
                return;
            }
            node.repeats.forwarded(now());
        } else if (!node.repeats.trySpend(now())) {
            refuse(one, 0.4);
            return;
        }
        ++one->attempts;
        one->tried.insert(placed->server);
        node.loads.started(placed->server, 0);
        const unsigned server = indexOf(placed->server);
        schedule(m_now + wayToServer, [this, one, server] { reach(one, server); });
    }

    std::optional<decisions::refusal> refusalByWait(
        node_state& node, const request& one, const decisions::placement& placed)
    {
        const overload_kind& kind = kindOf(one);
        node.shedder.recordTarget(kind.urgency, utils::fromSeconds(kind.target));
        decisions::shed_query query;
        query.slotWait
            = node.times.slotWait(placed.load.requests, m_history.slots, kind.urgency, node.control.fill());
        query.queueing = query.slotWait;
        query.expectedAnswer = query.slotWait;
        query.target = utils::fromSeconds(kind.target);
        query.timeLeft = utils::fromSeconds(one.arrivedAt + kind.deadline - m_now);
        query.urgency = kind.urgency;
        query.hasShare = one.hasShare;
        query.hash = one.hash;
        return node.shedder.decide(query, now());
    }

    unsigned indexOf(const utils::server_id& id) const
    {
        const auto found = std::ranges::find(m_candidates, id, &decisions::server_candidate::id);
        return static_cast<unsigned>(found - m_candidates.begin());
    }

    void reach(const request_ptr& one, unsigned index)
    {
        server_state& server = m_servers[index];
        if (server.isLost || server.waitingCount() >= m_history.queue) {
            ++m_outcome.rejections;
            schedule(m_now + wayToNode, [this, one, index] {
                finishedAt(*one, index);
                if (one->attempts < maxAttempts)
                    attempt(one);
                else
                    refuse(one, 0.4);
            });
            return;
        }
        server.waiting[kindOf(*one).urgency].push_back(one);
        startNext(index);
    }

    void finishedAt(const request& one, unsigned index)
    {
        node_state& node = m_nodes[one.node];
        const server_state& server = m_servers[index];
        node.loads.finished(m_candidates[index].id);
        node.loads.recordReport(m_candidates[index].id, server.running, server.waitingCount(), now());
    }

    void startNext(unsigned index)
    {
        server_state& server = m_servers[index];
        for (auto& [urgency, queue] : server.waiting) {
            while (!queue.empty() && server.running < m_history.slots) {
                const request_ptr one = queue.front();
                queue.pop_front();
                if (one->hasEnded) {
                    finishedAt(*one, index);
                    continue;
                }
                ++server.running;
                start(one, index);
            }
        }
    }

    void start(const request_ptr& one, unsigned index)
    {
        const double work = one->work;
        const bool isInTime = m_now + wayToNode - one->arrivedAt <= kindOf(*one).target;
        schedule(m_now + work, [this, one, index, work, isInTime] {
            --m_servers[index].running;
            startNext(index);
            if (!std::exchange(one->hasEnded, true)) {
                count(*one, isInTime ? &overload_count::inTime : &overload_count::late);
                if (isInTime && one->isCounted)
                    m_outcome.earned += kindOf(*one).worth;
            }
            schedule(m_now + wayToNode, [this, one, index, work] {
                finishedAt(*one, index);
                node_state& node = m_nodes[one->node];
                node.times.recordOccupancy(kindOf(*one).urgency, utils::fromSeconds(work));
                double& learned = node.kindWork[one->kind];
                learned += (work - learned) / std::min(++node.finished[one->kind], 32U);
            });
        });
    }

    void beat(unsigned sender)
    {
        const auto shares = m_nodes[sender].loads.ownShares();
        const auto update = m_nodes[sender].control.offered().update(now());
        const utils::node_id id(std::to_string(sender));
        const auto deliver = [&](node_state& receiver) {
            receiver.loads.updatePeer(id, shares, now());
            receiver.control.offered().updatePeer(id, update, now());
        };
        if (m_history.nodes <= heartbeatTargets + 1) {
            for (unsigned i = 0; i < m_history.nodes; ++i) {
                if (i != sender)
                    deliver(m_nodes[i]);
            }
            return;
        }
        for (unsigned i = 0; i < heartbeatTargets; ++i) {
            const auto receiver = static_cast<unsigned>(uniform() * m_history.nodes);
            if (receiver != sender)
                deliver(m_nodes[receiver]);
        }
    }

    void loseServers()
    {
        for (unsigned i = 0; i < m_history.lost; ++i) {
            m_servers[i].isLost = true;
            m_candidates[i].weight = 0;
        }
    }

    overload_history m_history;
    std::mt19937_64 m_random;
    std::vector<server_state> m_servers;
    std::vector<decisions::server_candidate> m_candidates;
    std::vector<node_state> m_nodes;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0;
    overload_outcome m_outcome;
};

#pragma once

#include "decisions/repeatallowance.h"
#include "decisions/serverrests.h"
#include "utils/hashing.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

/// Who heeds a server's wish for rest.
enum class rest_rule {
    Unheard, ///< nobody
    OwnWord, ///< the node that was asked
    Told ///< as gateways do: peers prefer other servers meanwhile
};

/// What happens to a fleet before servers that ask for rest. Times are in seconds.
struct rest_history {
    /// These servers turn requests away.
    struct turning_away {
        double at = 0;
        double lasts = 0;
        double rest = 3; ///< that they ask for
        std::vector<unsigned> servers;
        unsigned nodes = 0; ///< the first ones, whose requests are turned away; 0: those of all
    };
    /// These nodes are killed, and are back at once.
    struct restart {
        double at = 0;
        std::vector<unsigned> nodes;
    };
    /// These servers end, and are back at once under their ids.
    struct rebirth {
        double at = 0;
        std::vector<unsigned> servers;
    };

    unsigned nodes = 7;
    unsigned servers = 9;
    unsigned slots = 64; ///< of a server; a full one turns requests away and asks for `restWhenFull`
    double restWhenFull = 1;
    double requestsPerSecond = 60;
    double answerTime = 1;
    double length = 20;
    rest_rule rule = rest_rule::Told;
    std::vector<turning_away> turns {};
    std::vector<restart> restarts {};
    std::vector<rebirth> rebirths {};
    std::uint64_t seed = 1;

    /// The first `share` of the servers.
    std::vector<unsigned> firstServers(double share) const
    {
        std::vector<unsigned> all(static_cast<std::size_t>(servers * share));
        for (unsigned i = 0; i < all.size(); ++i)
            all[i] = i;
        return all;
    }
};

/// What came of a history.
struct rest_outcome {
    unsigned requests = 0;
    unsigned served = 0;
    unsigned rejections = 0; ///< by servers
    unsigned windows = 0; ///< rests that a server has asked a node for
    unsigned broken
        = 0; ///< of these, with more than two requests from half a second after the wish to its end
    unsigned most = 0; ///< requests in one of them
    unsigned updates = 0; ///< datagrams of all nodes
    unsigned takenWhileTurningAway = 0; ///< requests of other nodes, by servers that turn some nodes away

    double share() const { return static_cast<double>(served) / requests; }
    void add(const rest_outcome& other)
    {
        requests += other.requests;
        served += other.served;
        rejections += other.rejections;
        windows += other.windows;
        broken += other.broken;
        most = std::max(most, other.most);
        updates += other.updates;
        takenWhileTurningAway += other.takenWhileTurningAway;
    }
};

/// Plays a history with the decisions of the gateway on rests and retries. Requests with the same part go to
/// the same server first, as the placement of prompts has it.
class rest_player {
public:
    explicit rest_player(const rest_history& history)
        : m_history(history)
        , m_random(history.seed)
        , m_servers(history.servers)
    {
        for (unsigned i = 0; i < history.nodes; ++i)
            m_nodes.push_back(newNode(i, -startLead));
        for (unsigned i = 0; i < history.servers; ++i)
            m_servers[i].id = utils::server_id("server-" + std::to_string(i));
    }

    rest_outcome run()
    {
        std::exponential_distribution<double> gap(m_history.requestsPerSecond);
        for (double at = gap(m_random); at < m_history.length; at += gap(m_random))
            schedule(at, [this] { arrive(); });
        for (const auto& restart : m_history.restarts)
            schedule(restart.at, [this, &restart] { restartNodes(restart.nodes); });
        for (const auto& rebirth : m_history.rebirths)
            schedule(rebirth.at, [this, &rebirth] { restartServers(rebirth.servers); });
        for (double at = 0; at < m_history.length; at += tick)
            schedule(at, [this] { expire(); });
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        countWindows();
        return m_outcome;
    }

private:
    struct node_state {
        decisions::server_rests rests;
        decisions::repeat_allowance repeats;
        unsigned life = 0;
    };
    struct server_state {
        utils::server_id id;
        std::uint64_t startedAtMs = 1;
        unsigned running = 0;
    };
    struct request {
        unsigned node = 0;
        unsigned life = 0; ///< of the node
        std::uint64_t part = 0;
        std::set<unsigned> tried;
    };
    struct wish {
        double at = 0;
        double rest = 0;
    };
    struct meeting {
        std::vector<double> arrivals;
        std::vector<wish> wishes;
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
    static constexpr double wayToNode = 0.005;
    static constexpr double tick = 0.25;
    static constexpr double slack = 0.5;
    static constexpr unsigned allowed = 2;
    static constexpr unsigned maxRejections = 3;
    static constexpr unsigned partsPerServer = 4;
    static constexpr double extraRetries = 54;

    static utils::time_point timeOf(double seconds)
    {
        return utils::time_point(std::chrono::hours(1) + utils::fromSeconds(seconds));
    }
    utils::time_point now() const { return timeOf(m_now); }
    unsigned draw(unsigned below) { return std::uniform_int_distribution<unsigned>(0, below - 1)(m_random); }
    void schedule(double at, std::function<void()> action)
    {
        m_events.push({ at, m_order++, std::move(action) });
    }
    node_state newNode(unsigned index, double at, unsigned life = 0) const
    {
        decisions::repeat_limits limits;
        limits.extra = extraRetries;
        node_state node { decisions::server_rests(utils::combineHashes(m_history.seed, index + 1)),
            decisions::repeat_allowance(limits, std::max(m_history.nodes, 9U), timeOf(at)), life };
        node.rests.setNodes(m_history.nodes);
        return node;
    }
    decisions::server_process processOf(unsigned server) const
    {
        return { m_servers[server].id, m_servers[server].startedAtMs };
    }

    void arrive()
    {
        ++m_outcome.requests;
        const unsigned node = draw(m_history.nodes);
        send({ node, m_nodes[node].life, draw(m_history.servers * partsPerServer), {} });
    }
    std::optional<unsigned> choose(const request& request)
    {
        decisions::server_rests& rests = m_nodes[request.node].rests;
        std::optional<unsigned> best;
        std::pair<bool, std::uint64_t> bestRank;
        for (unsigned i = 0; i < m_servers.size(); ++i) {
            if (request.tried.contains(i))
                continue;
            bool isAvoided = false;
            if (m_history.rule != rest_rule::Unheard) {
                if (rests.askedUntil(processOf(i), now()))
                    continue;
                isAvoided = m_history.rule == rest_rule::Told && rests.isAvoided(processOf(i), now());
            }
            const std::pair rank { isAvoided, utils::hash64(m_servers[i].id.str(), request.part) };
            if (!best || rank < bestRank) {
                best = i;
                bestRank = rank;
            }
        }
        return best;
    }
    void send(request request)
    {
        node_state& node = m_nodes[request.node];
        const auto server = choose(request);
        if (!server || node.life != request.life)
            return;
        if (request.tried.empty())
            node.repeats.forwarded(now());
        else if (!node.repeats.trySpend(now()))
            return;
        request.tried.insert(*server);
        node.rests.sent(processOf(*server), now());
        schedule(m_now + wayToServer,
            [this, request = std::move(request), server = *server, process = processOf(*server),
                sentAt = now()] { reach(request, server, process, sentAt); });
    }
    std::optional<double> turnsAway(unsigned node, unsigned server)
    {
        for (const auto& turn : m_history.turns) {
            const bool isTurning = turn.at <= m_now && m_now < turn.at + turn.lasts
                && std::ranges::find(turn.servers, server) != turn.servers.end();
            if (!isTurning)
                continue;
            if (turn.nodes == 0 || node < turn.nodes)
                return turn.rest;
            ++m_outcome.takenWhileTurningAway;
        }
        return m_servers[server].running >= m_history.slots ? std::optional(m_history.restWhenFull)
                                                            : std::nullopt;
    }
    void reach(const request& request, unsigned server, const decisions::server_process& process,
        utils::time_point sentAt)
    {
        meeting& met = m_meetings[{ request.node, request.life, server, m_servers[server].startedAtMs }];
        met.arrivals.push_back(m_now);
        const auto rest = turnsAway(request.node, server);
        if (rest) {
            ++m_outcome.rejections;
            met.wishes.push_back({ m_now, *rest });
            schedule(m_now + wayToServer, [this, request, process, rest = *rest] {
                node_state& node = m_nodes[request.node];
                if (node.life != request.life)
                    return;
                node.rests.asked(process, utils::fromSeconds(rest), now());
                tell(request.node);
                if (request.tried.size() < maxRejections)
                    send(request);
            });
            return;
        }
        ++m_outcome.served;
        ++m_servers[server].running;
        schedule(m_now + m_history.answerTime, [this, server] { --m_servers[server].running; });
        schedule(m_now + wayToServer, [this, request, process, sentAt] {
            node_state& node = m_nodes[request.node];
            if (node.life != request.life)
                return;
            node.rests.taken(process, sentAt, now());
            tell(request.node);
        });
    }
    void tell(unsigned from)
    {
        for (const decisions::rest_update& update : m_nodes[from].rests.takeUpdates()) {
            m_outcome.updates += m_history.nodes - 1;
            schedule(m_now + wayToNode, [this, update, from] {
                for (unsigned i = 0; i < m_nodes.size(); ++i) {
                    if (i != from)
                        m_nodes[i].rests.told(update, now());
                }
            });
        }
    }
    void restartNodes(const std::vector<unsigned>& nodes)
    {
        for (const unsigned i : nodes)
            m_nodes[i] = newNode(i, m_now, m_nodes[i].life + 1);
    }
    void restartServers(const std::vector<unsigned>& servers)
    {
        for (const unsigned i : servers)
            m_servers[i].startedAtMs += 1000;
    }
    void expire()
    {
        for (node_state& node : m_nodes)
            node.rests.expire(now());
    }
    void countWindows()
    {
        for (const auto& [key, met] : m_meetings) {
            for (const wish& wish : met.wishes) {
                const auto isInside
                    = [&](double at) { return at > wish.at + slack && at < wish.at + wish.rest; };
                const auto inside = static_cast<unsigned>(std::ranges::count_if(met.arrivals, isInside));
                ++m_outcome.windows;
                m_outcome.broken += inside > allowed ? 1 : 0;
                m_outcome.most = std::max(m_outcome.most, inside);
            }
        }
    }

    using meeting_key
        = std::tuple<unsigned, unsigned, unsigned, std::uint64_t>; ///< node, life, server, process

    const rest_history m_history;
    std::mt19937_64 m_random;
    std::vector<node_state> m_nodes;
    std::vector<server_state> m_servers;
    std::map<meeting_key, meeting> m_meetings;
    rest_outcome m_outcome;
    double m_now = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
};

#pragma once

#include "decisions/repeatallowance.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <optional>
#include <random>
#include <vector>

/// A drawn history of a fleet: how its nodes start, die and stand still, how traffic rises, falls and moves
/// between them, and when the service fails.
struct retry_history {
    /// The processes of some nodes end at `at` and are started again after `down`, or all stand still for it.
    struct outage {
        double at = 0; ///< seconds
        double down = 0;
        bool isFreeze = false;
        std::vector<unsigned> nodes;
    };
    /// The service fails this share of the attempts from `from` on.
    struct phase {
        double from = 0;
        double failing = 0;
    };
    /// All requests sent within `span` before `at` fail at that moment.
    struct crash {
        double at = 0;
        double span = 0;
    };

    unsigned nodes = 8;
    double length = 40; ///< seconds
    double requestsPerSecond = 60;
    double swing = 0; ///< of the traffic, as a share of its mean
    double swingPeriod = 11;
    double movingShare = 0; ///< of the callers, that change sides every `movePeriod`
    double movePeriod = 7;
    double forwardedShare = 0; ///< of the retries, that a peer sends
    std::vector<outage> outages;
    std::vector<phase> phases;
    std::vector<crash> crashes;
    std::uint64_t seed = 0;

    std::vector<unsigned> allNodes() const
    {
        std::vector<unsigned> all(nodes);
        std::iota(all.begin(), all.end(), 0U);
        return all;
    }
    double rateAt(double time) const
    {
        return requestsPerSecond * (1 + swing * std::sin(time / swingPeriod * 6.283));
    }
    double failingAt(double time) const
    {
        double failing = 0;
        for (const phase& each : phases) {
            if (each.from <= time)
                failing = each.failing;
        }
        return failing;
    }
};

/// When requests and retries were sent.
struct retry_times {
    std::vector<double> requests; ///< by callers, whether a node took them or not
    std::vector<double> retries;

    static double within(const std::vector<double>& times, double from, double span)
    {
        const auto begin = std::ranges::lower_bound(times, from);
        return static_cast<double>(std::lower_bound(begin, times.end(), from + span) - begin);
    }
    /// The largest number of retries beyond what the fleet may send in a window, over all windows; the
    /// requests count in the window, the one before it, or the one half a window before it.
    double excess(const decisions::repeat_limits& limits) const
    {
        const double span = utils::toSeconds(limits.window);
        double largest = -limits.extra;
        for (const double from : retries) {
            double counted = 0;
            for (const double before : { 0.0, span / 2, span })
                counted = std::max(counted, within(requests, from - before, span));
            largest = std::max(largest, within(retries, from, span) - limits.ratio * counted - limits.extra);
        }
        return largest;
    }
};

/// Plays a history with one allowance for each process.
class retry_player {
public:
    retry_player(const retry_history& history, const decisions::repeat_limits& limits)
        : m_history(history)
        , m_limits(limits)
        , m_random(history.seed)
        , m_nodes(history.nodes)
    {
        for (node_state& node : m_nodes)
            start(node, -startLead);
    }

    retry_times play()
    {
        const auto steps = static_cast<unsigned>(m_history.length / step);
        for (unsigned i = 0; i < steps; ++i) {
            m_now = i * step;
            applyFaults();
            std::poisson_distribution<unsigned> arrivals(m_history.rateAt(m_now) * step);
            for (unsigned left = arrivals(m_random); left > 0; --left)
                arrive();
            for (unsigned node = 0; node < m_nodes.size(); ++node)
                advance(node);
        }
        return std::move(m_times);
    }

private:
    struct pending_retry {
        double at = 0;
        unsigned left = 0;
    };
    struct node_state {
        std::optional<decisions::repeat_allowance> allowance;
        double startedAt = 0;
        double downUntil = -1;
        double frozenUntil = -1;
        bool isSettled = false;
        unsigned waiting = 0; ///< requests that came while it stood still
        std::vector<pending_retry> pending;
        std::vector<double> sent;
    };

    static utils::time_point timeOf(double seconds)
    {
        return utils::time_point {} + std::chrono::hours(1) + utils::fromSeconds(seconds);
    }
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void start(node_state& node, double at)
    {
        node = {};
        node.allowance.emplace(m_limits, 0, timeOf(at));
        node.startedAt = at;
    }

    void applyFaults()
    {
        for (const auto& outage : m_history.outages) {
            if (outage.at < m_now || outage.at >= m_now + step)
                continue;
            for (const unsigned index : outage.nodes) {
                node_state& node = m_nodes.at(index % m_nodes.size());
                if (outage.isFreeze) {
                    node.frozenUntil = m_now + outage.down;
                } else {
                    node = {};
                    node.downUntil = m_now + outage.down;
                }
            }
        }
        for (const auto& crash : m_history.crashes) {
            if (crash.at < m_now || crash.at >= m_now + step)
                continue;
            for (node_state& node : m_nodes) {
                for (const double sent : node.sent) {
                    if (sent >= m_now - crash.span)
                        node.pending.push_back({ m_now, maxRetries });
                }
                node.sent.clear();
            }
        }
    }

    void arrive()
    {
        m_times.requests.push_back(m_now);
        const auto half = static_cast<unsigned>(m_nodes.size() / 2);
        unsigned index = static_cast<unsigned>(m_random() % m_nodes.size());
        const bool isSecondHalf = static_cast<std::int64_t>(m_now / m_history.movePeriod) % 2 != 0;
        if (half > 0 && uniform() < m_history.movingShare)
            index = index % half + (isSecondHalf ? half : 0);
        node_state& node = m_nodes[index];
        if (!node.allowance)
            return;
        if (m_now < node.frozenUntil)
            ++node.waiting;
        else
            send(node);
    }

    void send(node_state& node)
    {
        node.allowance->forwarded(timeOf(m_now));
        if (uniform() < m_history.failingAt(m_now))
            node.pending.push_back({ m_now + delay(), maxRetries });
        else
            node.sent.push_back(m_now);
    }

    double delay() { return 0.005 + 0.3 * uniform(); }

    void advance(unsigned index)
    {
        node_state& node = m_nodes[index];
        if (!node.allowance && m_now >= node.downUntil)
            start(node, m_now);
        if (!node.allowance || m_now < node.frozenUntil)
            return;
        if (!node.isSettled && m_now >= node.startedAt + settleTime) {
            node.allowance->setNodes(std::max(static_cast<unsigned>(m_nodes.size()), minNodes));
            node.isSettled = true;
        }
        for (; node.waiting > 0; --node.waiting)
            send(node);
        std::erase_if(node.sent, [this](double sent) { return sent < m_now - longestRequest; });
        std::vector<pending_retry> due;
        std::erase_if(node.pending, [&](const pending_retry& retry) {
            if (retry.at <= m_now)
                due.push_back(retry);
            return retry.at <= m_now;
        });
        for (const pending_retry& each : due)
            retry(node, each);
    }

    void retry(node_state& origin, const pending_retry& each)
    {
        node_state* sender = &origin;
        if (uniform() < m_history.forwardedShare) {
            node_state& peer = m_nodes[m_random() % m_nodes.size()];
            if (!peer.allowance || m_now < peer.frozenUntil)
                return;
            sender = &peer;
        }
        if (!sender->allowance->trySpend(timeOf(m_now)))
            return;
        m_times.retries.push_back(m_now);
        if (each.left > 1 && uniform() < m_history.failingAt(m_now))
            origin.pending.push_back({ m_now + delay(), each.left - 1 });
    }

    static constexpr double step = 0.01; ///< seconds
    static constexpr double startLead = 10; ///< traffic begins so long after the nodes have started
    static constexpr double settleTime = 1;
    static constexpr double longestRequest = 5;
    static constexpr unsigned maxRetries = 2;
    static constexpr unsigned minNodes = 9;

    const retry_history& m_history;
    const decisions::repeat_limits& m_limits;
    std::mt19937_64 m_random;
    std::vector<node_state> m_nodes;
    retry_times m_times;
    double m_now = 0;
};

/// Draws a history of a fleet with that many nodes.
inline retry_history drawHistory(std::uint64_t seed, unsigned nodes)
{
    std::mt19937_64 random(seed);
    const auto between = [&random](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random);
    };
    const auto chance = [&random](unsigned oneIn) { return random() % oneIn == 0; };
    retry_history history;
    history.nodes = nodes;
    history.seed = seed;
    history.requestsPerSecond = nodes * between(0.5, 18);
    history.swing = chance(2) ? between(0, 0.3) : 0;
    history.swingPeriod = between(5, 20);
    history.movingShare = chance(3) ? between(0, 0.6) : 0;
    history.movePeriod = between(2, 12);
    history.forwardedShare = chance(3) ? between(0, 0.5) : 0;
    static constexpr double failingShares[] { 0, 0, 0.1, 0.4, 0.9, 1 };
    for (double at = 0; at < history.length; at += between(1, 12))
        history.phases.push_back({ at, failingShares[random() % std::size(failingShares)] });
    for (unsigned left = static_cast<unsigned>(random() % 4); left > 0; --left)
        history.crashes.push_back({ between(5, history.length), between(0.2, 4) });
    const std::vector<unsigned> all = history.allNodes();
    const double period = between(0.4, 6);
    const double down = between(0.05, 1.5);
    switch (random() % 6) {
    case 0: // all at once, again and again
        for (double at = between(0, 4); at < history.length; at += period + down)
            history.outages.push_back({ at, down, false, all });
        break;
    case 1: // one after the other
        for (double at = 0; at < history.length; at += period / nodes)
            history.outages.push_back({ at, down, false, { static_cast<unsigned>(random()) % nodes } });
        break;
    case 2: { // some, chosen anew each time
        for (double at = between(0, 4); at < history.length; at += period + down) {
            std::vector<unsigned> some;
            for (const unsigned node : all) {
                if (random() % 10 < 6)
                    some.push_back(node);
            }
            history.outages.push_back({ at, down, false, some });
        }
        break;
    }
    case 3: // all, right after a crash has used up what was saved
        for (const auto& crash : history.crashes)
            history.outages.push_back({ crash.at + 0.2, down, false, all });
        break;
    case 4: // they stand still
        for (double at = between(0, 4); at < history.length; at += period + 2 * down)
            history.outages.push_back({ at, 2 * down, true, { static_cast<unsigned>(random()) % nodes } });
        break;
    default:
        break;
    }
    return history;
}

#pragma once

#include "decisions/crashingparts.h"
#include "decisions/suspectgate.h"
#include "utils/hashing.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

/// What happens in a history besides crashing requests.
enum class history_fault {
    None,
    ServersInSeries, ///< one server after the other ends for another reason
    Rack, ///< a third of the servers ends at once, several times
    NodesKilled, ///< all nodes at once, several times
    NodesCutOff, ///< a third of the nodes hears no other and is not heard
    BecomesCrashing, ///< the part is sound at first
    TwoParts,
    Count_
};

struct history_options {
    unsigned nodes = 7;
    unsigned servers = 9;
    double soundPerS = 60;
    double crashingPerS = 2;
    bool isFirstPart = false; ///< the crashing part leads the prompt
    history_fault fault = history_fault::None;
    decisions::crashing_part_limits limits {};
    unsigned longestBeginMs = 300; ///< until an answer begins, or the server crashes
    std::uint64_t seed = 1;
};

struct history_result {
    unsigned crashes = 0; ///< of servers, under the crashing parts
    unsigned mostCrashes = 0; ///< under one of them
    unsigned late
        = 0; ///< arrivals later than three seconds after the fifth crash under the part, the most of a part
    unsigned sound = 0; ///< requests from six seconds after the fifth crash, or the last, on
    unsigned refused = 0; ///< of these
};

/// Plays requests of many nodes before servers that crash under some parts of prompts, with the decisions of
/// crashing_parts and suspect_gate; messages and checks take time, servers come back under new ids.
class crash_history {
public:
    explicit crash_history(const history_options& options)
        : m_options(options)
        , m_random(options.seed)
    {
        m_servers.resize(options.servers);
        for (unsigned i = 0; i < options.nodes; ++i)
            m_nodes.push_back(std::make_unique<node>(options.limits));
    }

    history_result run()
    {
        scheduleRequests();
        scheduleFaults();
        for (unsigned i = 0; i < m_options.nodes; ++i) {
            for (unsigned at = draw(tickMs); at < lengthMs; at += tickMs)
                schedule(at, [this, i] { tick(i); });
        }
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.action();
        }
        return result();
    }

private:
    struct node {
        explicit node(const decisions::crashing_part_limits& limits)
            : parts(limits)
        {
        }
        decisions::crashing_parts parts;
        decisions::suspect_gate gate;
        unsigned lives = 0;
    };
    struct running {
        std::uint64_t id = 0;
        unsigned node = 0;
        unsigned life = 0; ///< of the node
        std::vector<decisions::prompt_part> parts;
        unsigned sentAt = 0;
        unsigned beganAt = 0; ///< the answer; 0: it has not
        bool isCrashing = false;
        unsigned attempts = 0;
    };
    struct server {
        unsigned incarnation = 0;
        bool isUp = true;
        std::map<std::uint64_t, running> requests;
    };
    struct event {
        unsigned at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return at > other.at || (at == other.at && order > other.order);
        }
    };

    static constexpr unsigned lengthMs = 40'000;
    static constexpr unsigned tickMs = 250;
    static constexpr unsigned newsMs = 5; ///< a datagram's way
    static constexpr unsigned checkMs = 12; ///< from a crash to the result of the check
    static constexpr unsigned downMs = 3'500;
    static constexpr unsigned shortestBeginMs = 60;
    static constexpr unsigned soundAfterMs = 100;
    static constexpr unsigned answerMs = 1'500;
    static constexpr unsigned pauseMs = 20; ///< of a request that waits
    static constexpr unsigned patienceMs = 1'000;
    static constexpr unsigned maxAttempts = 3;
    static constexpr unsigned fanout = 10;
    static constexpr unsigned becomesCrashingMs = 12'000;
    static constexpr unsigned contactMs = 3'000;
    static constexpr std::uint64_t hotPart = 1;
    static constexpr std::uint64_t crashingPart = 1000;
    static constexpr unsigned documents = 200; ///< middle parts of sound requests

    static utils::time_point timeOf(unsigned ms)
    {
        return utils::time_point(std::chrono::milliseconds(ms + 1'000'000));
    }
    utils::time_point now() const { return timeOf(m_now); }
    unsigned draw(unsigned below) { return std::uniform_int_distribution<unsigned>(0, below - 1)(m_random); }
    void schedule(unsigned at, std::function<void()> action)
    {
        m_events.push({ at, m_order++, std::move(action) });
    }
    bool isServerCrashing(std::uint64_t part) const
    {
        if (m_options.fault == history_fault::BecomesCrashing && m_now < becomesCrashingMs)
            return false;
        return part == crashingPart
            || (part == crashingPart + 1 && m_options.fault == history_fault::TwoParts);
    }

    void scheduleRequests()
    {
        std::exponential_distribution<double> sound(m_options.soundPerS / 1000);
        for (double at = sound(m_random); at < lengthMs; at += sound(m_random)) {
            // Some documents are asked for often, most now and then.
            const unsigned document = std::min(draw(documents), draw(documents));
            arrive(static_cast<unsigned>(at), { { hotPart, 500 }, { 10 + document, 300 } });
        }
        const unsigned parts = m_options.fault == history_fault::TwoParts ? 2 : 1;
        std::exponential_distribution<double> crashing(m_options.crashingPerS / 1000);
        for (unsigned i = 0; i < parts; ++i) {
            for (double at = 2000 + crashing(m_random); at < lengthMs; at += crashing(m_random)) {
                std::vector<decisions::prompt_part> prompt { { hotPart, 500 }, { crashingPart + i, 300 },
                    { 10 + draw(documents), 100 } };
                if (m_options.isFirstPart)
                    std::swap(prompt[0], prompt[1]);
                arrive(static_cast<unsigned>(at), std::move(prompt));
            }
        }
    }
    void scheduleFaults()
    {
        if (m_options.fault == history_fault::ServersInSeries) {
            for (unsigned at = 8'000; at < 20'000; at += 400)
                schedule(at, [this] { crash(draw(m_options.servers)); });
        } else if (m_options.fault == history_fault::Rack) {
            for (unsigned at = 8'000; at < 30'000; at += 5'000)
                schedule(at, [this] {
                    for (unsigned i = 0; i < m_options.servers; i += 3)
                        crash(i);
                });
        } else if (m_options.fault == history_fault::NodesKilled) {
            for (unsigned at = 9'000; at < 30'000; at += 7'000)
                schedule(at, [this] { killNodes(); });
        } else if (m_options.fault == history_fault::NodesCutOff) {
            schedule(8'000, [this] { m_cutOff = m_options.nodes / 3; });
            schedule(14'000, [this] { m_cutOff = 0; });
        }
    }
    void killNodes()
    {
        for (auto& killed : m_nodes) {
            const unsigned lives = killed->lives + 1;
            killed = std::make_unique<node>(m_options.limits);
            killed->lives = lives;
            killed->parts.applyRecord(m_record, m_recordRevision, now());
        }
    }

    void arrive(unsigned at, std::vector<decisions::prompt_part> parts)
    {
        running request;
        request.id = ++m_requests;
        request.parts = std::move(parts);
        request.node = draw(m_options.nodes);
        for (const decisions::prompt_part& part : request.parts)
            request.isCrashing = request.isCrashing || part.id >= crashingPart;
        m_arrivedAt[request.id] = at;
        schedule(at, [this, request]() mutable {
            request.life = m_nodes[request.node]->lives;
            attempt(request);
        });
    }
    void end(const running& request, bool isServed)
    {
        if (!request.isCrashing)
            m_sound.emplace_back(m_arrivedAt.at(request.id), isServed);
    }
    void attempt(running request)
    {
        using enum decisions::part_verdict;
        node& here = *m_nodes[request.node];
        if (here.lives != request.life)
            return; // killed with its node
        const decisions::part_finding finding = here.parts.check(request.parts, now());
        const bool mayTry = finding.termOverFor >= std::chrono::seconds(5)
            || utils::hash64("a", finding.part) % m_options.nodes == request.node;
        const bool isRefused = finding.verdict == Crashing || (finding.verdict == OnTrial && !mayTry);
        if (isRefused) {
            end(request, false);
            return;
        }
        if (finding.verdict != Sound && !here.gate.tryEnter(finding.part, request.id, now())) {
            const bool isPatient = m_now - m_arrivedAt.at(request.id) < patienceMs;
            if (finding.verdict == OnTrial || !isPatient)
                end(request, false);
            else
                schedule(m_now + pauseMs, [this, request] { attempt(request); });
            return;
        }
        const std::optional<unsigned> at = finding.verdict == Sound ? anyServer() : firstServer(finding.part);
        if (!at) {
            here.gate.leave(request.id);
            end(request, false);
            return;
        }
        run(*at, std::move(request));
    }
    std::optional<unsigned> anyServer()
    {
        std::vector<unsigned> up;
        for (unsigned i = 0; i < m_servers.size(); ++i) {
            if (m_servers[i].isUp)
                up.push_back(i);
        }
        if (up.empty())
            return std::nullopt;
        return up[draw(static_cast<unsigned>(up.size()))];
    }
    std::optional<unsigned> firstServer(std::uint64_t part) const
    {
        std::optional<unsigned> first;
        const auto rank = [&](unsigned i) {
            return utils::combineHashes(utils::combineHashes(i, m_servers[i].incarnation), part);
        };
        for (unsigned i = 0; i < m_servers.size(); ++i) {
            if (m_servers[i].isUp && (!first || rank(i) < rank(*first)))
                first = i;
        }
        return first;
    }
    void run(unsigned at, running request)
    {
        request.sentAt = m_now;
        ++request.attempts;
        const std::uint64_t id = request.id;
        std::uint64_t crashes = 0;
        for (const decisions::prompt_part& part : request.parts) {
            if (isServerCrashing(part.id))
                crashes = part.id;
        }
        if (crashes != 0)
            m_crashingArrivals[crashes].push_back(m_now);
        m_servers[at].requests[id] = std::move(request);
        const unsigned incarnation = m_servers[at].incarnation;
        const unsigned beginsAt = m_now + shortestBeginMs + draw(m_options.longestBeginMs - shortestBeginMs);
        schedule(beginsAt, [this, at, id, incarnation, crashes] {
            if (m_servers[at].incarnation != incarnation)
                return;
            if (crashes != 0) {
                m_crashesOf[crashes].push_back(m_now);
                crash(at);
                return;
            }
            m_servers[at].requests.at(id).beganAt = m_now;
            schedule(m_now + soundAfterMs, [this, at, id, incarnation] { sound(at, id, incarnation); });
            schedule(m_now + answerMs, [this, at, id, incarnation] {
                if (m_servers[at].incarnation == incarnation)
                    m_servers[at].requests.erase(id);
            });
        });
    }
    void sound(unsigned at, std::uint64_t id, unsigned incarnation)
    {
        if (m_servers[at].incarnation != incarnation)
            return;
        const running& request = m_servers[at].requests.at(id);
        node& here = *m_nodes[request.node];
        if (here.lives != request.life)
            return;
        here.parts.answered(1, request.parts, timeOf(request.beganAt), now());
        here.gate.leave(id);
        sendNews(request.node);
        end(request, true);
    }
    void crash(unsigned at)
    {
        server& crashed = m_servers[at];
        if (!crashed.isUp)
            return;
        const decisions::crash_key key = decisions::crashKey(std::to_string(at), crashed.incarnation);
        crashed.isUp = false;
        ++crashed.incarnation;
        const auto lost = std::exchange(crashed.requests, {});
        schedule(m_now + downMs, [this, at] { m_servers[at].isUp = true; });
        const unsigned crashedAt = m_now;
        schedule(m_now + checkMs, [this, lost, key, crashedAt] {
            for (const auto& [id, request] : lost)
                lose(request, key, crashedAt);
        });
    }
    void lose(running request, decisions::crash_key key, unsigned crashedAt)
    {
        node& here = *m_nodes[request.node];
        if (here.lives != request.life)
            return;
        here.gate.leave(request.id);
        if (request.beganAt != 0 && crashedAt - request.beganAt >= soundAfterMs)
            return; // the caller had events
        here.parts.crashed(1, request.parts, key, timeOf(request.sentAt), now());
        sendNews(request.node);
        request.beganAt = 0;
        if (request.attempts >= maxAttempts)
            end(request, false);
        else
            attempt(std::move(request));
    }

    void tick(unsigned index)
    {
        m_nodes[index]->parts.expire(now());
        sendNews(index);
        if (index >= m_cutOff) {
            if (auto record = m_nodes[index]->parts.missingRecord(now())) {
                m_record = std::move(record);
                ++m_recordRevision;
            }
        }
        m_nodes[index]->parts.applyRecord(m_record, m_recordRevision, now());
    }
    void sendNews(unsigned index)
    {
        const auto news = m_nodes[index]->parts.takeNews(20, now());
        if (news.empty())
            return;
        std::set<unsigned> targets;
        while (targets.size() < std::min(fanout, m_options.nodes - 1)) {
            const unsigned target = draw(m_options.nodes);
            if (target != index)
                targets.insert(target);
        }
        for (const unsigned target : targets) {
            const bool isLost = (index < m_cutOff) != (target < m_cutOff) || draw(100) == 0;
            if (!isLost)
                schedule(m_now + newsMs, [this, target, news] { m_nodes[target]->parts.merge(news, now()); });
        }
    }

    history_result result() const
    {
        history_result result;
        unsigned from = 0;
        for (const auto& [part, crashes] : m_crashesOf) {
            const std::vector<unsigned>& times = crashes;
            result.crashes += times.size();
            result.mostCrashes = std::max<unsigned>(result.mostCrashes, times.size());
            from = std::max(from, times[std::min<std::size_t>(times.size(), 5) - 1] + 2 * contactMs);
            if (times.size() < 5)
                continue;
            const auto& arrivals = m_crashingArrivals.at(part);
            const auto late
                = std::ranges::count_if(arrivals, [&](unsigned at) { return at > times[4] + contactMs; });
            result.late = std::max<unsigned>(result.late, late);
        }
        for (const auto& [at, isServed] : m_sound) {
            if (at < from || at > lengthMs - 2000)
                continue;
            ++result.sound;
            result.refused += isServed ? 0 : 1;
        }
        return result;
    }

    history_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<server> m_servers;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_requests = 0;
    unsigned m_now = 0;
    unsigned m_cutOff = 0; ///< nodes from the first one on that are cut off from the others
    std::optional<std::string> m_record;
    std::uint64_t m_recordRevision = 0;
    std::map<std::uint64_t, unsigned> m_arrivedAt;
    std::map<std::uint64_t, std::vector<unsigned>> m_crashesOf; ///< times, by part
    std::map<std::uint64_t, std::vector<unsigned>> m_crashingArrivals;
    std::vector<std::pair<unsigned, bool>> m_sound; ///< arrival, and whether it was served
};

#pragma once

#include "decisions/crashingparts.h"
#include "decisions/poisonregister.h"
#include "decisions/serverreachability.h"
#include "decisions/suspectgate.h"
#include "decisions/undecidedlosses.h"
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

/// How nodes take the loss of an attempt while they doubt their own path.
enum class doubted_loss {
    Dropped, ///< it counts for nothing
    Counted, ///< as any other
    Undecided ///< until the end of the server is known from elsewhere
};

/// What happens in a history besides crashing requests.
enum class request_history_fault {
    None,
    NodeKilled, ///< one node after the other, each starts anew
    AllKilled, ///< all nodes at once, twice
    PathCut, ///< the first node loses its path to all servers for some seconds, with all its connections
    Count_
};

struct request_history_options {
    unsigned nodes = 7;
    unsigned servers = 3;
    double soundPerS = 250;
    double equalShare = 0; ///< part of the sound requests that are alike
    unsigned answerMs = 400;
    unsigned crashing = 1; ///< requests that crash servers, each sent every half second
    unsigned maxAttempts = 3; ///< 1: the route may not be repeated
    request_history_fault fault = request_history_fault::None;
    doubted_loss doubted = doubted_loss::Undecided;
    /// Crashes are counted by digest alone, and told with the latest 16 strikes of each heartbeat.
    bool usesDigestRegister = false;
    std::uint64_t seed = 1;
};

struct request_history_result {
    unsigned crashes = 0;
    unsigned late = 0; ///< arrivals later than three seconds after a request's third crash, the most of one
    unsigned sound = 0; ///< sent when the servers of the last crash are back
    unsigned served = 0; ///< of these
    unsigned refused = 0; ///< sound requests of the whole history that were taken for crashing ones
};

/// Plays insisting requests that crash their servers beside many sound ones, with the decisions of
/// crashing_parts, undecided_losses, server_reachability and suspect_gate; messages and checks take time,
/// entries of crashed servers lapse, and others come back at their addresses.
class request_history {
public:
    explicit request_history(const request_history_options& options)
        : m_options(options)
        , m_random(options.seed)
        , m_servers(options.servers)
        , m_crashTimes(options.crashing)
        , m_arrivalTimes(options.crashing)
    {
        for (unsigned i = 0; i < options.nodes; ++i)
            m_nodes.push_back(std::make_unique<node>(i));
    }

    request_history_result run()
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
    struct request {
        std::uint64_t id = 0;
        unsigned node = 0;
        unsigned life = 0; ///< of the node
        decisions::body_digest digest;
        std::vector<decisions::prompt_part> suspects;
        std::optional<unsigned> crashing; ///< number among the crashing ones
        unsigned arrivedAt = 0;
        unsigned sentAt = 0;
        unsigned sends = 0;
        std::set<std::string> tried;
    };
    struct loss {
        request lost;
        unsigned server = 0;
        unsigned incarnation = 0;
        unsigned lostAt = 0;
    };
    struct node {
        explicit node(std::uint64_t seed)
            : reachability(seed)
            , digests(limits())
        {
        }
        static decisions::poison_limits limits()
        {
            decisions::poison_limits limits;
            limits.crashes = 3;
            limits.sharedCrashes = 3;
            limits.lifetime = std::chrono::minutes(5);
            return limits;
        }
        decisions::server_reachability reachability;
        decisions::crashing_parts parts;
        decisions::poison_register digests;
        decisions::undecided_losses<loss> undecided;
        decisions::suspect_gate gate;
        unsigned lives = 0;
        bool isNewsDue = false;
    };
    struct server {
        unsigned incarnation = 0;
        bool isUp = true;
        bool hasEntry = true;
        std::map<std::uint64_t, request> requests;
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
    static constexpr unsigned entryMs = 1'300; ///< from a crash until the entry lapses
    static constexpr unsigned downMs = 3'000;
    static constexpr unsigned crashesAfterMs = 50; ///< at least, from the arrival of a request
    static constexpr unsigned crashSpreadMs = 80;
    static constexpr unsigned firstCrashingMs = 3'000;
    static constexpr unsigned insistMs = 500;
    static constexpr unsigned waitMs = 20; ///< of a request that waits
    static constexpr unsigned patienceMs = 1'000;
    static constexpr unsigned othersTryAfterMs = 5'000; ///< than the node that tries first
    static constexpr unsigned connectTries = 4;
    static constexpr unsigned contactMs = 3'000;
    static constexpr unsigned settleMs = 1'000;
    static constexpr unsigned fanout = 10;
    static constexpr std::size_t newsPerTick = 64;
    static constexpr std::size_t digestsPerTick = 16;
    static constexpr unsigned lostDatagrams = 100; ///< one in so many
    static constexpr unsigned cutFromMs = 8'000;
    static constexpr unsigned cutToMs = 12'000;
    static constexpr std::uint32_t serviceId = 1;
    static constexpr const char* service = "plain";

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
    static std::string nameOf(unsigned server, unsigned incarnation)
    {
        return std::to_string(server) + "." + std::to_string(incarnation);
    }
    bool isCut(unsigned index) const
    {
        return m_options.fault == request_history_fault::PathCut && index == 0 && m_now >= cutFromMs
            && m_now < cutToMs;
    }

    void scheduleRequests()
    {
        std::exponential_distribution<double> sound(m_options.soundPerS / 1000);
        for (double at = sound(m_random); at < lengthMs; at += sound(m_random)) {
            const bool isEqual = draw(1000) < 1000 * m_options.equalShare;
            arrive(static_cast<unsigned>(at), isEqual ? "equal" : "own " + std::to_string(m_requests), {});
        }
        for (unsigned i = 0; i < m_options.crashing; ++i) {
            for (unsigned at = firstCrashingMs + 130 * i; at < lengthMs; at += insistMs)
                arrive(at, "crashing " + std::to_string(i), i);
        }
    }
    void scheduleFaults()
    {
        if (m_options.fault == request_history_fault::NodeKilled) {
            for (unsigned i = 0; i < m_options.nodes; ++i)
                schedule(firstCrashingMs + 300 * (i + 1), [this, i] { kill(i); });
        } else if (m_options.fault == request_history_fault::AllKilled) {
            for (const unsigned at : { 5'000U, 12'000U })
                schedule(at, [this] {
                    for (unsigned i = 0; i < m_options.nodes; ++i)
                        kill(i);
                });
        } else if (m_options.fault == request_history_fault::PathCut) {
            schedule(cutFromMs, [this] { resetConnections(0); });
        }
    }
    void kill(unsigned index)
    {
        const unsigned lives = m_nodes[index]->lives + 1;
        m_nodes[index] = std::make_unique<node>(index);
        m_nodes[index]->lives = lives;
        m_nodes[index]->parts.applyRecord(m_record, m_recordRevision, now());
        // A peer tells what stands; for those that count by digest, its next heartbeat does.
        const unsigned peer = (index + 1) % m_options.nodes;
        const auto standing = m_nodes[peer]->parts.standing(newsPerTick, now());
        schedule(m_now + 2 * newsMs, [this, index, standing] { merge(index, standing); });
    }
    /// All connections of the node end, the servers live on.
    void resetConnections(unsigned index)
    {
        for (unsigned at = 0; at < m_servers.size(); ++at) {
            std::vector<request> lost;
            std::erase_if(m_servers[at].requests, [&](const auto& entry) {
                if (entry.second.node != index)
                    return false;
                lost.push_back(entry.second);
                return true;
            });
            const unsigned incarnation = m_servers[at].incarnation;
            schedule(m_now + checkMs, [this, lost, at, incarnation, lostAt = m_now] {
                for (const request& each : lost)
                    lose({ each, at, incarnation, lostAt });
            });
        }
    }

    void arrive(unsigned at, const std::string& body, std::optional<unsigned> crashing)
    {
        request arrived;
        arrived.id = ++m_requests;
        arrived.digest = decisions::digestOf(body);
        arrived.suspects = decisions::suspectsOf({}, arrived.digest);
        arrived.crashing = crashing;
        arrived.node = draw(m_options.nodes);
        arrived.arrivedAt = at;
        schedule(at, [this, arrived]() mutable {
            arrived.life = m_nodes[arrived.node]->lives;
            attempt(arrived);
        });
    }
    void end(const request& ended, bool isServed)
    {
        if (!ended.crashing)
            m_sound.emplace_back(ended.arrivedAt, isServed);
    }
    void attempt(request tried)
    {
        using enum decisions::part_verdict;
        node& here = *m_nodes[tried.node];
        if (here.lives != tried.life)
            return; // killed with its node
        const auto finding = m_options.usesDigestRegister ? decisions::part_finding()
                                                          : here.parts.check(tried.suspects, now());
        const bool mayTry = finding.termOverFor >= std::chrono::milliseconds(othersTryAfterMs)
            || finding.part % m_options.nodes == tried.node;
        const bool isRefused = m_options.usesDigestRegister
            ? here.digests.check(tried.digest, now()) == decisions::poison_verdict::Refuse
            : finding.verdict == Crashing || (finding.verdict == OnTrial && !mayTry);
        if (isRefused) {
            m_refused += tried.crashing ? 0 : 1;
            end(tried, false);
            return;
        }
        if (finding.verdict != Sound && !here.gate.tryEnter(finding.part, tried.id, now())) {
            if (finding.verdict == Suspect && m_now - tried.arrivedAt < patienceMs)
                schedule(m_now + waitMs, [this, tried] { attempt(tried); });
            else
                end(tried, false);
            return;
        }
        const auto at = connect(tried, finding.verdict == Sound ? std::nullopt : std::optional(finding.part));
        if (at) {
            run(*at, std::move(tried));
            return;
        }
        here.gate.leave(tried.id);
        end(tried, false);
    }
    /// The server that accepts a connection; one that has crashed refuses it as long as it has an entry.
    std::optional<unsigned> connect(request& tried, std::optional<std::uint64_t> suspect)
    {
        node& here = *m_nodes[tried.node];
        for (unsigned i = 0; i < connectTries; ++i) {
            std::vector<unsigned> candidates;
            for (unsigned at = 0; at < m_servers.size(); ++at) {
                if (m_servers[at].hasEntry && !tried.tried.contains(nameOf(at, m_servers[at].incarnation)))
                    candidates.push_back(at);
            }
            if (candidates.empty())
                return std::nullopt;
            const auto rank = [&](unsigned at) {
                return utils::combineHashes(utils::hash64(nameOf(at, m_servers[at].incarnation)), *suspect);
            };
            const unsigned at = suspect ? *std::ranges::min_element(candidates, {}, rank)
                                        : candidates[draw(static_cast<unsigned>(candidates.size()))];
            const std::string name = nameOf(at, m_servers[at].incarnation);
            const utils::server_id id(name);
            const std::size_t usable = entryCount();
            if (m_servers[at].isUp && !isCut(tried.node)) {
                here.reachability.connected(service, id, usable, now());
                return at;
            }
            here.reachability.failed(service, id, usable, now());
            tried.tried.insert(name);
        }
        return std::nullopt;
    }
    std::size_t entryCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_servers, &server::hasEntry));
    }
    void run(unsigned at, request sent)
    {
        sent.sentAt = m_now;
        ++sent.sends;
        const std::uint64_t id = sent.id;
        const std::optional<unsigned> crashing = sent.crashing;
        if (crashing)
            m_arrivalTimes[*crashing].push_back(m_now);
        m_servers[at].requests[id] = std::move(sent);
        const unsigned incarnation = m_servers[at].incarnation;
        if (crashing) {
            schedule(m_now + crashesAfterMs + draw(crashSpreadMs), [this, at, id, incarnation, crashing] {
                if (!isRunning(at, id, incarnation))
                    return;
                m_crashTimes[*crashing].push_back(m_now);
                crash(at);
            });
            return;
        }
        schedule(m_now + m_options.answerMs, [this, at, id, incarnation] {
            if (isRunning(at, id, incarnation))
                answer(at, id);
        });
    }
    bool isRunning(unsigned at, std::uint64_t id, unsigned incarnation) const
    {
        return m_servers[at].incarnation == incarnation && m_servers[at].requests.contains(id);
    }
    void answer(unsigned at, std::uint64_t id)
    {
        const request answered = m_servers[at].requests.extract(id).mapped();
        node& here = *m_nodes[answered.node];
        if (here.lives != answered.life)
            return;
        here.undecided.serverLives(utils::server_id(nameOf(at, m_servers[at].incarnation)));
        here.digests.completed(answered.digest, now());
        if (here.parts.answered(serviceId, answered.suspects, now(), now()) > 1)
            sendNews(answered.node);
        here.gate.leave(id);
        end(answered, true);
    }
    void crash(unsigned at)
    {
        server& crashed = m_servers[at];
        const unsigned incarnation = crashed.incarnation;
        crashed.isUp = false;
        const auto lost = std::exchange(crashed.requests, {});
        schedule(m_now + checkMs, [this, lost, at, incarnation, lostAt = m_now] {
            for (const auto& [id, each] : lost)
                lose({ each, at, incarnation, lostAt });
        });
        schedule(m_now + entryMs, [this, at] { m_servers[at].hasEntry = false; });
        schedule(m_now + downMs, [this, at] {
            ++m_servers[at].incarnation;
            m_servers[at].isUp = true;
            m_servers[at].hasEntry = true;
        });
    }
    void lose(const loss& each)
    {
        node& here = *m_nodes[each.lost.node];
        if (here.lives != each.lost.life)
            return;
        here.gate.leave(each.lost.id);
        const utils::server_id id(nameOf(each.server, each.incarnation));
        // The check of the server is a connection as any other.
        here.reachability.failed(service, id, entryCount(), now());
        const bool isDoubted = here.reachability.isCutOff(service);
        if (!isDoubted || m_options.doubted == doubted_loss::Counted)
            count(each);
        else if (m_options.doubted == doubted_loss::Undecided)
            here.undecided.add({ id, 0 }, each, now());
        request again = each.lost;
        again.tried.insert(id.str());
        if (again.sends >= m_options.maxAttempts)
            end(again, false);
        else
            attempt(std::move(again));
    }
    void count(const loss& each)
    {
        node& here = *m_nodes[each.lost.node];
        const std::string name = nameOf(each.server, each.incarnation);
        const decisions::crash_key key = decisions::crashKey(name, 0);
        here.digests.crashed(key, { each.lost.digest }, now(), false);
        here.parts.crashed(serviceId, each.lost.suspects, key, timeOf(each.lost.sentAt), timeOf(each.lostAt));
        if (std::exchange(here.isNewsDue, true))
            return;
        schedule(m_now, [this, index = each.lost.node] { sendNews(index); });
    }
    void countEnded(unsigned index, decisions::crash_key key)
    {
        for (const loss& each : m_nodes[index]->undecided.takeEnded(key))
            count(each);
    }

    void tick(unsigned index)
    {
        node& here = *m_nodes[index];
        here.parts.expire(now());
        here.undecided.expire(now());
        for (const decisions::server_process& process : here.undecided.servers()) {
            const auto isCurrent = [&](unsigned at) {
                return m_servers[at].hasEntry && nameOf(at, m_servers[at].incarnation) == process.id.str();
            };
            bool hasEntry = false;
            for (unsigned at = 0; at < m_servers.size(); ++at)
                hasEntry = hasEntry || isCurrent(at);
            if (!hasEntry)
                countEnded(index, decisions::crashKey(process.id.str(), 0));
        }
        if (auto record = here.parts.missingRecord(now())) {
            m_record = std::move(record);
            ++m_recordRevision;
        }
        here.parts.applyRecord(m_record, m_recordRevision, now());
        probe(index);
        sendNews(index);
        if (!m_options.usesDigestRegister)
            return;
        const auto strikes = here.digests.strikes(now(), digestsPerTick);
        sendTo(index, [this, strikes](unsigned target) { m_nodes[target]->digests.merge(strikes, now()); });
    }
    void probe(unsigned index)
    {
        node& here = *m_nodes[index];
        std::vector<utils::server_id> ids;
        std::set<std::string> open;
        for (unsigned at = 0; at < m_servers.size(); ++at) {
            if (!m_servers[at].hasEntry)
                continue;
            const std::string name = nameOf(at, m_servers[at].incarnation);
            ids.emplace_back(name);
            if (m_servers[at].isUp && !isCut(index))
                open.insert(name);
        }
        for (const utils::server_id& id : here.reachability.nextProbes(service, ids, now())) {
            if (open.contains(id.str()))
                here.reachability.connected(service, id, ids.size(), now());
            else
                here.reachability.failed(service, id, ids.size(), now());
        }
    }
    void sendNews(unsigned index)
    {
        m_nodes[index]->isNewsDue = false;
        const auto news = m_nodes[index]->parts.takeNews(newsPerTick, now());
        if (!news.empty())
            sendTo(index, [this, news](unsigned target) { merge(target, news); });
    }
    void merge(unsigned index, const std::vector<decisions::part_strike>& strikes)
    {
        m_nodes[index]->parts.merge(strikes, now());
        for (const decisions::part_strike& strike : strikes)
            countEnded(index, strike.crash);
    }
    void sendTo(unsigned index, const std::function<void(unsigned)>& deliver)
    {
        std::set<unsigned> targets;
        while (targets.size() < std::min(fanout, m_options.nodes - 1)) {
            const unsigned target = draw(m_options.nodes);
            if (target != index)
                targets.insert(target);
        }
        for (const unsigned target : targets) {
            if (draw(lostDatagrams) != 0)
                schedule(m_now + newsMs, [deliver, target] { deliver(target); });
        }
    }

    request_history_result result() const
    {
        request_history_result result;
        result.refused = m_refused;
        unsigned last = firstCrashingMs;
        for (unsigned i = 0; i < m_options.crashing; ++i) {
            const std::vector<unsigned>& crashes = m_crashTimes[i];
            result.crashes += static_cast<unsigned>(crashes.size());
            if (!crashes.empty())
                last = std::max(last, crashes.back());
            constexpr std::size_t convicting = 3;
            if (crashes.size() < convicting)
                continue;
            const unsigned from = crashes[convicting - 1] + contactMs;
            const auto late
                = std::ranges::count_if(m_arrivalTimes[i], [from](unsigned at) { return at > from; });
            result.late = std::max(result.late, static_cast<unsigned>(late));
        }
        for (const auto& [at, isServed] : m_sound) {
            const bool isBesideCut = m_options.fault == request_history_fault::PathCut
                && at + contactMs > cutFromMs && at < cutToMs + contactMs;
            if (at < last + downMs + settleMs || at > lengthMs - contactMs || isBesideCut)
                continue;
            ++result.sound;
            result.served += isServed ? 1 : 0;
        }
        return result;
    }

    request_history_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<server> m_servers;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_requests = 0;
    unsigned m_now = 0;
    std::optional<std::string> m_record;
    std::uint64_t m_recordRevision = 0;
    std::vector<std::vector<unsigned>> m_crashTimes; ///< by crashing request
    std::vector<std::vector<unsigned>> m_arrivalTimes; ///< likewise
    std::vector<std::pair<unsigned, bool>> m_sound; ///< arrival, and whether it was served
    unsigned m_refused = 0;
};

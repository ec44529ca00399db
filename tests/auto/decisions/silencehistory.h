#pragma once

#include "retryhistory.h"

#include "decisions/recentfailures.h"
#include "decisions/serverhealth.h"
#include "decisions/silencedetector.h"
#include "decisions/stalledattempts.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// What a node does with an attempt that receives no data for too long.
enum class silence_rule {
    EndFirst, ///< ends the attempt, then asks whether the request may be retried
    Stay, ///< nothing; the attempt stays
    SecureAnywhere, ///< ends it once its replacement is secured, at any other server
    SecureUnsettled, ///< the same, at a server that is likely to run
    SecureUnlessMostSilent, ///< the same, but never while most servers are silent
    SecureSettled, ///< the same, and not right after most were silent
    Secure, ///< the same, first at a server that is known to run
    Overlap, ///< as Secure, but both attempts run until one of them has an event
    ResumeAtOnce, ///< as Secure, but cuts the answer where nothing is secured; the caller resumes
    ResumeLate, ///< the same, once the server has been silent for three seconds
    Count_
};

/// Returns the name used in messages and tables.
inline std::string_view toString(silence_rule rule)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(silence_rule::Count_)> names {
        "end first", "stay", "secure anywhere", "secure unsettled", "secure unless most silent",
        "secure settled", "secure", "overlap", "resume at once", "resume late"
    };
    return names.at(static_cast<std::size_t>(rule));
}

/// What happens to a fleet whose servers fall silent. Times are in seconds.
struct silence_history {
    static constexpr double forever = 1e9;

    /// These servers send nothing from `at` on, for `lasts`, and then go on where they stopped.
    struct silence {
        double at = 0;
        double lasts = 0; ///< `forever`: they are dark
        std::vector<unsigned> servers;
    };
    /// These nodes are killed and start again after `down`.
    struct restart {
        double at = 0;
        double down = 0.3;
        std::vector<unsigned> nodes;
    };

    unsigned nodes = 7;
    unsigned servers = 9;
    double streamsPerSecond = 40;
    double length = 24; ///< streams begin until then
    double repeatable = 0.7; ///< share of the streams on routes that may be repeated
    std::vector<silence> silences;
    std::vector<restart> restarts;
    std::uint64_t seed = 1;

    /// The first `count` servers fall silent.
    void addSilence(double at, double lasts, unsigned count)
    {
        silence added { at, lasts, std::vector<unsigned>(count) };
        std::iota(added.servers.begin(), added.servers.end(), 0U);
        silences.push_back(std::move(added));
    }
    bool isSilent(unsigned server, double time) const { return silentUntil(server, time) > time; }
    /// Returns when the server goes on; `time` if it is not silent then.
    double silentUntil(unsigned server, double time) const
    {
        double until = time;
        bool hasChanged = true;
        while (hasChanged) {
            hasChanged = false;
            for (const silence& each : silences) {
                const bool covers = each.at <= until && each.at + each.lasts > until
                    && std::ranges::find(each.servers, server) != each.servers.end();
                if (covers) {
                    until = each.at + each.lasts;
                    hasChanged = true;
                }
            }
        }
        return until;
    }
};

/// What came of a history.
struct silence_outcome {
    unsigned begun = 0; ///< streams, those of killed nodes left out
    unsigned whole = 0;
    unsigned cut = 0; ///< answers ended before their deadline, though the server would have gone on before it
    unsigned cutInVain = 0; ///< answers ended before their deadline whose server did not go on
    unsigned waits = 0; ///< of over a second for an event
    double waited = 0; ///< sum of these
    unsigned late = 0; ///< waited over a second longer than the silence of their server
    unsigned expired = 0; ///< at their deadline, at a server that was not dark
    unsigned expiredDark = 0; ///< at their deadline, at a dark server
    unsigned misplaced = 0; ///< not whole, though the server of an attempt that was ended went on in time
    unsigned needless = 0; ///< retries of attempts whose server had gone on
    unsigned twoRuns = 0; ///< runs at two servers for longer than the platform allows
    unsigned resumptions = 0;
    unsigned dark = 0; ///< repeatable streams with an attempt left that received nothing from a dark server
    unsigned darkMoved = 0; ///< of these, those that were retried elsewhere
    unsigned metDark = 0; ///< all streams that received nothing from a dark server
    double darkWait
        = 0; ///< sum of the times from the last event of such a stream to its next one, or its end
    double unusedRetry = 0; ///< longest time that one of `dark` waited though a retry was left for it
    double peakLoad = 0; ///< of a server that goes on, against the mean
    retry_times times;
};

/// Plays a history with the decisions of the gateway.
class silence_player {
public:
    silence_player(const silence_history& history, silence_rule rule)
        : m_history(history)
        , m_rule(rule)
        , m_random(history.seed)
        , m_servers(history.servers)
        , m_nodes(history.nodes)
    {
        m_limits.extra = std::max(smallestExtra, extraPerNode * history.nodes);
        for (unsigned i = 0; i < history.servers; ++i)
            m_ids.emplace_back("server-" + std::to_string(i));
        for (node_state& node : m_nodes)
            start(node, -startLead);
    }

    const decisions::repeat_limits& limits() const { return m_limits; }

    silence_outcome play()
    {
        for (unsigned i = 0; m_now < m_history.length || !m_streams.empty(); ++i) {
            m_now = i * step;
            applyRestarts();
            advanceServers();
            std::poisson_distribution<unsigned> arrivals(m_history.streamsPerSecond * step);
            for (unsigned left = m_now < m_history.length ? arrivals(m_random) : 0; left > 0; --left)
                begin();
            for (auto& [number, stream] : m_streams)
                advance(number, stream);
            if (i % stepsPerCleanup == 0)
                std::erase_if(m_streams, [](const auto& entry) { return entry.second.isOver; });
        }
        return std::move(m_outcome);
    }

private:
    static constexpr double step = 0.01; ///< seconds
    static constexpr unsigned stepsPerCleanup = 25;
    static constexpr double startLead = 15; ///< the nodes have started that long before
    static constexpr double deadline = 20;
    static constexpr double eventGap = 0.1;
    static constexpr double target = 1; ///< of the routes, for a first event
    static constexpr double firstTimeout = 1.5;
    static constexpr double gapTimeout = 1;
    static constexpr double checkInterval = 0.1;
    static constexpr double lateAfter = 1;
    static constexpr double longestOverlap = 0.4;
    static constexpr double resumeDelay = 0.3;
    static constexpr double lateResume = 3;
    static constexpr unsigned urgencies = 3;
    static constexpr unsigned maxResumptions = 3;
    static constexpr double meanEvents = 34;
    static constexpr double slotsPerMean = 1.6; ///< a server slows down beyond this load, against the mean
    static constexpr double penaltyPerFailure = 1;
    static constexpr double extraPerNode = 2.1;
    static constexpr double smallestExtra = 54;
    static constexpr unsigned minNodes = 9;
    static constexpr unsigned nowhere = std::numeric_limits<unsigned>::max();
    static constexpr const char* service = "engines";

    struct server_state {
        double progress = 0; ///< seconds of work; stands still while the server is silent
        unsigned load = 0;
        double penalty = 0;
        double silentUntil = 0;
    };
    struct node_state {
        std::optional<decisions::repeat_allowance> repeats;
        std::unique_ptr<decisions::server_health> health;
        decisions::silence_detector silence;
        decisions::stalled_attempts stalls;
        double downUntil = 0;
    };
    struct attempt_state {
        unsigned server = nowhere;
        double sentAt = 0;
        double nextEvent = 0; ///< in the server's progress
    };
    struct stream_state {
        unsigned node = 0;
        attempt_state first;
        attempt_state second; ///< beside the first one, with silence_rule::Overlap
        std::vector<unsigned> tried;
        int urgency = 0;
        unsigned maxAttempts = 1;
        unsigned attempts = 0;
        unsigned eventsLeft = 0;
        unsigned resumptions = 0;
        double deadlineAt = 0;
        double lastDataAt = 0; ///< or when the attempt was sent
        double lastEventAt = 0; ///< for the caller
        unsigned lastServer = 0; ///< from which the caller waits since
        double checkAt = 0;
        double resumesAt = -1;
        double retryLeftSince = -1; ///< at a dark server
        bool hasEvents = false; ///< of the attempt
        bool isStalled = false;
        bool isDark = false; ///< received nothing from a dark server, and has an attempt left
        bool metDark = false; ///< received nothing from a dark server since its last event
        bool isLate = false;
        bool isOver = false;
        bool couldGoOn = false; ///< an attempt was ended whose server went on in time
    };

    static utils::time_point timeOf(double seconds)
    {
        return utils::time_point() + std::chrono::hours(1) + utils::fromSeconds(seconds);
    }
    utils::time_point present() const { return timeOf(m_now); }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    double between(double low, double high) { return low + (high - low) * draw(); }
    bool isDark(unsigned server) const { return m_servers[server].silentUntil >= silence_history::forever; }

    void start(node_state& node, double at)
    {
        decisions::outlier_limits limits;
        limits.ejection = std::chrono::seconds(2);
        limits.maxEjection = std::chrono::seconds(10);
        limits.ramp = std::chrono::seconds(3);
        node = {};
        node.repeats.emplace(m_limits, std::max(m_history.nodes, minNodes), timeOf(at));
        node.health = std::make_unique<decisions::server_health>(limits);
        node.health->setServers(service, m_ids);
    }

    void applyRestarts()
    {
        for (const silence_history::restart& restart : m_history.restarts) {
            if (restart.at < m_now || restart.at >= m_now + step)
                continue;
            for (const unsigned index : restart.nodes)
                kill(index, restart.down);
        }
    }

    void kill(unsigned index, double down)
    {
        for (auto& [number, stream] : m_streams) {
            if (stream.node != index || stream.isOver || stream.resumesAt >= 0)
                continue;
            // The end of its node is no matter of these rules.
            release(stream.first);
            release(stream.second);
            stream.isOver = true;
            --m_outcome.begun;
        }
        start(m_nodes[index], m_now);
        m_nodes[index].downUntil = m_now + down;
    }

    void advanceServers()
    {
        const double mean
            = std::max(1.0, m_history.streamsPerSecond * meanEvents * eventGap / m_history.servers);
        unsigned load = 0;
        for (unsigned i = 0; i < m_servers.size(); ++i) {
            server_state& server = m_servers[i];
            load += server.load;
            server.silentUntil = m_history.silentUntil(i, m_now);
            server.penalty = penaltyPerFailure * m_failures.countAt(m_ids[i], present());
            if (server.silentUntil > m_now)
                continue;
            server.progress += step * std::min(1.0, slotsPerMean * mean / std::max(1U, server.load));
        }
        const double present = load / static_cast<double>(m_servers.size());
        if (present < mean / 2)
            return;
        for (const server_state& server : m_servers) {
            if (server.silentUntil <= m_now)
                m_outcome.peakLoad = std::max(m_outcome.peakLoad, server.load / present);
        }
    }

    void begin()
    {
        stream_state stream;
        stream.urgency = static_cast<int>(m_random() % urgencies);
        if (draw() < m_history.repeatable)
            stream.maxAttempts = 2 + static_cast<unsigned>(m_random() % 2);
        stream.eventsLeft = 15 + static_cast<unsigned>(m_random() % 39);
        stream.deadlineAt = m_now + deadline;
        stream.lastEventAt = m_now;
        ++m_outcome.begun;
        enter(++m_lastNumber, stream);
        stream.lastServer = stream.first.server;
        m_streams.emplace_back(m_lastNumber, std::move(stream));
    }

    /// The stream's caller sends a request.
    void enter(std::uint64_t number, stream_state& stream)
    {
        stream.node = static_cast<unsigned>(m_random() % m_nodes.size());
        while (m_nodes[stream.node].downUntil > m_now)
            stream.node = static_cast<unsigned>(m_random() % m_nodes.size());
        stream.attempts = 0;
        stream.tried.clear();
        m_outcome.times.requests.push_back(m_now);
        m_nodes[stream.node].repeats->forwarded(present());
        send(number, stream, stream.first, *choose(stream, {}));
    }

    void send(std::uint64_t number, stream_state& stream, attempt_state& attempt, unsigned server)
    {
        attempt = { server, m_now, m_servers[server].progress + between(0.05, 0.6) };
        ++m_servers[server].load;
        ++stream.attempts;
        stream.tried.push_back(server);
        stream.lastDataAt = m_now;
        stream.hasEvents = false;
        stream.isDark = false;
        stream.retryLeftSince = -1;
        stream.checkAt = 0;
        m_nodes[stream.node].silence.requestSent(m_ids[server], number,
            decisions::silence_detector::limitFor(utils::fromSeconds(target), true), {}, present());
    }

    void release(attempt_state& attempt)
    {
        if (attempt.server != nowhere)
            --m_servers[attempt.server].load;
        attempt = {};
    }

    void endAttempt(std::uint64_t number, stream_state& stream, attempt_state& attempt, bool isFailure)
    {
        node_state& node = m_nodes[stream.node];
        const utils::server_id& id = m_ids[attempt.server];
        node.silence.requestEnded(id, number);
        if (isFailure)
            node.health->failed(service, id, present());
        m_failures.recordOutcome(service, id, isFailure, present());
        if (isFailure && m_history.silentUntil(attempt.server, m_now) < stream.deadlineAt)
            stream.couldGoOn = true;
        release(attempt);
    }

    void setStalled(std::uint64_t number, stream_state& stream, bool isStalled)
    {
        if (std::exchange(stream.isStalled, isStalled) == isStalled)
            return;
        node_state& node = m_nodes[stream.node];
        if (isStalled)
            node.stalls.stalled(service, number, stream.urgency, timeOf(stream.lastDataAt));
        else
            node.stalls.ended(number);
    }

    void advance(std::uint64_t number, stream_state& stream)
    {
        if (stream.isOver)
            return;
        if (stream.resumesAt >= 0) {
            if (m_now < stream.resumesAt)
                return;
            stream.resumesAt = -1;
            enter(number, stream);
        }
        if (m_now >= stream.deadlineAt) {
            expire(number, stream);
            return;
        }
        for (attempt_state* attempt : { &stream.first, &stream.second }) {
            if (!stream.isOver && attempt->server != nowhere
                && m_servers[attempt->server].progress >= attempt->nextEvent)
                takeEvent(number, stream, *attempt);
        }
        countTwoRuns(stream);
        if (!stream.isOver && m_now >= stream.checkAt)
            check(number, stream);
    }

    void expire(std::uint64_t number, stream_state& stream)
    {
        setStalled(number, stream, false);
        recordDarkWait(stream);
        ++(isDark(stream.first.server) ? m_outcome.expiredDark : m_outcome.expired);
        endStream(number, stream);
        m_outcome.misplaced += stream.couldGoOn ? 1 : 0;
    }

    void endStream(std::uint64_t number, stream_state& stream)
    {
        for (attempt_state* attempt : { &stream.first, &stream.second }) {
            if (attempt->server != nowhere)
                endAttempt(number, stream, *attempt, false);
        }
        m_outcome.late += stream.isLate ? 1 : 0;
        stream.isOver = true;
    }

    void takeEvent(std::uint64_t number, stream_state& stream, attempt_state& attempt)
    {
        if (stream.second.server != nowhere) {
            attempt_state& loser = &attempt == &stream.first ? stream.second : stream.first;
            endAttempt(number, stream, loser, &loser == &stream.first);
            if (&loser == &stream.first)
                stream.first = std::exchange(stream.second, {});
        }
        attempt_state& running = stream.first;
        node_state& node = m_nodes[stream.node];
        const utils::server_id& id = m_ids[running.server];
        node.silence.dataReceived(id, present());
        if (!std::exchange(stream.hasEvents, true))
            node.health->succeeded(service, id, utils::fromSeconds(m_now - running.sentAt), present());
        recordGap(stream);
        recordDarkWait(stream);
        stream.lastDataAt = m_now;
        stream.lastEventAt = m_now;
        stream.lastServer = running.server;
        running.nextEvent = std::max(running.nextEvent, m_servers[running.server].progress - step) + eventGap;
        if (--stream.eventsLeft > 0)
            return;
        ++m_outcome.whole;
        setStalled(number, stream, false);
        endStream(number, stream);
    }

    void recordGap(stream_state& stream)
    {
        if (m_now - stream.lastEventAt < lateAfter)
            return;
        ++m_outcome.waits;
        m_outcome.waited += m_now - stream.lastEventAt;
        double silent = 0;
        for (double time = stream.lastEventAt; time < m_now; time += step)
            silent += m_history.isSilent(stream.lastServer, time) ? step : 0;
        stream.isLate = stream.isLate || m_now - stream.lastEventAt > silent + lateAfter;
    }

    void recordDarkWait(stream_state& stream)
    {
        if (!std::exchange(stream.metDark, false))
            return;
        ++m_outcome.metDark;
        m_outcome.darkWait += m_now - stream.lastEventAt;
    }

    void countTwoRuns(stream_state& stream)
    {
        if (stream.second.server == nowhere)
            return;
        const double beside = m_now - stream.second.sentAt;
        if (beside > longestOverlap && beside <= longestOverlap + step)
            ++m_outcome.twoRuns;
    }

    /// Returns when the attempt has received no data for too long.
    double timeoutAt(const stream_state& stream) const
    {
        const node_state& node = m_nodes[stream.node];
        const utils::duration heard = node.silence.lastHeard(m_ids[stream.first.server]) - timeOf(0);
        const double serverHeard = std::max(stream.lastDataAt, utils::toSeconds(heard));
        const double serverLimit
            = utils::toSeconds(decisions::silence_detector::limitFor(utils::fromSeconds(target), true));
        const double limit = stream.hasEvents ? gapTimeout : firstTimeout;
        return std::min(stream.lastDataAt + limit, serverHeard + serverLimit);
    }

    void check(std::uint64_t number, stream_state& stream)
    {
        const double due = timeoutAt(stream);
        if (due > m_now) {
            setStalled(number, stream, false);
            stream.checkAt = due;
            return;
        }
        stream.checkAt = m_now + checkInterval;
        const bool mayReplace = stream.attempts < stream.maxAttempts && stream.second.server == nowhere;
        stream.metDark = stream.metDark || isDark(stream.first.server);
        if (mayReplace && isDark(stream.first.server) && !std::exchange(stream.isDark, true))
            ++m_outcome.dark;
        if (m_rule == silence_rule::EndFirst) {
            endThenRetry(number, stream);
            return;
        }
        if (m_rule == silence_rule::Stay || (mayReplace && secure(number, stream)))
            return;
        if (m_rule == silence_rule::ResumeAtOnce
            || (m_rule == silence_rule::ResumeLate && m_now - stream.lastDataAt >= lateResume))
            resume(number, stream);
    }

    void endThenRetry(std::uint64_t number, stream_state& stream)
    {
        if (stream.maxAttempts < 2)
            return;
        const attempt_state ended = stream.first;
        const bool mayGoOn = m_history.silentUntil(ended.server, m_now) < stream.deadlineAt;
        endAttempt(number, stream, stream.first, true);
        if (stream.attempts < stream.maxAttempts) {
            const auto server = choose(stream, {});
            if (server && m_nodes[stream.node].repeats->trySpend(present())) {
                countRetry(stream, ended.server);
                send(number, stream, stream.first, *server);
                return;
            }
        }
        recordDarkWait(stream);
        ++(mayGoOn ? m_outcome.cut : m_outcome.cutInVain);
        endStream(number, stream);
    }

    void countRetry(const stream_state& stream, unsigned replaced)
    {
        m_outcome.times.retries.push_back(m_now);
        m_outcome.darkMoved += stream.isDark ? 1 : 0;
        m_outcome.needless += m_servers[replaced].silentUntil <= m_now ? 1 : 0;
    }

    bool secure(std::uint64_t number, stream_state& stream)
    {
        node_state& node = m_nodes[stream.node];
        setStalled(number, stream, true);
        const double left = node.repeats->left(present());
        if (left < 1 || !node.stalls.mayRetry(number, left)) {
            stream.retryLeftSince = -1;
            return false;
        }
        if (stream.isDark && stream.retryLeftSince < 0)
            stream.retryLeftSince = m_now;
        const decisions::replacement_query query = querySilence(stream);
        std::optional<unsigned> server;
        if (mayMove(node, query))
            server = choose(stream, query);
        if (stream.retryLeftSince >= 0)
            m_outcome.unusedRetry = std::max(m_outcome.unusedRetry, m_now - stream.retryLeftSince);
        if (!server || !node.repeats->trySpend(present()))
            return false;
        setStalled(number, stream, false);
        countRetry(stream, stream.first.server);
        if (m_rule == silence_rule::Overlap) {
            send(number, stream, stream.second, *server);
        } else {
            endAttempt(number, stream, stream.first, true);
            send(number, stream, stream.first, *server);
        }
        return true;
    }

    bool mayMove(node_state& node, const decisions::replacement_query& query) const
    {
        if (m_rule == silence_rule::SecureUnlessMostSilent)
            return !areMostSilent(query);
        if (m_rule < silence_rule::SecureSettled)
            return true;
        if (areMostSilent(query))
            node.stalls.mostSilent(service, present());
        return !node.stalls.isSettling(service, present());
    }

    void resume(std::uint64_t number, stream_state& stream)
    {
        if (stream.resumptions >= maxResumptions)
            return;
        setStalled(number, stream, false);
        const bool mayGoOn = m_history.silentUntil(stream.first.server, m_now) < stream.deadlineAt;
        ++(mayGoOn ? m_outcome.cut : m_outcome.cutInVain);
        endAttempt(number, stream, stream.first, true);
        ++stream.resumptions;
        ++m_outcome.resumptions;
        stream.resumesAt = m_now + resumeDelay;
    }

    decisions::replacement_query querySilence(const stream_state& stream) const
    {
        const node_state& node = m_nodes[stream.node];
        decisions::replacement_query query;
        query.silentFor = utils::fromSeconds(m_now - stream.lastDataAt);
        for (unsigned other = 0; other < m_servers.size(); ++other) {
            if (other == stream.first.server)
                continue;
            decisions::replacement_query one { query.silentFor, {}, 0, 0 };
            one.quietFor = node.silence.quietFor(m_ids[other], present());
            if (one.quietFor)
                ++(isLikelyToRun(one) ? query.othersHeard : query.othersQuiet);
        }
        return query;
    }

    /// Returns the server for the stream's next attempt; `query`: it replaces one that is silent.
    std::optional<unsigned> choose(
        const stream_state& stream, const std::optional<decisions::replacement_query>& query)
    {
        if (query && m_rule >= silence_rule::Secure) {
            if (const auto known = chooseAmong(stream, query, true))
                return known;
        }
        return chooseAmong(stream, query, false);
    }

    /// Returns the least loaded server that may take the stream.
    std::optional<unsigned> chooseAmong(const stream_state& stream,
        const std::optional<decisions::replacement_query>& query, bool mustBeKnown)
    {
        const node_state& node = m_nodes[stream.node];
        std::optional<unsigned> fallback;
        for (const unsigned server : byLoad()) {
            if (std::ranges::find(stream.tried, server) != stream.tried.end())
                continue;
            if (query && m_rule != silence_rule::SecureAnywhere) {
                decisions::replacement_query one = *query;
                one.quietFor = node.silence.quietFor(m_ids[server], present());
                if (mustBeKnown ? !isKnownToRun(one) : !isLikelyToRun(one))
                    continue;
            }
            if (!fallback)
                fallback = server;
            const double weight = node.health->weight(service, m_ids[server], present());
            if (!node.silence.isSilent(m_ids[server], present()) && (weight >= 1 || draw() < weight))
                return server;
        }
        return fallback;
    }

    /// Returns the servers, the least loaded one first.
    std::vector<unsigned> byLoad()
    {
        std::vector<unsigned> servers(m_servers.size());
        std::iota(servers.begin(), servers.end(), 0U);
        const auto offset = static_cast<std::ptrdiff_t>(m_random() % servers.size());
        std::rotate(servers.begin(), servers.begin() + offset, servers.end());
        std::ranges::stable_sort(servers, {},
            [this](unsigned server) { return m_servers[server].load + m_servers[server].penalty; });
        return servers;
    }

    const silence_history& m_history;
    silence_rule m_rule;
    decisions::repeat_limits m_limits;
    std::mt19937_64 m_random;
    std::vector<utils::server_id> m_ids;
    std::vector<server_state> m_servers;
    std::vector<node_state> m_nodes;
    decisions::recent_failures m_failures; ///< nodes tell each other of failures
    std::vector<std::pair<std::uint64_t, stream_state>> m_streams; ///< by number
    std::uint64_t m_lastNumber = 0;
    silence_outcome m_outcome;
    double m_now = 0;
};

/// How many servers fall silent.
enum class silence_extent {
    One,
    Third,
    All,
    Dark,
    Count_
};

/// Draws a history of a fleet with that many nodes: a silence of that many servers alone or in series, beside
/// restarts of nodes or not. Dark: one server never goes on, beside a silence of a third or none.
inline silence_history drawSilenceHistory(std::uint64_t seed, unsigned nodes, silence_extent extent)
{
    std::mt19937_64 random(seed * 4 + static_cast<std::uint64_t>(extent));
    const auto between = [&random](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random);
    };
    silence_history history;
    history.nodes = nodes;
    history.seed = seed;
    static constexpr unsigned serversOfFew = 9;
    history.servers = std::max(serversOfFew, nodes < 100 ? nodes * 2 / 5 : nodes / 3);
    history.streamsPerSecond = nodes * between(1, 8);
    unsigned silent = extent == silence_extent::All ? history.servers : 1;
    if (extent == silence_extent::Third)
        silent = history.servers / 3;
    if (extent == silence_extent::Dark) {
        history.addSilence(between(6, 10), silence_history::forever, 1);
        silent = random() % 2 == 0 ? history.servers / 3 : 0;
    }
    const bool isSeries = random() % 2 == 0;
    const double begin = between(5, 9);
    const double lasts = isSeries ? between(0.5, 2.5) : between(0.5, 10);
    for (double at = begin; silent > 0 && at < history.length; at += isSeries ? 4 : history.length)
        history.addSilence(at, lasts, silent);
    if (random() % 2 == 0) {
        const double period = between(2, 6);
        for (double at = between(2, 6); at < history.length; at += period) {
            silence_history::restart restart;
            restart.at = at;
            for (unsigned node = 0; node < nodes; ++node) {
                if (random() % 5 == 0)
                    restart.nodes.push_back(node);
            }
            if (restart.nodes.size() < nodes)
                history.restarts.push_back(std::move(restart));
        }
    }
    return history;
}

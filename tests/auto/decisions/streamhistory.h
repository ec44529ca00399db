#pragma once

#include "decisions/originsearch.h"

#include "utils/hashing.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// What happens to a fleet, to the servers of its one service and to the callers' streams. Times are in
/// seconds.
struct stream_history {
    struct release {
        double at = 0;
        std::string version; ///< of the servers that start
        unsigned starts = 0; ///< servers, half a second apart
        unsigned leaves = 0; ///< of the oldest servers, half a second apart
    };
    struct kill {
        double at = 0;
        double share = 0; ///< of the nodes; 1: all
        double lasts = 0.3;
    };
    struct cut {
        double at = 0;
        double lasts = 1;
        double share = 0; ///< of the nodes
        bool fromStore = false;
        bool fromPeers = false;
    };
    /// All servers of a version leave at once.
    struct withdrawal {
        double at = 0;
        std::string version;
    };
    /// The store refuses a share of the nodes' writes.
    struct write_fault {
        double at = 0;
        double lasts = 1;
        double share = 1;
    };
    unsigned nodes = 7;
    unsigned servers = 9;
    bool isNewFleet = false; ///< nodes and store know nothing at the beginning
    double streamsPerSecond = 50;
    double length = 40;
    double breaksPerSecond = 0; ///< moments at which most open streams are reset
    double unnamed = 0; ///< share of the callers that do not name the request that began the stream
    std::vector<release> releases;
    std::vector<withdrawal> withdrawals;
    std::vector<kill> kills;
    std::vector<cut> cuts;
    std::vector<write_fault> writeFaults;
    std::uint64_t seed = 1;
};

/// What came of a history.
struct stream_outcome {
    unsigned begun = 0;
    unsigned mixed = 0; ///< streams that went on at a version that did not begin them
    unsigned resumed = 0; ///< taken up at nodes in touch while two servers of the version served
    unsigned wentOn = 0; ///< of these
    unsigned resumedAll = 0; ///< taken up anywhere
    unsigned wentOnAll = 0;
    std::uint64_t writes = 0; ///< of the record in the store
    std::uint64_t originWrites = 0; ///< of origins in the store
    std::uint64_t messages = 0; ///< between nodes

    /// Of the streams taken up in touch.
    double share() const { return resumed == 0 ? 1 : static_cast<double>(wentOn) / resumed; }
};

/// Plays a history with the decisions of the gateway, over a network that loses one message in a hundred.
class stream_player {
public:
    explicit stream_player(const stream_history& history)
        : m_history(history)
        , m_random(history.seed)
    {
        for (unsigned i = 0; i < history.servers; ++i)
            m_servers.push_back({ "v1", 0, forever });
        for (unsigned i = 0; i < history.nodes; ++i) {
            node_state node;
            node.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":1";
            node.dataCentre = "dc-" + std::to_string(i % 3);
            m_nodes.push_back(std::move(node));
        }
        if (!history.isNewFleet)
            m_record = { { { "engines", { "v1" } } }, 1 };
    }

    stream_outcome play()
    {
        for (m_now = 0; m_now < m_history.length; m_now += step) {
            moveServers();
            moveNodes();
            moveStreams();
        }
        return m_outcome;
    }

private:
    static constexpr double step = 0.05;
    static constexpr double forever = 1e9;
    static constexpr double start = 10; ///< a history begins in a fleet that has been there for a while
    static constexpr double contact = 3; ///< a node is in touch this long after its last fault
    static constexpr double drain = 2; ///< servers serve on after they have left
    static constexpr double patience = 8; ///< of callers whose stream broke off
    static constexpr double viewDelay = 0.25; ///< at most
    static constexpr double originInterval = 0.5;
    static constexpr double storedFor = 20;
    static constexpr double noticedAfter = 0.7;
    static constexpr double oneIn100 = 0.01;
    static constexpr unsigned mostTries = 3;

    struct server_state {
        std::string version;
        double from = 0;
        double until = forever; ///< of its entry
    };
    struct node_state {
        std::string address;
        std::string dataCentre;
        bool isUp = true;
        double upAt = 0;
        double diedAt = -forever;
        double faultUntil = -forever;
        double noStoreUntil = 0;
        double noPeersUntil = 0;
        double viewAt = 0; ///< its view shows the store as of then
        bool knewSeveral = false;
        std::vector<decisions::stream_origin> pending; ///< origins to be written to the store
        double nextWriteAt = 0;
        decisions::stream_origins origins;
        decisions::version_history versions;
    };
    struct stream_state {
        decisions::stream_key key = 0;
        std::string requestId;
        std::size_t server = 0;
        std::string begunAt; ///< version; empty before the first event
        std::size_t node = 0;
        double firstEventAt = 0;
        double endsAt = 0; ///< or the caller gives up then
        double rest = 0; ///< how long a stream that broke off would have lasted
        double resumesAt = forever; ///< the caller takes it up then
        unsigned tries = 0;
    };
    struct stored_origin {
        decisions::stream_origin origin;
        double at = 0;
    };
    struct recorded {
        decisions::service_versions versions;
        std::uint64_t revision = 0;
    };

    static utils::time_point timeOf(double seconds)
    {
        return utils::time_point() + utils::fromSeconds(start + seconds);
    }
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    std::size_t drawBelow(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }
    bool isLost() { return draw() < oneIn100; }
    bool isNow(double at) const { return at >= m_now && at < m_now + step; }

    void moveServers()
    {
        for (const stream_history::release& release : m_history.releases) {
            for (unsigned i = 0; i < release.starts; ++i) {
                if (isNow(release.at + 0.5 * i))
                    m_servers.push_back({ release.version, m_now, forever });
            }
            for (unsigned i = 0; i < release.leaves; ++i) {
                const auto oldest = std::ranges::find_if(
                    m_servers, [&](const server_state& server) { return server.until == forever; });
                if (isNow(release.at + 1 + 0.5 * i) && oldest != m_servers.end())
                    oldest->until = m_now;
            }
        }
        for (const stream_history::withdrawal& withdrawal : m_history.withdrawals) {
            for (server_state& server : m_servers) {
                if (isNow(withdrawal.at) && server.version == withdrawal.version && server.until == forever)
                    server.until = m_now;
            }
        }
    }

    void moveNodes()
    {
        for (const stream_history::kill& kill : m_history.kills) {
            if (isNow(kill.at))
                killShare(kill);
        }
        for (const stream_history::cut& cut : m_history.cuts) {
            if (isNow(cut.at))
                cutShare(cut);
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            node_state& node = m_nodes[i];
            if (!node.isUp && m_now >= node.upAt) {
                node.isUp = true;
                node.viewAt = m_now; // it reads the store
                for (const stored_origin& stored : m_storedOrigins)
                    node.origins.record(stored.origin, false, timeOf(m_now));
                refresh(node);
                greet(i);
            }
            if (!node.isUp || m_now < node.noStoreUntil)
                continue;
            if (m_now - node.viewAt >= viewDelay * draw()) {
                node.viewAt = m_now;
                refresh(node);
            }
        }
        if (m_now >= m_nextWriteAt)
            writeRecord();
        writeOrigins();
    }

    void writeOrigins()
    {
        std::erase_if(
            m_storedOrigins, [this](const stored_origin& stored) { return stored.at + storedFor <= m_now; });
        for (node_state& node : m_nodes) {
            if (!node.isUp || node.pending.empty() || m_now < node.nextWriteAt)
                continue;
            node.nextWriteAt = m_now + originInterval;
            if (!mayWrite(node))
                continue;
            for (const decisions::stream_origin& origin : node.pending)
                m_storedOrigins.push_back({ origin, m_now });
            node.pending.clear();
            ++m_outcome.originWrites;
        }
    }

    bool mayWrite(const node_state& node)
    {
        if (!node.isUp || m_now < node.noStoreUntil)
            return false;
        return std::ranges::none_of(m_history.writeFaults, [&](const stream_history::write_fault& fault) {
            return fault.at <= m_now && m_now < fault.at + fault.lasts && draw() < fault.share;
        });
    }

    void killShare(const stream_history::kill& kill)
    {
        std::vector<std::size_t> order(m_nodes.size());
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::ranges::shuffle(order, m_random);
        order.resize(static_cast<std::size_t>(std::lround(kill.share * static_cast<double>(order.size()))));
        for (const std::size_t index : order) {
            node_state& node = m_nodes[index];
            node.isUp = false;
            node.diedAt = m_now;
            node.upAt = m_now + kill.lasts;
            node.faultUntil = node.upAt;
            node.origins = {};
            node.versions = {};
            node.pending.clear();
            node.knewSeveral = false;
            breakStreams([index](const stream_state& stream) { return stream.node == index; });
        }
    }

    void cutShare(const stream_history::cut& cut)
    {
        for (node_state& node : m_nodes) {
            if (draw() >= cut.share)
                continue;
            node.faultUntil = std::max(node.faultUntil, m_now + cut.lasts);
            if (cut.fromStore)
                node.noStoreUntil = m_now + cut.lasts;
            if (cut.fromPeers)
                node.noPeersUntil = m_now + cut.lasts;
        }
    }

    void refresh(node_state& node)
    {
        decisions::service_versions present;
        for (const server_state& server : m_servers) {
            if (server.from <= m_now && m_now < server.until)
                present["engines"].insert(server.version);
        }
        if (!m_record.versions.empty())
            node.versions.applyRecord(m_record.versions, m_record.revision, timeOf(m_now));
        node.versions.observe(present, timeOf(m_now));
        const bool knowsSeveral = node.versions.mayHaveSeveral("engines", timeOf(m_now));
        if (knowsSeveral && !node.knewSeveral) {
            for (const auto& origin : node.origins.ownSince(std::chrono::seconds(20), timeOf(m_now))) {
                report(node, origin, std::nullopt);
                deposit(node, origin);
            }
        }
        node.knewSeveral = knowsSeveral;
    }

    /// One of the nodes that find the record out of date writes it, one a second.
    void writeRecord()
    {
        std::vector<const node_state*> writers;
        for (const node_state& node : m_nodes) {
            const bool isUp = node.isUp && m_now - node.upAt >= 1 && m_now >= node.noStoreUntil;
            if (isUp && node.versions.recordRevision() == m_record.revision
                && node.versions.missingRecord(timeOf(m_now)))
                writers.push_back(&node);
        }
        if (writers.empty())
            return;
        m_nextWriteAt = m_now + 1;
        const node_state& writer = *writers[drawBelow(writers.size())];
        if (!mayWrite(writer))
            return;
        m_record = { *writer.versions.missingRecord(timeOf(m_now)), m_record.revision + 1 };
        ++m_outcome.writes;
    }

    bool canTalk(const node_state& first, const node_state& second) const
    {
        return first.isUp && second.isUp && m_now >= first.noPeersUntil && m_now >= second.noPeersUntil;
    }

    std::vector<std::size_t> peersFor(const node_state& node, decisions::stream_key stream, std::size_t limit)
    {
        std::vector<decisions::holder_candidate> candidates;
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (&m_nodes[i] == &node)
                continue;
            candidates.push_back({ m_nodes[i].address, m_nodes[i].dataCentre });
            indices.push_back(i);
        }
        std::vector<std::size_t> peers;
        for (const std::size_t chosen : decisions::rankHolders(stream, candidates, limit))
            peers.push_back(indices[chosen]);
        return peers;
    }

    void report(
        const node_state& node, const decisions::stream_origin& origin, std::optional<std::size_t> only)
    {
        for (const std::size_t holder : peersFor(node, origin.stream, decisions::originHolders)) {
            if (only && holder != *only)
                continue;
            ++m_outcome.messages;
            if (canTalk(node, m_nodes[holder]) && !isLost())
                m_nodes[holder].origins.record(origin, false, timeOf(m_now));
        }
    }

    /// Has an origin written to the store by one of the nodes. That one has died is known after a while.
    void deposit(const node_state& node, const decisions::stream_origin& origin)
    {
        node_state* depositary = nullptr;
        for (node_state& other : m_nodes) {
            const bool isKnown
                = other.isUp ? m_now >= other.noStoreUntil : m_now < other.diedAt + noticedAfter;
            if (isKnown
                && (depositary == nullptr
                    || utils::hash64(other.address) < utils::hash64(depositary->address)))
                depositary = &other;
        }
        if (depositary == nullptr)
            return;
        if (depositary == &node || (canTalk(node, *depositary) && !isLost()))
            depositary->pending.push_back(origin);
    }

    /// The others hear that a node has started.
    void greet(std::size_t index)
    {
        for (const node_state& node : m_nodes) {
            if (&node == &m_nodes[index] || !node.knewSeveral || !canTalk(node, m_nodes[index]))
                continue;
            for (const auto& origin : node.origins.ownSince(std::chrono::seconds(20), timeOf(m_now)))
                report(node, origin, index);
        }
    }

    template <class Chosen> void breakStreams(Chosen isChosen)
    {
        for (stream_state& stream : m_streams) {
            if (stream.resumesAt != forever || stream.endsAt <= m_now || !isChosen(stream))
                continue;
            if (stream.begunAt.empty())
                stream.endsAt = 0; // the caller asks anew: another stream
            else
                waitToResume(stream);
        }
    }

    void waitToResume(stream_state& stream)
    {
        stream.rest = stream.endsAt - m_now;
        stream.endsAt = m_now + patience;
        stream.resumesAt = m_now + pause();
    }

    double pause() { return 0.02 + 0.3 * draw(); }

    void moveStreams()
    {
        double wanted = m_history.streamsPerSecond * step;
        for (; wanted >= 1 || draw() < wanted; wanted -= 1)
            begin();
        if (draw() < m_history.breaksPerSecond * step)
            breakStreams([this](const stream_state&) { return draw() < 0.8; });
        for (stream_state& stream : m_streams) {
            if (stream.endsAt <= m_now)
                continue;
            if (stream.resumesAt <= m_now)
                resume(stream);
            else if (stream.resumesAt == forever && stream.begunAt.empty() && stream.firstEventAt <= m_now)
                takeFirstEvent(stream);
        }
        breakStreams(
            [this](const stream_state& stream) { return m_servers[stream.server].until + drain <= m_now; });
        std::erase_if(m_streams, [this](const stream_state& stream) { return stream.endsAt <= m_now; });
    }

    std::vector<std::size_t> serversOf(const std::string& version) const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_servers[i].until == forever && (version.empty() || m_servers[i].version == version))
                found.push_back(i);
        }
        return found;
    }

    bool hasServer(decisions::version_key version) const
    {
        return std::ranges::any_of(m_servers, [&](const server_state& server) {
            return server.until == forever && decisions::versionKey(server.version) == version;
        });
    }

    /// A node that is up and serves callers.
    std::optional<std::size_t> drawNode()
    {
        for (unsigned tries = 0; tries < 50; ++tries) {
            const std::size_t index = drawBelow(m_nodes.size());
            if (m_nodes[index].isUp)
                return index;
        }
        return std::nullopt;
    }

    /// The servers at which a node begins streams. One that is cut off from the store knows the servers of
    /// before.
    std::vector<std::size_t> usableServers(const node_state& node, std::vector<std::size_t> servers) const
    {
        std::erase_if(servers, [&](std::size_t i) { return m_servers[i].from > node.viewAt; });
        const auto isRecorded
            = [&](std::size_t i) { return node.versions.isRecorded("engines", m_servers[i].version); };
        if (std::ranges::any_of(servers, isRecorded))
            std::erase_if(servers, [&](std::size_t i) { return !isRecorded(i); });
        return servers;
    }

    void begin()
    {
        const auto node = drawNode();
        const auto servers = serversOf({});
        if (!node || servers.empty())
            return;
        stream_state stream;
        stream.requestId = std::to_string(m_nextId++);
        stream.key = decisions::streamKey(stream.requestId, "team", "engines");
        stream.node = *node;
        const auto usable = usableServers(m_nodes[*node], servers);
        if (usable.empty())
            return;
        stream.server = usable[drawBelow(usable.size())];
        stream.firstEventAt = m_now + 0.05 + 0.4 * draw();
        stream.endsAt = stream.firstEventAt + 1 + 4 * draw();
        m_streams.push_back(std::move(stream));
    }

    void takeFirstEvent(stream_state& stream)
    {
        stream.begunAt = m_servers[stream.server].version;
        ++m_outcome.begun;
        record(stream, stream.begunAt);
    }

    void record(const stream_state& stream, const std::string& version)
    {
        node_state& node = m_nodes[stream.node];
        const decisions::stream_origin origin { stream.key, decisions::versionKey(version) };
        node.origins.record(origin, true, timeOf(m_now));
        if (!node.knewSeveral)
            return;
        report(node, origin, std::nullopt);
        deposit(node, origin);
    }

    decisions::found_origin find(const node_state& node, const decisions::origin_query& query)
    {
        if (const auto known = decisions::findHere(node.origins, node.versions, query, timeOf(m_now)))
            return *known;
        decisions::origin_answers answers;
        for (const std::size_t peer : peersFor(node, query.stream, decisions::askedHolders)) {
            m_outcome.messages += 2;
            if (!canTalk(node, m_nodes[peer]) || isLost() || isLost())
                continue;
            const auto held = m_nodes[peer].origins.find(query.stream, timeOf(m_now));
            answers.add(held ? held->version : 0, m_nodes[peer].versions.recordRevision());
        }
        return decisions::findByAnswers(node.versions, query, answers, timeOf(m_now));
    }

    void resume(stream_state& stream)
    {
        const auto index = drawNode();
        if (!index) {
            stream.resumesAt = m_now + pause();
            return;
        }
        stream.resumesAt = forever;
        if (++stream.tries > mostTries) {
            stream.endsAt = 0;
            return;
        }
        const node_state& node = m_nodes[*index];
        const bool isNamed = draw() >= m_history.unnamed;
        const decisions::origin_query query { isNamed ? stream.key : 0, isNamed, "engines",
            m_now - node.viewAt <= 0.5, m_nodes.size() == 1 };
        const decisions::found_origin found = find(node, query);
        const auto servers = serversOf(stream.begunAt);
        const bool isInTouch = node.faultUntil + contact <= m_now;
        const bool counts = isInTouch && isNamed && servers.size() >= 2;
        m_outcome.resumed += counts ? 1 : 0;
        ++m_outcome.resumedAll;
        const bool isMixed = found.version != 0 && found.version != decisions::versionKey(stream.begunAt);
        m_outcome.mixed += isMixed && hasServer(found.version) ? 1 : 0;
        if (found.version == 0 || isMixed || servers.empty()) {
            stream.endsAt = 0;
            return;
        }
        m_outcome.wentOn += counts ? 1 : 0;
        ++m_outcome.wentOnAll;
        stream.endsAt = m_now + stream.rest;
        stream.node = *index;
        stream.server = servers[drawBelow(servers.size())];
        if (isNamed)
            record(stream, stream.begunAt);
    }

    stream_history m_history;
    std::mt19937_64 m_random;
    double m_now = 0;
    std::vector<server_state> m_servers;
    std::vector<node_state> m_nodes;
    std::vector<stream_state> m_streams;
    recorded m_record;
    double m_nextWriteAt = 0;
    std::vector<stored_origin> m_storedOrigins;
    std::uint64_t m_nextId = 1;
    stream_outcome m_outcome;
};

/// A history by that seed: releases of two or three versions, kills of some, most or all nodes in series,
/// cuts, and resets of most connections.
inline stream_history drawHistory(std::uint64_t seed, unsigned nodes)
{
    std::mt19937_64 random(seed);
    const auto draw
        = [&](double from, double to) { return std::uniform_real_distribution<double>(from, to)(random); };
    stream_history history;
    history.seed = seed * 1000 + nodes;
    history.nodes = nodes;
    history.breaksPerSecond = draw(0, 0.3);
    const std::vector<std::string> versions { "v1.1", "v1.2" };
    for (std::size_t i = 0; i < versions.size(); ++i) {
        if (draw(0, 1) < 0.3)
            continue;
        const auto starts = static_cast<unsigned>(draw(2, 7));
        // Some releases replace all servers, others leave several versions.
        const unsigned leaves = draw(0, 1) < 0.3 ? history.servers : starts;
        history.releases.push_back(
            { draw(2, 14) + 14.0 * static_cast<double>(i), versions[i], starts, leaves });
    }
    const std::vector<double> shares { 0.2, 0.6, 0.9, 1 };
    const auto series = static_cast<unsigned>(draw(0, 3));
    for (unsigned i = 0; i < series; ++i) {
        const double share = shares[static_cast<std::size_t>(draw(0, 4))];
        const double gap = draw(1.5, 6);
        const double at = draw(3, 30);
        for (unsigned k = 0; k < static_cast<unsigned>(draw(1, 5)); ++k)
            history.kills.push_back({ at + gap * k, share, draw(0.2, 1) });
    }
    for (unsigned i = 0; i < static_cast<unsigned>(draw(0, 4)); ++i)
        history.cuts.push_back(
            { draw(2, 30), draw(1, 8), draw(0.1, 0.6), draw(0, 1) < 0.7, draw(0, 1) < 0.6 });
    return history;
}

/// A history by that seed in which the record cannot be relied on: a fleet that has just started or not, a
/// store that refuses some or all writes, versions that come and go, and kills of all nodes, close to it.
inline stream_history drawRecordHistory(std::uint64_t seed, unsigned nodes)
{
    std::mt19937_64 random(seed);
    const auto draw
        = [&](double from, double to) { return std::uniform_real_distribution<double>(from, to)(random); };
    stream_history history;
    history.seed = seed * 1000 + nodes + 7;
    history.nodes = nodes;
    history.isNewFleet = draw(0, 1) < 0.5;
    history.breaksPerSecond = draw(0, 0.2);
    history.unnamed = draw(0, 0.5);
    const std::vector<double> shares { 0.5, 0.8, 0.9, 1 };
    const auto drawShare = [&] { return shares[static_cast<std::size_t>(draw(0, 4))]; };
    if (draw(0, 1) < 0.3)
        history.writeFaults.push_back({ 0, 60, drawShare() });
    const auto changes = static_cast<unsigned>(draw(1, 4));
    for (unsigned i = 0; i < changes; ++i) {
        const double at = draw(0.5, 4) + 11.0 * i;
        const std::string version = "v" + std::to_string(i + 2);
        // Some versions come beside those that are there and leave again, others replace them.
        const bool isPassing = draw(0, 1) < 0.5;
        history.releases.push_back(
            { at, version, static_cast<unsigned>(draw(1, 14)), isPassing ? 0 : history.servers });
        const double killAt = at + draw(0.5, 7);
        history.withdrawals.push_back(
            { killAt + draw(-0.4, 0.4), isPassing ? version : "v" + std::to_string(i + 1) });
        history.kills.push_back({ killAt, draw(0, 1) < 0.8 ? 1 : 0.9, draw(0.2, 1.5) });
        if (draw(0, 1) < 0.5)
            history.kills.push_back({ killAt + draw(1.5, 3), 1, draw(0.2, 1) });
        if (draw(0, 1) < 0.6)
            history.writeFaults.push_back({ at - draw(0, 3), draw(1, 12), drawShare() });
    }
    return history;
}

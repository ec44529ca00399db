#include "homepolicy.h"

#include "decisions/cachetransfer.h"
#include "decisions/rampup.h"

#include <algorithm>
#include <string>
#include <utility>

namespace measure {

namespace {

// Bytes of the messages between routers: header with ids, key and MAC, then the body.
constexpr double datagramBytes = 28 + 40; ///< UDP and IP, our header
constexpr double entryBytes = 6; ///< server index, load, slots, age
constexpr std::size_t sharedLoads = 8; ///< loads that a request carries
constexpr double askBytes = 64 + (sharedLoads * entryBytes); ///< ahead of the request's own bytes
constexpr double answerBytes = 24;
constexpr double noteBytes = 48; ///< to the anchor: where the chat went
constexpr double reportBytes = 160; ///< one engine's load report, read by its home alone

/// Former anchors are asked for so long after a change of the servers: most chats return within it.
constexpr utils::duration formerAnchorLife = std::chrono::minutes(30);
constexpr unsigned lostEventsPercent = 20;
constexpr utils::duration eventLag = std::chrono::seconds(5);
constexpr std::uint64_t exportTokens = 1'500'000; ///< 50,000 tokens a second for half of the drain

} // namespace

home_policy::home_policy(engine_bench& bench, home_policy_settings settings)
    : m_bench(&bench)
    , m_settings(settings)
    , m_routers(bench.size().nodes)
{
    std::vector<utils::node_id> nodes;
    nodes.reserve(bench.size().nodes);
    for (unsigned i = 0; i < bench.size().nodes; ++i)
        nodes.emplace_back("node-" + std::to_string(i));
    m_servers.reserve(bench.engines().size());
    m_homes.reserve(bench.engines().size());
    const utils::time_point longAgo { -std::chrono::hours(1) };
    for (const auto& engine : bench.engines()) {
        m_index.emplace(engine.id, m_servers.size());
        m_servers.push_back({ engine.id, engineSlots, 1, engine.isUp ? 1.0 : 0.0, false });
        const auto home = decisions::rankHomes(engine.id, nodes, 1).front();
        m_homes.push_back({ home, decisions::home_ledger(nodes[home], engineSlots), {} });
        m_homes.back().ledger.claim({}, longAgo);
    }
    m_formerServers = m_servers;
    if (settings.hearsEvictions) {
        bench.onEvict([this](std::size_t engine, std::uint64_t chat) {
            if (m_random() % 100 >= lostEventsPercent)
                m_evictions.push_back({ {}, engine, chat });
        });
    }
}

void home_policy::arrive(std::size_t turn, utils::time_point now)
{
    const auto& request = m_bench->trace().turns[turn];
    const auto order
        = decisions::rankServers(request.chat, m_servers, decisions::walk_settings {}.maxCandidates + 2);
    std::vector<utils::server_id> ranking;
    ranking.reserve(order.size());
    for (const auto index : order)
        ranking.push_back(m_servers[index].id);
    if (m_settings.skipsLoaded)
        askLoadedLast(request.entryNode, ranking, now);
    std::optional<utils::server_id> former;
    if (m_settings.remembers && m_settings.asksFormerAnchor && m_changedAt
        && now - *m_changedAt < formerAnchorLife)
        former = m_servers[decisions::rankServers(request.chat, m_formerServers, 1).front()].id;
    walk(turn, decisions::candidate_walk(std::move(ranking), std::move(former)), now);
}

void home_policy::askLoadedLast(
    std::size_t node, std::vector<utils::server_id>& ranking, utils::time_point now)
{
    if (ranking.empty())
        return;
    const auto& view = m_routers[node].view;
    const double mean = view.mean(now).perSlot;
    std::stable_partition(ranking.begin() + 1, ranking.end(), [&](const auto& server) {
        const auto* entry = view.find(server);
        return !entry || entry->inFlight < mean * entry->slots;
    });
}

void home_policy::walk(std::size_t turn, decisions::candidate_walk walk, utils::time_point now)
{
    while (true) {
        const auto step = walk.next();
        if (const auto* home = std::get_if<decisions::ask_home>(&step)) {
            if (ask(turn, walk, *home, now))
                return;
        } else if (const auto* memory = std::get_if<decisions::ask_former_anchor>(&step)) {
            walk.onAnswer(lookUp(turn, memory->server, now));
        } else if (const auto* wait = std::get_if<decisions::queue_at>(&step)) {
            const auto& request = m_bench->trace().turns[turn];
            const auto rank = static_cast<std::size_t>(request.priority);
            if (tryAdmit(indexOf(wait->server), turn, wait->holdsCache, now)
                == decisions::admit_verdict::Admitted) {
                admitted(turn, walk, indexOf(wait->server), now);
                return;
            }
            const auto until = request.at + utils::fromSeconds(m_bench->load().maxWait.at(rank));
            auto& queue = m_homes[indexOf(wait->server)].queues.at(rank);
            queue.push_back({ turn, std::move(walk), until, wait->holdsCache, false });
            return;
        } else {
            m_bench->refuse(turn);
            return;
        }
    }
}

bool home_policy::ask(
    std::size_t turn, decisions::candidate_walk& walk, const decisions::ask_home& step, utils::time_point now)
{
    const auto& request = m_bench->trace().turns[turn];
    const auto engine = indexOf(step.server);
    auto& home = m_homes[engine];
    ++m_asks;
    const bool isOwn = home.node == request.entryNode;
    if (!isOwn) {
        m_bench->countControl(home.node, askBytes + answerBytes, 2);
        m_bench->countControl(request.entryNode, askBytes + answerBytes, 2);
    }
    decisions::home_answer answer { decisions::admit_verdict::OverBound, std::nullopt, home.ledger.load(now),
        home.ledger.weight() };
    bool holdsCache = step.holdsCache;
    std::uint32_t prefixTokens = step.prefixTokens;
    if (step.isAnchor && m_settings.remembers) {
        answer.remembered = m_routers[home.node].memory.find(request.chat, now);
        if (answer.remembered) {
            holdsCache = answer.remembered->server == step.server;
            prefixTokens = answer.remembered->prefixTokens;
        }
    }
    const bool isRedirect
        = answer.remembered && !holdsCache && m_servers[indexOf(answer.remembered->server)].health > 0;
    if (isRedirect || (step.onlyIfRemembered && !answer.remembered)) {
        walk.onAnswer(answer);
        return false;
    }
    answer.verdict = tryAdmit(engine, turn, holdsCache, now);
    if (answer.verdict == decisions::admit_verdict::Admitted) {
        walk.onAnswer(answer);
        admitted(turn, walk, engine, now);
        return true;
    }
    const auto rank = static_cast<std::size_t>(request.priority);
    const auto longest = utils::fromSeconds(m_bench->load().reuseWait.at(rank));
    const auto patience = decisions::maxCacheWait(prefixTokens, longest, {},
        request.priority == decisions::priority_class::Draft ? m_settings.draftWaitWorth : 1);
    if (m_settings.waitsForCache && holdsCache && patience > utils::duration::zero()) {
        home.queues.at(rank).push_back({ turn, walk, now + patience, true, true });
        return true;
    }
    if (m_settings.sharesLoads)
        m_routers[request.entryNode].view.merge({ step.server, answer.load, answer.slots, now });
    walk.onAnswer(answer);
    return false;
}

decisions::home_answer home_policy::lookUp(
    std::size_t turn, const utils::server_id& anchor, utils::time_point now)
{
    const auto& request = m_bench->trace().turns[turn];
    const auto node = m_homes[indexOf(anchor)].node;
    ++m_asks;
    m_bench->countControl(node, askBytes + answerBytes, 2);
    m_bench->countControl(request.entryNode, askBytes + answerBytes, 2);
    return { decisions::admit_verdict::OverBound, m_routers[node].memory.find(request.chat, now), 0, 1 };
}

decisions::admit_verdict home_policy::tryAdmit(
    std::size_t engine, std::size_t turn, bool holdsCache, utils::time_point now)
{
    auto& home = m_homes[engine];
    if (!m_bench->engines()[engine].takesNew())
        return decisions::admit_verdict::NotHolding;
    auto& view = m_routers[home.node].view;
    if (m_settings.sharesLoads) {
        // The request carries the loads that its walk has met, and those that its entry node met lately.
        for (const auto& entry : m_routers[m_bench->trace().turns[turn].entryNode].view.youngest(sharedLoads))
            view.merge(entry);
    }
    view.merge({ m_servers[engine].id, home.ledger.ownInFlight(), home.ledger.weight(), now });
    const auto nodes = m_bench->size().nodes;
    const auto mean = m_settings.usesLowestMean ? view.observe(now) : view.mean(now);
    const decisions::fleet_state fleet { mean, nodes, nodes, true };
    const auto verdict = home.ledger.admit(turn, holdsCache, bound(), fleet, now);
    if (verdict == decisions::admit_verdict::Admitted)
        publish(engine, now);
    return verdict;
}

void home_policy::admitted(
    std::size_t turn, const decisions::candidate_walk& walk, std::size_t engine, utils::time_point now)
{
    const auto& request = m_bench->trace().turns[turn];
    const auto& home = m_homes[engine];
    if (m_settings.sharesLoads)
        m_routers[request.entryNode].view.merge(
            { m_servers[engine].id, home.ledger.ownInFlight(), home.ledger.weight(), now });
    if (m_settings.remembers && walk.anchor()) {
        const auto anchorNode = m_homes[indexOf(*walk.anchor())].node;
        const auto tokens = request.promptTokens + request.outputTokens;
        m_routers[anchorNode].memory.remember(request.chat, { m_servers[engine].id, tokens }, now);
        if (anchorNode != home.node) {
            m_bench->countControl(anchorNode, noteBytes, 1);
            m_bench->countControl(home.node, noteBytes, 1);
        }
    }
    m_bench->dispatch(engine, turn, now);
}

void home_policy::finished(std::size_t engine, std::size_t turn, utils::time_point now)
{
    m_homes[engine].ledger.finish(turn, now);
    publish(engine, now);
    pump(engine, now);
}

void home_policy::pump(std::size_t engine, utils::time_point now)
{
    for (auto& queue : m_homes[engine].queues) {
        // Returning chats have the higher bound: a new one that has to wait does not hold them up.
        bool isFullForNew = false;
        for (auto it = queue.begin(); it != queue.end();) {
            if (isFullForNew && !it->holdsCache) {
                ++it;
                continue;
            }
            if (tryAdmit(engine, it->turn, it->holdsCache, now) == decisions::admit_verdict::Admitted) {
                const auto next = std::move(*it);
                it = queue.erase(it);
                admitted(next.turn, next.walk, engine, now);
                continue;
            }
            if (it->holdsCache)
                break;
            isFullForNew = true;
            ++it;
        }
    }
}

void home_policy::giveUpExpired(std::size_t engine, utils::time_point now)
{
    std::vector<waiting_turn> expired;
    for (auto& queue : m_homes[engine].queues) {
        for (auto it = queue.begin(); it != queue.end();) {
            if (it->until > now) {
                ++it;
                continue;
            }
            expired.push_back(std::move(*it));
            it = queue.erase(it);
        }
    }
    const auto& ledger = m_homes[engine].ledger;
    for (auto& late : expired) {
        if (!late.isPatience) {
            m_bench->refuse(late.turn);
            continue;
        }
        late.walk.onAnswer(
            { decisions::admit_verdict::OverBound, std::nullopt, ledger.load(now), ledger.weight() });
        walk(late.turn, std::move(late.walk), now);
    }
}

void home_policy::publish(std::size_t engine, utils::time_point now)
{
    const auto& home = m_homes[engine];
    m_routers[home.node].view.merge(
        { m_servers[engine].id, home.ledger.ownInFlight(), home.ledger.weight(), now });
}

void home_policy::changed(const engine_event& event, utils::time_point now)
{
    const auto engine = event.engine;
    auto& server = m_servers[engine];
    m_formerServers = m_servers;
    for (auto& former : m_formerServers)
        former.rampUp = 1;
    m_changedAt = now;
    const bool isBack = event.kind == engine_event_kind::Join || event.kind == engine_event_kind::Return;
    server.health = m_bench->engines()[engine].isUp ? 1 : 0;
    server.isLeaving = m_bench->engines()[engine].isLeaving;
    rampUp(now);
    if (event.kind == engine_event_kind::Leave && m_settings.exportsCache)
        exportCache(engine, now);
    for (auto& router : m_routers) {
        if (!isBack)
            router.view.remove(server.id);
        if (event.kind == engine_event_kind::Crash || event.kind == engine_event_kind::Gone)
            router.memory.forgetServer(server.id);
    }
    if (isBack)
        return;
    auto queues = std::exchange(m_homes[engine].queues, {});
    for (auto& queue : queues) {
        for (auto& waiting : queue)
            arrive(waiting.turn, now);
    }
}

void home_policy::exportCache(std::size_t engine, utils::time_point now)
{
    constexpr std::size_t most = 2000;
    const auto hottest = m_bench->cacheOf(engine).hottest(most);
    for (const auto& move : decisions::planExports(hottest, m_servers, { .tokens = exportTokens })) {
        const auto target = indexOf(move.to);
        m_bench->cacheOf(target).import(move.chat, move.tokens);
        m_routers[m_homes[target].node].memory.remember(move.chat, { move.to, move.tokens }, now);
    }
}

void home_policy::rampUp(utils::time_point now)
{
    double poolSlots = 0;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        m_servers[i].rampUp = decisions::rampUpWeight(m_bench->engines()[i].joinedAt, now);
        m_homes[i].ledger.setCapacity(engineSlots, m_servers[i].rampUp);
        poolSlots += m_bench->engines()[i].takesNew() ? m_homes[i].ledger.weight() : 0;
    }
    for (auto& router : m_routers)
        router.view.setPoolSlots(poolSlots);
}

void home_policy::tick(utils::time_point now)
{
    for (std::size_t engine = 0; engine < m_homes.size(); ++engine) {
        pump(engine, now);
        giveUpExpired(engine, now);
    }
}

void home_policy::second(utils::time_point now)
{
    rampUp(now);
    for (std::size_t engine = 0; engine < m_homes.size(); ++engine) {
        if (!m_bench->engines()[engine].takesNew())
            continue;
        auto& home = m_homes[engine];
        home.ledger.onServerReport({ home.lastReport, now - std::chrono::seconds(1) }, now);
        home.lastReport = m_bench->engines()[engine].inFlight;
        m_bench->countControl(home.node, reportBytes, 2);
        publish(engine, now);
    }
    gossip(now);
    deliverEvictions(now);
}

void home_policy::gossip(utils::time_point)
{
    const auto nodes = m_routers.size();
    const double bytes = datagramBytes
        + (entryBytes * static_cast<double>(std::min(m_settings.digestEntries, m_servers.size())));
    for (std::size_t node = 0; node < nodes; ++node) {
        const auto peer = (node + 1 + (m_random() % (nodes - 1))) % nodes;
        const auto probe = m_routers[node].view.youngest(m_settings.digestEntries);
        const auto answer = m_routers[peer].view.youngest(m_settings.digestEntries);
        for (const auto& entry : probe)
            m_routers[peer].view.merge(entry);
        for (const auto& entry : answer)
            m_routers[node].view.merge(entry);
        m_bench->countControl(node, 2 * bytes, 2);
        m_bench->countControl(peer, 2 * bytes, 2);
    }
}

void home_policy::deliverEvictions(utils::time_point now)
{
    for (auto& event : m_evictions) {
        if (event.at == utils::time_point {})
            event.at = now + eventLag;
    }
    while (!m_evictions.empty() && m_evictions.front().at <= now) {
        const auto event = m_evictions.front();
        m_evictions.pop_front();
        const auto order = decisions::rankServers(event.chat, m_servers, 1);
        if (order.empty())
            continue;
        const auto anchorNode = m_homes[order.front()].node;
        m_bench->countControl(m_homes[event.engine].node, noteBytes, 1);
        m_bench->countControl(anchorNode, noteBytes, 1);
        auto& memory = m_routers[anchorNode].memory;
        const auto record = memory.find(event.chat, now);
        if (record && record->server == m_servers[event.engine].id)
            memory.forget(event.chat);
    }
}

std::size_t home_policy::largestMemory() const
{
    std::size_t largest = 0;
    for (const auto& router : m_routers)
        largest = std::max(largest, router.memory.size());
    return largest;
}

decisions::load_bound home_policy::bound() const
{
    return { m_settings.bound > 0 ? m_settings.bound : m_bench->load().loadBound, m_settings.newChatShare };
}

} // namespace measure

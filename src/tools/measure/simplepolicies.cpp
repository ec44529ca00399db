#include "simplepolicies.h"

#include "decisions/loadbound.h"

#include <algorithm>

namespace measure {

namespace {

/// A load report read over an open connection: question, answer and their headers.
constexpr double reportBytes = 160;
constexpr double reportPackets = 2;

constexpr std::size_t longestWalk = 32;

} // namespace

simple_policy::simple_policy(engine_bench& bench)
    : m_bench(&bench)
{
    listOpen();
}

void simple_policy::changed(const engine_event&, utils::time_point)
{
    listOpen();
}

void simple_policy::listOpen()
{
    m_open.clear();
    for (std::size_t i = 0; i < m_bench->engines().size(); ++i) {
        if (m_bench->engines()[i].takesNew())
            m_open.push_back(i);
    }
}

void simple_policy::place(std::size_t turn, std::size_t engine, utils::time_point now)
{
    m_bench->dispatch(engine, turn, now);
}

bool simple_policy::refuseIfNone(std::size_t turn)
{
    if (m_open.empty())
        m_bench->refuse(turn);
    return m_open.empty();
}

void simple_policy::countReports()
{
    const auto engines = static_cast<double>(m_open.size());
    for (std::size_t node = 0; node < m_bench->size().nodes; ++node)
        m_bench->countControl(node, engines * reportBytes, engines * reportPackets);
}

std::vector<decisions::placement_server> simple_policy::servers() const
{
    std::vector<decisions::placement_server> list;
    for (const auto& engine : m_bench->engines()) {
        decisions::placement_server server;
        server.id = engine.id;
        server.slots = engineSlots;
        server.health = engine.isUp ? 1 : 0;
        server.isLeaving = engine.isLeaving;
        list.push_back(server);
    }
    return list;
}

void random_policy::arrive(std::size_t turn, utils::time_point now)
{
    if (!refuseIfNone(turn))
        place(turn, open()[random()() % open().size()], now);
}

round_robin_policy::round_robin_policy(engine_bench& bench)
    : simple_policy(bench)
    , m_next(bench.size().nodes)
{
    for (auto& next : m_next)
        next = random()();
}

void round_robin_policy::arrive(std::size_t turn, utils::time_point now)
{
    if (refuseIfNone(turn))
        return;
    auto& next = m_next[bench().trace().turns[turn].entryNode];
    place(turn, open()[++next % open().size()], now);
}

void least_loaded_policy::arrive(std::size_t turn, utils::time_point now)
{
    if (refuseIfNone(turn))
        return;
    const auto offset = random()() % open().size();
    std::size_t best = open()[offset];
    for (std::size_t i = 0; i < open().size(); ++i) {
        const auto candidate = open()[(i + offset) % open().size()];
        if (bench().engines()[candidate].reported < bench().engines()[best].reported)
            best = candidate;
    }
    place(turn, best, now);
}

void exact_least_policy::arrive(std::size_t turn, utils::time_point now)
{
    if (refuseIfNone(turn))
        return;
    std::size_t best = open().front();
    for (const auto candidate : open()) {
        if (bench().engines()[candidate].inFlight < bench().engines()[best].inFlight)
            best = candidate;
    }
    place(turn, best, now);
}

void two_choices_policy::arrive(std::size_t turn, utils::time_point now)
{
    if (refuseIfNone(turn))
        return;
    const auto first = open()[random()() % open().size()];
    const auto second = open()[random()() % open().size()];
    const bool isFirstBusier = bench().engines()[first].reported > bench().engines()[second].reported;
    place(turn, isFirstBusier ? second : first, now);
}

rendezvous_policy::rendezvous_policy(engine_bench& bench)
    : simple_policy(bench)
    , m_servers(servers())
{
}

void rendezvous_policy::changed(const engine_event& event, utils::time_point now)
{
    simple_policy::changed(event, now);
    m_servers = servers();
}

void rendezvous_policy::arrive(std::size_t turn, utils::time_point now)
{
    if (refuseIfNone(turn))
        return;
    place(turn, decisions::rankServers(bench().trace().turns[turn].chat, m_servers, 1).front(), now);
}

local_bound_policy::local_bound_policy(engine_bench& bench)
    : simple_policy(bench)
    , m_servers(servers())
    , m_counts(bench.size().nodes)
{
    for (auto& counts : m_counts)
        counts.byEngine.resize(m_servers.size());
}

void local_bound_policy::changed(const engine_event& event, utils::time_point now)
{
    simple_policy::changed(event, now);
    m_servers = servers();
}

void local_bound_policy::arrive(std::size_t turn, utils::time_point now)
{
    if (refuseIfNone(turn))
        return;
    const auto& request = bench().trace().turns[turn];
    auto& counts = m_counts[request.entryNode];
    const double slots = static_cast<double>(engineSlots * open().size());
    const decisions::mean_load mean { counts.total / slots, slots };
    const auto allowed = decisions::boundedLoad(bench().load().loadBound, engineSlots, mean);
    const auto ranking = decisions::rankServers(request.chat, m_servers, longestWalk);
    auto chosen = ranking.front();
    for (const auto engine : ranking) {
        if (counts.byEngine[engine] + 1 <= allowed) {
            chosen = engine;
            break;
        }
    }
    ++counts.byEngine[chosen];
    ++counts.total;
    place(turn, chosen, now);
}

void local_bound_policy::finished(std::size_t engine, std::size_t turn, utils::time_point)
{
    auto& counts = m_counts[bench().trace().turns[turn].entryNode];
    --counts.byEngine[engine];
    --counts.total;
}

} // namespace measure

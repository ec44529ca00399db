#include "enginebench.h"

#include <algorithm>
#include <string>

namespace measure {

engine_bench::engine_bench(const workload& load, const fleet_size& size, const placement_trace& trace)
    : m_load(load)
    , m_size(size)
    , m_trace(&trace)
    , m_engines(trace.engineCount)
    , m_control(size.nodes)
{
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        m_engines[i].id = utils::server_id("engine-" + std::to_string(i));
        m_engines[i].isUp = i < size.engines;
        m_engines[i].joinedAt = utils::time_point { -std::chrono::hours(1) };
        m_engines[i].cache.setCapacity(load.cacheTokens);
    }
}

void engine_bench::dispatch(std::size_t engine, std::size_t turn, utils::time_point now)
{
    auto& target = m_engines[engine];
    ++target.inFlight;
    m_engineOfTurn[turn] = engine;
    if (target.running < engineSlots)
        start(engine, turn, now);
    else
        target.waiting.push_back(turn);
}

void engine_bench::start(std::size_t engine, std::size_t turn, utils::time_point now)
{
    auto& target = m_engines[engine];
    const auto& request = m_trace->turns[turn];
    ++target.running;
    const auto cached = target.cache.reusable(request);
    auto& figures = figuresAt(request.at);
    figures.reusedTokens += cached;
    figures.waits.at(static_cast<std::size_t>(request.priority))
        .push_back(static_cast<float>(utils::toSeconds(now - request.at)));
    target.cache.store(request, [&](std::uint64_t chat) {
        if (m_onEvict)
            m_onEvict(engine, chat);
    });
    const double seconds = ((request.promptTokens - cached) / prefillTokensPerSecond)
        + (request.outputTokens * secondsPerOutputToken);
    m_finishes.push({ now + utils::fromSeconds(seconds), ++m_sequence, engine, turn, target.epoch });
}

void engine_bench::refuse(std::size_t turn)
{
    ++figuresAt(m_trace->turns[turn].at).refused;
}

void engine_bench::countControl(std::size_t node, double bytes, double packets)
{
    m_control[node].bytes += bytes;
    m_control[node].packets += packets;
}

void engine_bench::onEvict(std::function<void(std::size_t, std::uint64_t)> callback)
{
    m_onEvict = std::move(callback);
}

utils::time_point engine_bench::nextFinish() const
{
    return m_finishes.empty() ? utils::time_point::max() : m_finishes.top().at;
}

engine_bench::finished_turn engine_bench::takeFinish()
{
    const auto done = m_finishes.top();
    m_finishes.pop();
    auto& engine = m_engines[done.engine];
    --engine.inFlight;
    --engine.running;
    m_engineOfTurn.erase(done.turn);
    if (!engine.waiting.empty()) {
        const auto next = engine.waiting.front();
        engine.waiting.pop_front();
        start(done.engine, next, done.at);
    }
    dropStale();
    return { done.engine, done.turn };
}

void engine_bench::dropStale()
{
    while (!m_finishes.empty() && m_finishes.top().epoch != m_engines[m_finishes.top().engine].epoch)
        m_finishes.pop();
}

std::vector<std::size_t> engine_bench::apply(const engine_event& event)
{
    auto& engine = m_engines[event.engine];
    std::vector<std::size_t> cut;
    switch (event.kind) {
    case engine_event_kind::Leave:
        engine.isLeaving = true;
        break;
    case engine_event_kind::Join:
    case engine_event_kind::Return:
        engine.isUp = true;
        engine.joinedAt = event.at;
        break;
    case engine_event_kind::Gone:
    case engine_event_kind::Crash:
        for (const auto& [turn, where] : m_engineOfTurn) {
            if (where == event.engine)
                cut.push_back(turn);
        }
        std::ranges::sort(cut);
        for (const auto turn : cut)
            m_engineOfTurn.erase(turn);
        figuresAt(event.at).cut += cut.size();
        engine.isUp = false;
        engine.inFlight = 0;
        engine.running = 0;
        engine.waiting.clear();
        engine.cache.clear();
        ++engine.epoch;
        dropStale();
        break;
    }
    return cut;
}

void engine_bench::sample(utils::time_point now)
{
    std::vector<double> loads;
    for (auto& engine : m_engines) {
        engine.reported = engine.inFlight;
        if (engine.takesNew())
            loads.push_back(engine.inFlight);
    }
    double mean = 0;
    for (const double load : loads)
        mean += load / static_cast<double>(loads.size());
    if (loads.empty() || mean < leastMean)
        return;
    std::ranges::sort(loads);
    auto& figures = figuresAt(now);
    figures.maxOverMean.push_back(loads.back() / mean);
    figures.p99OverMean.push_back(loads[(loads.size() - 1) * 99 / 100] / mean);
}

phase_figures& engine_bench::figuresAt(utils::time_point when)
{
    const auto which = phaseAt(m_size.phases, utils::toSeconds(when.time_since_epoch()));
    return m_figures.at(static_cast<std::size_t>(which));
}

std::array<double, static_cast<std::size_t>(phase::Count_)> oracleReuse(
    const workload& load, const fleet_size& size, const placement_trace& trace)
{
    std::array<double, static_cast<std::size_t>(phase::Count_)> reused {};
    prefix_cache cache(load.cacheTokens * size.engines);
    auto event = trace.events.begin();
    for (const auto& turn : trace.turns) {
        for (; event != trace.events.end() && event->at <= turn.at; ++event) {
            const bool isGain
                = event->kind == engine_event_kind::Join || event->kind == engine_event_kind::Return;
            const bool isLoss
                = event->kind == engine_event_kind::Gone || event->kind == engine_event_kind::Crash;
            cache.setCapacity(cache.capacity()
                + (isGain        ? load.cacheTokens
                        : isLoss ? -load.cacheTokens
                                 : 0));
        }
        const auto which = phaseAt(size.phases, utils::toSeconds(turn.at.time_since_epoch()));
        reused.at(static_cast<std::size_t>(which)) += cache.reusable(turn);
        cache.store(turn);
    }
    return reused;
}

} // namespace measure

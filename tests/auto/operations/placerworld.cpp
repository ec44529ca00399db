#include "placerworld.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodeCount = 2;
constexpr unsigned faultPercent = 25;
constexpr unsigned stepCount = 25;

} // namespace

placer_world::placer_world(const utils::state_chart& chart, unsigned seed)
    : m_random(seed)
    , m_honoursFencing(seed % 2 == 0)
    , m_bench(chart, nodeCount, m_honoursFencing)
{
    m_bench.beforeEvent = [this](std::size_t node) { beforeEvent(node); };
    m_bench.afterEvent = [this](const std::string& step) { afterEvent(step); };
    m_bench.kv().fate = [this](const keyvalue::kv_transaction& transaction) {
        const bool isLeaseCall = transaction.onSuccess.empty();
        if (m_forcedKv != kv_fate::Answered || m_isQuiet || isLeaseCall || draw(100) >= faultPercent)
            return m_forcedKv;
        return static_cast<kv_fate>(draw(static_cast<unsigned>(kv_fate::Slow) + 1));
    };
    m_bench.orderFate = [this] {
        if (m_forcedOrder != order_fate::Answered || m_isQuiet || draw(100) >= faultPercent)
            return m_forcedOrder;
        return static_cast<order_fate>(draw(static_cast<unsigned>(order_fate::SlowToReach) + 1));
    };
    // Half of the late effects come within 30 ms after the 300 ms call timeout, where they race with the
    // retry.
    m_bench.kv().lateEffectDelay
        = [this] { return std::chrono::milliseconds(draw(2) == 0 ? 300 + draw(30) : 300 + draw(2000)); };
    setAllWanted();
}

void placer_world::setAllWanted()
{
    for (std::size_t node = 0; node < nodeCount; ++node)
        m_bench.setWanted(node, std::to_string(m_version), m_adapters);
}

std::vector<std::string> placer_world::play()
{
    for (unsigned i = 0; i < stepCount; ++i)
        step();
    settle();
    return broken();
}

void placer_world::step()
{
    const unsigned what = draw(20);
    const std::size_t node = draw(nodeCount);
    if (what < 3) {
        // Removing an adapter fetches no weights; a new version or adapter does.
        if (draw(2) == 0)
            m_adapters = m_adapters.empty() ? std::set<std::string> { "quotes" } : std::set<std::string>();
        else
            ++m_version;
        setAllWanted();
    } else if (what == 3)
        m_bench.nodes().pause(node);
    else if (what < 6)
        m_bench.nodes().resumeNewestFirst(node);
    else if (what == 6)
        m_bench.kill(node);
    else if (what == 7)
        m_bench.leave(node);
    else if (what == 8)
        m_bench.endLease(node);
    else
        m_bench.time().advance(std::chrono::milliseconds(draw(what < 14 ? 400 : 12000)));
    if (draw(3) == 0)
        m_bench.restart(node);
}

void placer_world::platform(kv_fate fate, utils::duration span)
{
    m_forcedKv = fate;
    m_bench.time().after(span, [this] { m_forcedKv = kv_fate::Answered; });
}

void placer_world::order(order_fate fate, utils::duration span)
{
    m_forcedOrder = fate;
    m_bench.time().after(span, [this] { m_forcedOrder = order_fate::Answered; });
}

void placer_world::inject(matrix_fault fault, std::size_t node)
{
    switch (fault) {
    case matrix_fault::HolderKilled:
        m_bench.kill(node);
        return m_bench.time().after(1s, [this, node] { m_bench.restart(node); });
    case matrix_fault::PauseThenResume:
        m_bench.nodes().pause(node);
        return m_bench.time().after(40s, [this, node] { m_bench.nodes().resumeNewestFirst(node); });
    case matrix_fault::CutRequest:
        platform(kv_fate::RequestLost, 2s);
        return order(order_fate::CutBefore, 10s);
    case matrix_fault::CutAnswer:
        platform(kv_fate::AnswerLost, 2s);
        return order(order_fate::CutAfter, 10s);
    case matrix_fault::LateOrReordered:
        platform(kv_fate::LateEffect, 2s);
        return order(order_fate::SlowToReach, 15s);
    case matrix_fault::AnswerOfWriteLost:
        return platform(kv_fate::AnswerLost, 50ms);
    case matrix_fault::PlatformDown:
        return platform(kv_fate::NotSent, 30s);
    case matrix_fault::PlatformSlow:
        return platform(kv_fate::Slow, 30s);
    case matrix_fault::LeaseLapsed:
        return m_bench.endLease(node);
    case matrix_fault::EngineFlaps:
    case matrix_fault::CrashingRequest:
        m_bench.engines().begin()->second.isUp = false;
        return m_bench.time().after(5s, [this] { m_bench.engines().begin()->second.isUp = true; });
    case matrix_fault::OperatorsRace:
        // The nodes have different revisions of the document for 5 s.
        return m_bench.time().after({}, [this] {
            for (std::size_t each = 0; each < nodeCount; ++each)
                m_bench.setWanted(each, std::to_string(++m_version), m_adapters);
            m_bench.time().after(5s, [this] { setAllWanted(); });
        });
    case matrix_fault::VmListsDisagree:
    case matrix_fault::TeamSurges:
    case matrix_fault::Count_:
        return;
    }
}

void placer_world::settle()
{
    m_isQuiet = true;
    m_bench.time().advance(60s);
    for (std::size_t node = 0; node < nodeCount; ++node) {
        m_bench.nodes().resume(node);
        // A node that has left or was killed restarts as a new process.
        if (m_bench.placer(node).isFinished())
            m_bench.kill(node);
        m_bench.restart(node);
    }
    ++m_version;
    setAllWanted();
    m_bench.time().advance(5min);
}

std::vector<std::string> placer_world::broken()
{
    std::vector<std::string> list;
    for (const auto& [server, engine] : m_bench.engines()) {
        if (engine.running.version != std::to_string(m_version))
            list.push_back(server.str() + " does not run what the document wants");
        if (m_honoursFencing && !std::ranges::is_sorted(engine.numbers))
            list.push_back(server.str() + " applied an order of a former holder");
    }
    return list;
}

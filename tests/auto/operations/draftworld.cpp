#include "draftworld.h"

using namespace std::chrono_literals;
using operations::draft_state;

namespace {

constexpr std::size_t nodeCount = 3;
constexpr unsigned faultPercent = 30;
constexpr unsigned stepCount = 30;

} // namespace

draft_world::draft_world(const utils::state_chart& chart, unsigned seed)
    : m_random(seed)
    , m_bench(chart, nodeCount)
{
    m_bench.teamLimit = 3;
    m_bench.settings.totalSlots = 12;
    m_bench.settings.maxProbes = 2;
    m_bench.settings.maxClaims = 3;
    // Shorter than the defaults to shorten each run; the matrix has about 20,000 runs.
    m_bench.settings.restMost = 8s;
    m_bench.settings.retryMost = 4s;
    m_bench.beforeEvent = [this](std::size_t node, const std::string&) { beforeEvent(node); };
    m_bench.afterEvent = [this](const std::string& step) { afterEvent(step); };
    drawFates();
}

void draft_world::drawFates()
{
    // Often takes effect just after the write's outcome was reported as unknown, so that it races with the
    // retry.
    m_bench.kv().lateEffectDelay
        = [this] { return std::chrono::milliseconds(draw(2) == 0 ? 300 + draw(30) : 300 + draw(2000)); };
    m_bench.kv().fate = [this](const keyvalue::kv_transaction& transaction) {
        const bool isLeaseCall = transaction.onSuccess.empty();
        if (m_forcedKv != kv_fate::Answered || m_isQuiet || isLeaseCall || draw(100) >= faultPercent)
            return m_forcedKv;
        return static_cast<kv_fate>(draw(static_cast<unsigned>(kv_fate::Slow) + 1));
    };
    m_bench.engineFate = [this](const auto&) {
        if (m_forcedEngine != engine_fate::Answered || m_isQuiet || draw(100) >= faultPercent)
            return m_forcedEngine;
        return static_cast<engine_fate>(draw(static_cast<unsigned>(engine_fate::Rejected) + 1));
    };
}

std::vector<std::string> draft_world::play()
{
    m_bench.time().advance(1s);
    for (unsigned i = 0; i < stepCount; ++i)
        step();
    settle();
    return broken();
}

void draft_world::step()
{
    const unsigned what = draw(20);
    const std::size_t node = draw(nodeCount);
    if (what == 19 && draw(4) == 0)
        sendRefused(node);
    else if (what < 6) {
        // One after the other: the order in which arguments are evaluated differs between platforms.
        const std::string team = "team-" + std::to_string(draw(2));
        const std::string draft = "draft-" + std::to_string(draw(6));
        m_bench.send(draft, node, team);
    } else if (what == 6)
        m_bench.nodes().pause(node);
    else if (what == 7)
        m_bench.nodes().resumeNewestFirst(node);
    else if (what == 8)
        m_bench.leave(node);
    else if (what == 9)
        m_bench.kill(node);
    else if (what == 10 && !m_bench.sendings().empty()) {
        const auto index = draw(static_cast<unsigned>(m_bench.sendings().size()));
        m_bench.cancel(m_bench.sendings()[index].id.value_or("0-none"));
    } else
        m_bench.time().advance(std::chrono::milliseconds(draw(what == 11 ? 8000 : 1500)));
    if (draw(4) == 0)
        m_bench.restart(node);
}

/// Sends a draft that is refused: its body is too large or its calling team has no quota.
void draft_world::sendRefused(std::size_t node)
{
    const std::size_t maxBody = m_bench.settings.maxBody;
    const unsigned teamLimit = m_bench.teamLimit;
    if (draw(2) == 0)
        m_bench.settings.maxBody = 1;
    else
        m_bench.teamLimit = 0;
    m_bench.send("refused", node);
    m_bench.settings.maxBody = maxBody;
    m_bench.teamLimit = teamLimit;
}

void draft_world::forcePlatformFate(kv_fate fate, utils::duration span)
{
    m_forcedKv = fate;
    m_bench.time().after(span, [this] { m_forcedKv = kv_fate::Answered; });
}

void draft_world::forceEngineFate(engine_fate fate, utils::duration span)
{
    m_forcedEngine = fate;
    m_bench.time().after(span, [this] { m_forcedEngine = engine_fate::Answered; });
}

void draft_world::inject(matrix_fault fault, std::size_t node)
{
    switch (fault) {
    case matrix_fault::HolderKilled:
        m_bench.kill(node);
        return m_bench.time().after(1s, [this, node] { m_bench.restart(node); });
    case matrix_fault::PauseThenResume:
        m_bench.nodes().pause(node);
        return m_bench.time().after(8s, [this, node] { m_bench.nodes().resumeNewestFirst(node); });
    case matrix_fault::CutRequest:
        forcePlatformFate(kv_fate::RequestLost, 1s);
        return forceEngineFate(engine_fate::Cut, 4s);
    case matrix_fault::CutAnswer:
        forcePlatformFate(kv_fate::AnswerLost, 1s);
        return forceEngineFate(engine_fate::Cut, 4s);
    case matrix_fault::LateOrReordered:
        return forcePlatformFate(kv_fate::LateEffect, 1s);
    case matrix_fault::AnswerOfWriteLost:
        return forcePlatformFate(kv_fate::AnswerLost, 50ms);
    case matrix_fault::PlatformDown:
        return forcePlatformFate(kv_fate::NotSent, 12s);
    case matrix_fault::PlatformSlow:
        return forcePlatformFate(kv_fate::Slow, 12s);
    case matrix_fault::LeaseLapsed:
        return m_bench.endLease(node);
    case matrix_fault::VmListsDisagree:
        m_bench.membersSeenBy
            = [](std::size_t at) { return std::vector { utils::node_id("node-" + std::to_string(at)) }; };
        return m_bench.time().after(10s, [this] { m_bench.membersSeenBy = nullptr; });
    case matrix_fault::EngineFlaps:
        return forceEngineFate(engine_fate::NotRun, 10s);
    case matrix_fault::TeamSurges:
        return m_bench.time().after({}, [this, node] {
            for (int i = 0; i < 20; ++i)
                m_bench.send("surge-" + std::to_string(i), node, "surging");
        });
    case matrix_fault::OperatorsRace:
        return forceEngineFate(engine_fate::Rejected, 4s);
    case matrix_fault::CrashingRequest:
        return forceEngineFate(engine_fate::Cut, 20s);
    case matrix_fault::Count_:
        return;
    }
}

void draft_world::settle()
{
    m_isQuiet = true;
    m_bench.time().advance(25s);
    for (std::size_t node = 0; node < nodeCount; ++node) {
        m_bench.nodes().resume(node);
        m_bench.restart(node);
    }
    m_bench.time().advance(60s);
}

std::vector<std::string> draft_world::broken()
{
    std::vector<std::string> list;
    const auto expect = [&list](bool holds, const std::string& promise) {
        if (!holds)
            list.push_back(promise);
    };
    expect(m_bench.workers() == 0, "a worker never ends");
    for (const draft_sending& s : m_bench.sendings()) {
        expect(s.finalAnswers == (s.isConnectionLost ? 0U : 1U), s.name + ": not one final answer");
        if (!s.id)
            continue;
        const auto slot = operations::slotOfDraft(*s.id);
        const keyvalue::kv_entry* entry = m_bench.kv().find(operations::draftKey(slot.value_or(0)));
        const auto record = entry == nullptr ? std::nullopt : operations::decodeDraftRecord(entry->value);
        expect(record.has_value() && record->id == *s.id, s.name + ": vanished");
        if (!record)
            continue;
        expect(record->state != draft_state::Waiting, s.name + ": has no final answer");
        expect(record->state != draft_state::Done || record->answer->body == "answer to summarise " + s.name,
            s.name + ": another's answer");
        expect(record->crashes <= m_bench.settings.maxCrashes, s.name + ": crashed too many servers");
    }
    return list;
}

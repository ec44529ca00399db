#include "paymentworld.h"

using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodeCount = 3;
constexpr unsigned faultPercent = 30;
constexpr unsigned stepCount = 40;

} // namespace

payment_world::payment_world(const utils::state_chart& chart, unsigned seed)
    : m_random(seed)
    , m_bench(chart, nodeCount)
{
    m_bench.beforeEvent
        = [this](std::size_t sendingIndex) { beforeEvent(m_bench.sendings()[sendingIndex].node); };
    m_bench.afterEvent = [this](const std::string& step) { afterEvent(step); };
    drawFates();
}

void payment_world::drawFates()
{
    // Half of the late effects come within 30 ms after the 300 ms call timeout, where they race with the
    // retry.
    m_bench.kv().lateEffectDelay
        = [this] { return std::chrono::milliseconds(draw(2) == 0 ? 300 + draw(30) : 300 + draw(2000)); };
    m_bench.kv().fate = [this](const auto&) {
        if (m_forcedKv != kv_fate::Answered || m_isQuiet || draw(100) >= faultPercent)
            return m_forcedKv;
        return static_cast<kv_fate>(draw(static_cast<unsigned>(kv_fate::Slow) + 1));
    };
    m_bench.serviceFate = [this](std::size_t) {
        if (m_forcedService != service_fate::Answered || m_isQuiet || draw(100) >= faultPercent)
            return m_forcedService;
        return static_cast<service_fate>(draw(static_cast<unsigned>(service_fate::SlowToReach) + 1));
    };
    m_bench.gate = [this](std::size_t) -> std::optional<utils::failure> {
        if (!m_isRevoked && (m_isQuiet || draw(10) > 0))
            return std::nullopt;
        return utils::failure { utils::error_kind::NotApproved, {}, {}, {} };
    };
}

std::vector<std::string> payment_world::play()
{
    for (unsigned i = 0; i < stepCount; ++i)
        step();
    settle();
    return broken();
}

void payment_world::step()
{
    const unsigned what = draw(20);
    const std::size_t node = draw(nodeCount);
    if (what < 6) {
        // One after the other: the order in which arguments are evaluated differs between platforms.
        const std::string amount = draw(12) == 0 ? "99.00 EUR" : "10.00 EUR";
        const std::string order = "order-" + std::to_string(draw(3));
        m_bench.send(order, node, amount);
    } else if (what == 6)
        m_bench.nodes().pause(node);
    else if (what == 7)
        m_bench.nodes().resumeNewestFirst(node);
    else if (what == 8 && !m_bench.sendings().empty())
        m_bench.callerGone(draw(static_cast<unsigned>(m_bench.sendings().size())));
    else if (what == 9)
        m_bench.kill(node);
    else
        m_bench.time().advance(std::chrono::milliseconds(draw(what == 10 ? 20000 : 400)));
    if (draw(4) == 0)
        m_bench.nodes().restart(node);
}

void payment_world::endFaultAfter(utils::duration span, const std::function<void()>& end)
{
    m_bench.time().after(span, end);
}

void payment_world::inject(matrix_fault fault, std::size_t node)
{
    const auto platform = [this](kv_fate fate, utils::duration span) {
        m_forcedKv = fate;
        endFaultAfter(span, [this] { m_forcedKv = kv_fate::Answered; });
    };
    const auto service = [this](service_fate fate, utils::duration span) {
        m_forcedService = fate;
        endFaultAfter(span, [this] { m_forcedService = service_fate::Answered; });
    };
    switch (fault) {
    case matrix_fault::HolderKilled:
        m_bench.kill(node);
        return endFaultAfter(1s, [this, node] { m_bench.nodes().restart(node); });
    case matrix_fault::PauseThenResume:
        m_bench.nodes().pause(node);
        return endFaultAfter(5s, [this, node] { m_bench.nodes().resumeNewestFirst(node); });
    case matrix_fault::CutRequest:
        platform(kv_fate::RequestLost, 1s);
        return service(service_fate::CutBefore, 1s);
    case matrix_fault::CutAnswer:
        platform(kv_fate::AnswerLost, 1s);
        return service(service_fate::CutAfter, 1s);
    case matrix_fault::LateOrReordered:
        platform(kv_fate::LateEffect, 1s);
        return service(service_fate::LateAnswer, 1s);
    case matrix_fault::AnswerOfWriteLost:
        return platform(kv_fate::AnswerLost, 50ms);
    case matrix_fault::PlatformDown:
        return platform(kv_fate::NotSent, 10s);
    case matrix_fault::PlatformSlow:
        return platform(kv_fate::Slow, 10s);
    case matrix_fault::EngineFlaps:
        return service(service_fate::NotReached, 3s);
    case matrix_fault::CrashingRequest:
        return service(service_fate::CutAfter, 20s);
    case matrix_fault::VmListsDisagree:
    case matrix_fault::TeamSurges:
        // Several nodes that each consider themselves responsible, or a surge of other payments through this
        // node.
        m_bench.time().after({}, [this, node, fault] {
            for (std::size_t i = 0; i < 12; ++i) {
                const bool isSurge = fault == matrix_fault::TeamSurges;
                m_bench.send(
                    "order-" + std::to_string(isSurge ? 100 + i : i % 3), isSurge ? node : i % nodeCount);
            }
        });
        return;
    case matrix_fault::OperatorsRace:
        m_isRevoked = true;
        return endFaultAfter(2s, [this] { m_isRevoked = false; });
    case matrix_fault::LeaseLapsed:
    case matrix_fault::Count_:
        return;
    }
}

void payment_world::settle()
{
    m_isQuiet = true;
    m_bench.time().advance(25s);
    m_forcedKv = kv_fate::Answered;
    m_forcedService = service_fate::Answered;
    m_isRevoked = false;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        m_bench.nodes().resume(node);
        m_bench.nodes().restart(node);
    }
    m_bench.time().advance(3min);
}

std::vector<std::string> payment_world::broken()
{
    std::vector<std::string> list;
    const auto expect = [&list](bool holds, const std::string& promise) {
        if (!holds)
            list.push_back(promise);
    };
    for (std::size_t index = 0; index < m_bench.sendings().size(); ++index) {
        const sending& s = m_bench.sendings()[index];
        expect(m_bench.ledger(s.key) <= 1, s.key + " ran more than once");
        expect(s.finalAnswers == (s.isConnectionLost ? 0U : 1U), s.key + ": wrong number of final answers");
        expect(!s.saysNotRun() || m_bench.ledgerOf(index) == 0, s.key + ": not_run, but it ran");
        expect(
            !s.answer || s.answer->body == "receipt " + s.key, s.key + ": got the answer of another payment");
        const operations::operation* machine = m_bench.machine(index);
        expect(machine == nullptr || machine->isFinished(), s.key + ": the state machine did not finish");
    }
    return list;
}

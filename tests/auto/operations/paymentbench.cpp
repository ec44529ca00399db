#include "paymentbench.h"

#include "utils/crypto.h"

#include <variant>

namespace {

utils::failure cutFailure(utils::error_kind kind)
{
    return { kind, "connection cut by the fake service", {}, {} };
}

} // namespace

payment_bench::payment_bench(const utils::state_chart& chart, std::size_t nodes)
    : m_chart(chart)
    , m_nodes(nodes)
{
}

std::size_t payment_bench::send(const std::string& key, std::size_t node, const std::string& body)
{
    const std::size_t index = m_sendings.size();
    sending& s = m_sendings.emplace_back();
    s.key = key;
    s.node = node;
    s.nonce = "nonce-" + std::to_string(index);
    if (!m_nodes.isUp(node)) {
        s.isConnectionLost = true;
        return index;
    }
    operations::operation_request request;
    request.team = utils::team_id("imprenta");
    request.idempotencyKey = key;
    request.bodyDigest = utils::sha256Hex(body);
    request.nonce = s.nonce;
    request.node = utils::node_id("node-" + std::to_string(node));
    request.boot = m_nodes.boot(node);
    request.wallSeconds = std::chrono::floor<std::chrono::seconds>(m_time.now().time_since_epoch()).count();
    request.runTimeout = runTimeout;
    m_machines[index] = std::make_unique<operations::operation>(m_chart, settings, request);
    deliverEvent(
        index, m_nodes.boot(node), [this](operations::operation& o) { return o.start(m_time.now()); });
    return index;
}

void payment_bench::deliverEvent(std::size_t sendingIndex, std::uint64_t boot, const machine_call& call)
{
    const std::size_t node = m_sendings[sendingIndex].node;
    m_nodes.deliver(node, boot, [this, sendingIndex, node, boot, call] {
        beforeEvent(sendingIndex);
        // beforeEvent may have paused or killed the node.
        m_nodes.deliver(node, boot, [this, sendingIndex, boot, call] {
            operations::operation& machine = *m_machines.at(sendingIndex);
            const std::string before = machine.state();
            const operations::operation_actions actions = call(machine);
            afterEvent(before + ' ' + machine.lastEvent());
            for (const operations::operation_action& action : actions)
                perform(sendingIndex, boot, action);
        });
    });
}

void payment_bench::perform(
    std::size_t sendingIndex, std::uint64_t boot, const operations::operation_action& action)
{
    sending& s = m_sendings[sendingIndex];
    if (const auto* kv = std::get_if<operations::kv_transact>(&action))
        return performKv(sendingIndex, boot, *kv);
    if (std::holds_alternative<operations::reach_server>(action))
        return performReach(sendingIndex, boot);
    if (std::holds_alternative<operations::send_request>(action))
        return performSend(sendingIndex, boot);
    if (const auto* timer = std::get_if<operations::set_timer>(&action)) {
        m_time.after(timer->at - m_time.now(), [this, sendingIndex, boot] {
            deliverEvent(
                sendingIndex, boot, [this](operations::operation& o) { return o.onTimer(m_time.now()); });
        });
        return;
    }
    if (s.isConnectionLost)
        return;
    ++s.finalAnswers;
    s.runsAtAnswer = ledgerOf(sendingIndex);
    if (const auto* answer = std::get_if<operations::answer_caller>(&action))
        s.answer = answer->answer;
    else
        s.failure = std::get<operations::refuse_caller>(action).failure;
}

void payment_bench::performKv(
    std::size_t sendingIndex, std::uint64_t boot, const operations::kv_transact& action)
{
    m_kv.call(action.transaction, [this, sendingIndex, boot, ticket = action.ticket](const auto& reply) {
        deliverEvent(sendingIndex, boot, [this, ticket, reply](operations::operation& o) {
            return o.onKvReply(ticket, reply, m_time.now());
        });
    });
}

void payment_bench::performReach(std::size_t sendingIndex, std::uint64_t boot)
{
    const service_fate fate = serviceFate(sendingIndex);
    m_fates[sendingIndex] = fate;
    const utils::duration delay = fate == service_fate::SlowToReach ? slowReach : networkDelay;
    m_time.after(delay, [this, sendingIndex, boot, fate] {
        deliverEvent(sendingIndex, boot, [this, sendingIndex, fate](operations::operation& o) {
            if (fate == service_fate::NotReached)
                return o.serverNotReached(cutFailure(utils::error_kind::NoServer), m_time.now());
            return o.readyToSend(gate(m_sendings[sendingIndex].node), m_time.now());
        });
    });
}

void payment_bench::performSend(std::size_t sendingIndex, std::uint64_t boot)
{
    const service_fate fate = m_fates[sendingIndex];
    if (fate != service_fate::CutBefore)
        m_time.after(networkDelay, [this, sendingIndex] { run(sendingIndex); });
    const bool isCut = fate == service_fate::CutBefore || fate == service_fate::CutAfter;
    if (!isCut) {
        const utils::duration delay = fate == service_fate::LateAnswer ? runTimeout * 2 : runTime;
        m_time.after(delay, [this, sendingIndex, boot] {
            deliverEvent(sendingIndex, boot, [this, sendingIndex](operations::operation& o) {
                return o.serverAnswered({ 201, {}, "receipt " + m_sendings[sendingIndex].key }, m_time.now());
            });
        });
    }
    const auto kind = isCut ? utils::error_kind::ServerFailed : utils::error_kind::ServerTimeout;
    m_time.after(isCut ? runTime : runTimeout, [this, sendingIndex, boot, kind] {
        deliverEvent(sendingIndex, boot,
            [this, kind](operations::operation& o) { return o.serverCut(cutFailure(kind), m_time.now()); });
    });
}

void payment_bench::run(std::size_t sendingIndex)
{
    ++m_ledger[m_sendings[sendingIndex].key];
    ++m_ledgerOfSending[sendingIndex];
}

void payment_bench::kill(std::size_t node)
{
    m_nodes.kill(node);
    for (std::size_t index = 0; index < m_sendings.size(); ++index) {
        sending& s = m_sendings[index];
        if (s.node != node)
            continue;
        m_machines.erase(index);
        s.isConnectionLost = s.isConnectionLost || s.finalAnswers == 0;
    }
}

void payment_bench::callerGone(std::size_t sendingIndex)
{
    sending& s = m_sendings[sendingIndex];
    if (s.finalAnswers > 0 || s.isConnectionLost)
        return;
    s.isConnectionLost = true;
    deliverEvent(sendingIndex, m_nodes.boot(s.node),
        [this](operations::operation& o) { return o.callerGone(m_time.now()); });
}

const operations::operation* payment_bench::machine(std::size_t sendingIndex) const
{
    const auto found = m_machines.find(sendingIndex);
    return found == m_machines.end() ? nullptr : found->second.get();
}

unsigned payment_bench::ledger(const std::string& key) const
{
    const auto found = m_ledger.find(key);
    return found == m_ledger.end() ? 0 : found->second;
}

unsigned payment_bench::ledgerOf(std::size_t sendingIndex) const
{
    const auto found = m_ledgerOfSending.find(sendingIndex);
    return found == m_ledgerOfSending.end() ? 0 : found->second;
}

#include "placerbench.h"

#include <algorithm>
#include <utility>
#include <variant>

placer_bench::placer_bench(const utils::state_chart& chart, std::size_t nodes, bool honoursFencing,
    const std::vector<std::string>& models)
    : m_chart(chart)
    , m_models(models)
    , m_nodes(nodes)
    , m_honoursFencing(honoursFencing)
    , m_placers(nodes)
{
    for (const char* name : { "engine-1", "engine-2", "engine-3" })
        m_engines[utils::server_id(name)].running = { "none", "0", {}, operations::engine_role::Mixed };
    for (std::size_t node = 0; node < nodes; ++node)
        startNode(node);
}

void placer_bench::startNode(std::size_t node)
{
    placer_state& state = m_placers[node];
    const std::string nonce = "placer-" + std::to_string(node) + "-" + std::to_string(m_nodes.boot(node));
    const operations::placer_identity identity { m_models[node % m_models.size()], nonce, m_honoursFencing,
        static_cast<unsigned>(node) };
    state.machine = std::make_unique<operations::model_placer>(m_chart, settings, identity);
    state.lease = m_kv.grantLease(leaseTime);
    state.leaseEnd = m_time.now() + leaseTime;
    deliverEvent(node, [this, node](operations::model_placer& p) {
        return p.wantedChanged(m_placers[node].wanted, m_revision, m_time.now());
    });
    deliverEvent(node, [this, node](operations::model_placer& p) {
        return p.start(m_placers[node].lease, m_placers[node].leaseEnd, m_time.now());
    });
    tickNode(node);
}

void placer_bench::restart(std::size_t node)
{
    if (m_nodes.isUp(node))
        return;
    m_nodes.restart(node);
    startNode(node);
}

void placer_bench::tickNode(std::size_t node)
{
    m_nodes.deliver(node, m_nodes.boot(node), [this, node] {
        placer_state& state = m_placers[node];
        // The process of a node that has left ends, and its lease is no longer kept alive.
        if (state.machine->isFinished())
            return m_nodes.kill(node);
        const utils::time_point end = m_time.now() + leaseTime;
        if (m_time.now() >= state.leaseEnd) {
            deliverEvent(node, [this](operations::model_placer& p) { return p.leaseLost(m_time.now()); });
            if (m_kv.fate({}) == kv_fate::Answered) {
                state.lease = m_kv.grantLease(leaseTime);
                state.leaseEnd = end;
                state.machine->leaseGranted(state.lease, end);
            }
        } else if (m_kv.keepLease(state.lease)) {
            state.leaseEnd = end;
            state.machine->leaseKept(end);
        }
        m_time.after(tick, [this, node, boot = m_nodes.boot(node)] {
            if (m_nodes.boot(node) == boot)
                tickNode(node);
        });
    });
}

void placer_bench::setWanted(
    std::size_t node, const std::string& version, const std::set<std::string>& adapters)
{
    operations::engine_setups wanted;
    for (const auto& [server, engine] : m_engines)
        wanted[server] = { "thesis-summary", version, adapters, operations::engine_role::Mixed };
    m_placers[node].wanted = wanted;
    ++m_revision;
    deliverEvent(node, [this, wanted, revision = m_revision](operations::model_placer& p) {
        return p.wantedChanged(wanted, revision, m_time.now());
    });
}

void placer_bench::deliverEvent(std::size_t node, const machine_call& call)
{
    const std::uint64_t boot = m_nodes.boot(node);
    m_nodes.deliver(node, boot, [this, node, boot, call] {
        beforeEvent(node);
        // beforeEvent may have paused or killed the node.
        m_nodes.deliver(node, boot, [this, node, call] {
            operations::model_placer& machine = *m_placers[node].machine;
            const std::string before = machine.state();
            const operations::placer_actions actions = call(machine);
            afterEvent(before + ' ' + machine.lastEvent());
            for (const operations::placer_action& action : actions)
                perform(node, action);
        });
    });
}

void placer_bench::perform(std::size_t node, const operations::placer_action& action)
{
    if (const auto* kv = std::get_if<operations::kv_transact>(&action)) {
        m_kv.call(kv->transaction, [this, node, ticket = kv->ticket](const keyvalue::kv_reply& reply) {
            deliverEvent(node, [this, ticket, reply](operations::model_placer& p) {
                return p.onKvReply(ticket, reply, m_time.now());
            });
        });
    } else if (const auto* timer = std::get_if<operations::set_timer>(&action)) {
        const std::uint64_t number = ++m_placers[node].timers;
        m_time.after(timer->at - m_time.now(), [this, node, number] {
            if (m_placers[node].timers == number)
                deliverEvent(node, [this](operations::model_placer& p) { return p.onTimer(m_time.now()); });
        });
    } else if (std::holds_alternative<operations::read_engines>(action)) {
        read(node);
    } else if (const auto* lease = std::get_if<operations::grant_lease>(&action)) {
        const bool isUp = m_kv.fate({}) == kv_fate::Answered;
        const std::int64_t granted = isUp ? m_kv.grantLease(std::chrono::seconds(lease->seconds)) : 0;
        m_time.after(fake_kv::delay, [this, node, granted] {
            deliverEvent(node, [this, granted](operations::model_placer& p) {
                return p.permitLease(granted, m_time.now());
            });
        });
    } else {
        order(node, std::get<operations::send_order>(action).order);
    }
}

void placer_bench::read(std::size_t node)
{
    m_time.after(engineDelay, [this, node] {
        operations::engine_setups running;
        for (const auto& [server, engine] : m_engines) {
            if (engine.isUp)
                running[server] = engine.running;
        }
        deliverEvent(node,
            [this, running](operations::model_placer& p) { return p.enginesRead(running, m_time.now()); });
    });
}

void placer_bench::order(std::size_t node, const operations::engine_order& order)
{
    const order_fate fate = orderFate();
    const utils::duration reach = fate == order_fate::SlowToReach ? slowReach : engineDelay;
    m_time.after(reach, [this, node, order, fate] {
        deliverEvent(
            node, [this, node, order, fate](operations::model_placer& p) -> operations::placer_actions {
                if (!p.maySend(m_time.now()))
                    return p.orderFailed(m_time.now());
                m_time.after(engineDelay, [this, node, order, fate] {
                    const bool isCut = fate == order_fate::CutBefore || fate == order_fate::CutAfter;
                    const bool isDone = fate != order_fate::CutBefore && carryOut(order);
                    deliverEvent(node, [this, isCut, isDone](operations::model_placer& q) {
                        if (isCut)
                            return q.orderFailed(m_time.now());
                        return isDone ? q.orderDone(m_time.now()) : q.orderRefused(m_time.now());
                    });
                });
                return {};
            });
    });
}

bool placer_bench::carryOut(const operations::engine_order& order)
{
    fake_engine& engine = m_engines.at(order.server);
    if (!engine.isUp || (m_honoursFencing && order.fencingNumber < engine.highestNumber))
        return false;
    engine.highestNumber = std::max(engine.highestNumber, order.fencingNumber);
    engine.running = order.wanted;
    engine.numbers.push_back(order.fencingNumber);
    engine.times.push_back(m_time.now());
    return true;
}

void placer_bench::kill(std::size_t node)
{
    m_nodes.kill(node);
}

void placer_bench::leave(std::size_t node)
{
    deliverEvent(node, [this](operations::model_placer& p) { return p.leave(m_time.now()); });
}

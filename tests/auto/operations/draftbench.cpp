#include "draftbench.h"

#include <variant>

namespace {

utils::node_id nameOf(std::size_t node)
{
    return utils::node_id("node-" + std::to_string(node));
}

std::string bodyOf(const std::string& name)
{
    return "summarise " + name;
}

} // namespace

draft_bench::draft_bench(const utils::state_chart& chart, std::size_t nodes)
    : m_chart(chart)
    , m_nodes(nodes)
    , m_workers(nodes)
{
    for (std::size_t node = 0; node < nodes; ++node)
        startNode(node);
}

void draft_bench::startNode(std::size_t node)
{
    m_workers[node] = {};
    m_workers[node].scanner = operations::draft_scanner(nameOf(node));
    tickNode(node, m_nodes.boot(node));
}

void draft_bench::tickNode(std::size_t node, std::uint64_t boot)
{
    m_nodes.deliver(node, boot, [this, node, boot] {
        keepLease(node);
        scan(node);
        m_time.after(tick, [this, node, boot] { tickNode(node, boot); });
    });
}

void draft_bench::keepLease(std::size_t node)
{
    worker_state& worker = m_workers[node];
    if (worker.lease != 0 && m_time.now() >= worker.leaseEnd) {
        worker.lease = 0;
        deliverEventToAll(node, [this](operations::draft& d) { return d.claimLost(m_time.now()); });
    }
    if (worker.lease != 0 && m_kv.keepLease(worker.lease))
        worker.leaseEnd = m_time.now() + leaseTime;
    if (worker.lease == 0 && m_kv.fate({}) == kv_fate::Answered) {
        worker.lease = m_kv.grantLease(leaseTime);
        worker.leaseEnd = m_time.now() + leaseTime;
    }
}

void draft_bench::scan(std::size_t node)
{
    worker_state& worker = m_workers[node];
    std::erase_if(worker.drafts, [](const auto& item) { return item.second.machine->isFinished(); });
    if (worker.lease == 0 || worker.drafts.size() >= room)
        return;
    const std::uint64_t boot = m_nodes.boot(node);
    const std::vector<utils::node_id> members = membersSeenBy ? membersSeenBy(node) : liveNodes();
    for (const operations::scan_shard& due : worker.scanner.dueScans(members, m_time.now())) {
        m_kv.call(due.transaction, [this, node, boot](const keyvalue::kv_reply& reply) {
            m_nodes.deliver(node, boot, [this, node, boot, reply] {
                worker_state& at = m_workers[node];
                std::set<unsigned> running;
                for (const auto& [id, draft] : at.drafts)
                    running.insert(draft.machine->slot());
                const std::size_t free = room - std::min(room, at.drafts.size());
                for (const unsigned slot : operations::draft_scanner::adoptable(reply, running, free)) {
                    deliverEvent(node, boot, addMachine(node),
                        [this, slot](operations::draft& d) { return d.adopt(slot, m_time.now()); });
                }
            });
        });
    }
}

std::uint64_t draft_bench::addMachine(std::size_t node)
{
    worker_state& worker = m_workers[node];
    operations::draft_worker_identity identity;
    identity.nonce = "worker-" + std::to_string(++m_lastId);
    identity.sessionLease = worker.lease;
    identity.answerLease = m_kv.grantLease(answerTime);
    worker.drafts[m_lastId].machine = std::make_unique<operations::draft>(m_chart, settings, identity);
    return m_lastId;
}

std::size_t draft_bench::send(const std::string& name, std::size_t node, const std::string& team)
{
    const std::size_t index = m_sendings.size();
    draft_sending& s = m_sendings.emplace_back();
    s.name = name;
    s.node = node;
    if (!m_nodes.isUp(node)) {
        s.isConnectionLost = true;
        return index;
    }
    operations::draft_request request;
    request.team = utils::team_id(team);
    request.teamLimit = teamLimit;
    request.model = "thesis-summary";
    request.body = bodyOf(name);
    request.name = operations::draftName(request.team, name);
    const std::uint64_t boot = m_nodes.boot(node);
    m_nodes.deliver(node, boot, [this, index, node, boot, request] {
        const std::uint64_t id = addMachine(node);
        m_workers[node].drafts[id].sending = index;
        m_sendings[index].nonce = "worker-" + std::to_string(id);
        const bool hasRoom = m_workers[node].drafts.size() <= room;
        deliverEvent(node, boot, id, [this, request, hasRoom](operations::draft& d) {
            return d.submit(request, hasRoom, m_time.now());
        });
    });
    return index;
}

void draft_bench::deliverEvent(
    std::size_t node, std::uint64_t boot, std::uint64_t id, const machine_call& call)
{
    m_nodes.deliver(node, boot, [this, node, boot, id, call] {
        const auto found = m_workers[node].drafts.find(id);
        if (found == m_workers[node].drafts.end())
            return;
        beforeEvent(node, found->second.machine->state());
        // The hook may have paused or killed the node.
        m_nodes.deliver(node, boot, [this, node, boot, id, call] {
            const auto again = m_workers[node].drafts.find(id);
            if (again == m_workers[node].drafts.end())
                return;
            operations::draft& machine = *again->second.machine;
            const std::string before = machine.state();
            const operations::draft_actions actions = call(machine);
            afterEvent(before + ' ' + machine.lastEvent());
            for (const operations::draft_action& action : actions)
                perform(node, boot, id, action);
        });
    });
}

void draft_bench::deliverEventToAll(std::size_t node, const machine_call& call)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, draft] : m_workers[node].drafts)
        ids.push_back(id);
    for (const std::uint64_t id : ids)
        deliverEvent(node, m_nodes.boot(node), id, call);
}

void draft_bench::perform(
    std::size_t node, std::uint64_t boot, std::uint64_t id, const operations::draft_action& action)
{
    running_draft& draft = m_workers[node].drafts.at(id);
    if (const auto* kv = std::get_if<operations::kv_transact>(&action)) {
        m_kv.call(kv->transaction, [this, node, boot, id, ticket = kv->ticket](const auto& reply) {
            deliverEvent(node, boot, id, [this, ticket, reply](operations::draft& d) {
                return d.onKvReply(ticket, reply, m_time.now());
            });
        });
    } else if (const auto* timer = std::get_if<operations::set_timer>(&action)) {
        const std::uint64_t number = ++draft.timers;
        m_time.after(timer->at - m_time.now(), [this, node, boot, id, number] {
            const auto found = m_workers[node].drafts.find(id);
            if (found != m_workers[node].drafts.end() && found->second.timers == number)
                deliverEvent(
                    node, boot, id, [this](operations::draft& d) { return d.onTimer(m_time.now()); });
        });
    } else if (const auto* started = std::get_if<operations::run_draft>(&action)) {
        run(node, boot, id, started->record);
    } else if (std::holds_alternative<operations::stop_draft>(action)) {
        ++draft.runs;
    } else if (draft.sending && !m_sendings[*draft.sending].isConnectionLost) {
        draft_sending& s = m_sendings[*draft.sending];
        ++s.finalAnswers;
        if (const auto* accepted = std::get_if<operations::accept_draft>(&action))
            s.id = accepted->id;
        else
            s.failure = std::get<operations::refuse_caller>(action).failure;
    }
}

void draft_bench::run(
    std::size_t node, std::uint64_t boot, std::uint64_t id, const operations::draft_record& record)
{
    ++m_runs[record.body];
    const engine_fate fate = engineFate(record);
    const std::uint64_t number = ++m_workers[node].drafts.at(id).runs;
    m_time.after(runTime, [this, node, boot, id, record, fate, number] {
        const auto found = m_workers[node].drafts.find(id);
        if (found == m_workers[node].drafts.end() || found->second.runs != number)
            return;
        deliverEvent(node, boot, id, [this, record, fate](operations::draft& d) {
            if (fate == engine_fate::NotRun)
                return d.notRun(m_time.now());
            if (fate == engine_fate::Cut)
                return d.crashed({ utils::error_kind::ServerFailed, "cut", {}, {} }, m_time.now());
            if (fate == engine_fate::Rejected)
                return d.rejected({ utils::error_kind::NotApproved, {}, {}, {} }, m_time.now());
            return d.answered({ 200, {}, "answer to " + record.body }, m_time.now());
        });
    });
}

void draft_bench::kill(std::size_t node)
{
    m_nodes.kill(node);
    m_workers[node].drafts.clear();
    for (draft_sending& s : m_sendings) {
        if (s.node == node && s.finalAnswers == 0)
            s.isConnectionLost = true;
    }
}

void draft_bench::restart(std::size_t node)
{
    if (m_nodes.isUp(node))
        return;
    m_nodes.restart(node);
    startNode(node);
}

void draft_bench::leave(std::size_t node)
{
    deliverEventToAll(node, [this](operations::draft& d) { return d.leave(m_time.now()); });
}

std::optional<operations::draft_record> draft_bench::poll(const std::string& id, const std::string& team)
{
    std::optional<operations::draft_record> found;
    const auto read = operations::draftRead(id);
    if (!read)
        return found;
    const auto record = operations::draftFromReply(m_kv.apply(*read), id, utils::team_id(team));
    if (record)
        found = *record;
    return found;
}

void draft_bench::cancel(const std::string& id)
{
    const auto slot = operations::slotOfDraft(id);
    const keyvalue::kv_entry* entry = m_kv.find(operations::draftKey(slot.value_or(0)));
    if (entry == nullptr)
        return;
    const auto record = operations::decodeDraftRecord(entry->value);
    if (record)
        m_kv.apply(operations::draftCancel(*entry, *record, m_kv.grantLease(answerTime)));
}

unsigned draft_bench::runs(const std::string& name) const
{
    const auto found = m_runs.find(bodyOf(name));
    return found == m_runs.end() ? 0 : found->second;
}

unsigned draft_bench::workers() const
{
    unsigned sum = 0;
    for (const worker_state& worker : m_workers) {
        for (const auto& [id, draft] : worker.drafts)
            sum += draft.machine->isFinished() ? 0 : 1;
    }
    return sum;
}

std::vector<utils::node_id> draft_bench::liveNodes() const
{
    std::vector<utils::node_id> names;
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (m_nodes.isUp(node))
            names.push_back(nameOf(node));
    }
    return names;
}

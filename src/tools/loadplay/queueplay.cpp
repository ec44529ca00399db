#include "queueplay.h"

#include "utils/hashing.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace loadplay {

namespace {

using decisions::priority_class;

constexpr std::size_t unbounded = 1'000'000;
constexpr unsigned mostCalls = 2;
constexpr unsigned mostDraftCalls = 1000;

decisions::fair_queue_limits limitsFor(const workload& load, const play_safeguards& safeguards)
{
    decisions::fair_queue_limits limits;
    limits.slots = load.slots;
    limits.isFair = safeguards.isFair;
    limits.hasPriorityClasses = safeguards.isClassed;
    limits.shedsLoad = safeguards.sheds;
    if (!safeguards.sheds)
        limits.maxEntries = unbounded;
    return limits;
}

} // namespace

queue_play::queue_play(const workload& load, const play_safeguards& safeguards)
    : m_load(&load)
    , m_safeguards(safeguards)
{
    std::vector<utils::server_id> names;
    for (std::size_t server = 0; server < load.servers; ++server) {
        m_queues.emplace_back(limitsFor(load, safeguards));
        names.push_back(serverName(server));
    }
    m_ejector.setServers(names);
    m_callers.reserve(load.requests.size());
    for (const play_request& request : load.requests) {
        const std::size_t who = m_callers.size();
        caller added;
        added.request = &request;
        m_callers.push_back(added);
        m_loop.plan(request.at, [this, who] { call(who); });
    }
}

play_outcome queue_play::run()
{
    for (const caller& each : m_callers) {
        ++outcomeOf(each).offered;
        m_outcome.byTeam[each.request->team].offeredWork += utils::toSeconds(each.request->work);
    }
    m_loop.run(utils::time_point {} + std::chrono::hours(100));
    return m_outcome;
}

utils::server_id queue_play::serverName(std::size_t server) const
{
    return utils::server_id("server" + std::to_string(server));
}

class_outcome& queue_play::outcomeOf(const caller& of)
{
    return m_outcome.byClass.at(static_cast<std::size_t>(of.request->priority));
}

void queue_play::call(std::size_t who)
{
    caller& self = m_callers[who];
    self.calledAt = m_loop.now();
    const unsigned number = ++self.calls;
    decisions::refusal reason;
    const std::size_t first = chooseServer(std::nullopt);
    bool isSent = send(who, first, reason);
    if (!isSent && m_safeguards.sheds && m_load->servers > 1)
        isSent = send(who, chooseServer(first), reason);
    if (!isSent) {
        refuse(who, reason);
        return;
    }
    if (self.isDone || self.calls != number)
        return;
    m_loop.plan(m_loop.now() + self.request->patience, [this, who, number] { giveUp(who, number); });
    planHedge(who);
}

void queue_play::giveUp(std::size_t who, unsigned callNumber)
{
    caller& self = m_callers[who];
    if (self.isDone || self.calls != callNumber || self.attempts.empty())
        return;
    self.isDone = true;
    ++outcomeOf(self).gaveUp;
    for (const decisions::entry_id id : self.attempts) {
        const attempt& each = m_attempts.at(id);
        if (!each.startedAt)
            continue;
        m_outcome.wastedWork += utils::toSeconds(m_loop.now() - *each.startedAt);
        m_ejector.failed(serverName(each.server), m_loop.now());
    }
    dropAttempts(who);
}

void queue_play::refuse(std::size_t who, const decisions::refusal& reason)
{
    caller& self = m_callers[who];
    const bool isDraft = self.request->priority == priority_class::Draft;
    outcomeOf(self).refusedAfter.push_back(utils::toSeconds(m_loop.now() - self.calledAt));
    if (self.calls < (isDraft ? mostDraftCalls : mostCalls)) {
        m_loop.plan(m_loop.now() + reason.retryAfter, [this, who] { call(who); });
        return;
    }
    self.isDone = true;
    ++outcomeOf(self).refused;
}

bool queue_play::send(std::size_t who, std::size_t server, decisions::refusal& reason)
{
    caller& self = m_callers[who];
    decisions::queue_entry entry;
    entry.id = m_nextId++;
    entry.team = self.request->team;
    entry.priority = self.request->priority;
    entry.expectedWork = self.request->expectedWork;
    entry.hash = utils::combineHashes(who, self.calls);
    const auto refused = m_queues[server].push(entry, m_loop.now());
    if (refused) {
        reason = *refused;
        return false;
    }
    self.attempts.insert(entry.id);
    m_attempts[entry.id] = { who, server, std::nullopt };
    pump(server);
    return true;
}

void queue_play::planHedge(std::size_t who)
{
    const caller& self = m_callers[who];
    if (!m_safeguards.hedges || m_load->servers < 2 || self.request->priority != priority_class::Interactive)
        return;
    const auto delay = m_hedges.delay();
    if (!delay)
        return;
    const unsigned number = self.calls;
    m_loop.plan(m_loop.now() + *delay, [this, who, number] { hedge(who, number); });
}

void queue_play::hedge(std::size_t who, unsigned callNumber)
{
    caller& self = m_callers[who];
    if (self.isDone || self.calls != callNumber || self.attempts.size() != 1)
        return;
    if (!m_hedges.tryHedge(m_loop.now()))
        return;
    ++m_outcome.hedged;
    decisions::refusal ignored;
    send(who, chooseServer(m_attempts.at(*self.attempts.begin()).server), ignored);
}

std::size_t queue_play::chooseServer(std::optional<std::size_t> besides)
{
    if (!m_safeguards.ejects)
        return m_nextServer++ % m_load->servers;
    std::size_t best = 0;
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t server = 0; server < m_load->servers; ++server) {
        if (server == besides)
            continue;
        const double weight = m_ejector.weight(serverName(server), m_loop.now());
        const auto load = static_cast<double>(m_queues[server].size() + m_queues[server].running() + 1);
        if (weight > 0 && load / weight < least) {
            least = load / weight;
            best = server;
        }
    }
    return best;
}

double queue_play::slowdownOf(std::size_t server) const
{
    for (const slow_spell& spell : m_load->slow) {
        if (spell.server == server && m_loop.now() >= spell.from && m_loop.now() < spell.until)
            return spell.factor;
    }
    return 1;
}

void queue_play::pump(std::size_t server)
{
    while (const auto entry = m_queues[server].takeNext(m_loop.now()))
        start(entry->id);
    dropExpired(server);
    planExpiry(server);
}

void queue_play::start(decisions::entry_id id)
{
    attempt& started = m_attempts.at(id);
    started.startedAt = m_loop.now();
    const double work = utils::toSeconds(m_callers[started.caller].request->work);
    const auto length = utils::fromSeconds(work * slowdownOf(started.server));
    m_loop.plan(m_loop.now() + length, [this, id] { finish(id); });
}

void queue_play::finish(decisions::entry_id id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return;
    const attempt ended = found->second;
    m_attempts.erase(found);
    caller& self = m_callers[ended.caller];
    self.attempts.erase(id);
    m_queues[ended.server].finished(id, m_loop.now());
    m_ejector.succeeded(serverName(ended.server), m_loop.now() - *ended.startedAt, m_loop.now());
    m_hedges.completed(m_loop.now() - self.calledAt);
    self.isDone = true;
    class_outcome& outcome = outcomeOf(self);
    ++(self.calls == 1 ? outcome.served : outcome.later);
    outcome.waits.push_back(utils::toSeconds(*ended.startedAt - self.calledAt));
    m_outcome.byTeam[self.request->team].servedWork += utils::toSeconds(self.request->work);
    dropAttempts(ended.caller);
    pump(ended.server);
}

void queue_play::dropAttempts(std::size_t who)
{
    const auto attempts = std::exchange(m_callers[who].attempts, {});
    for (const decisions::entry_id id : attempts) {
        const std::size_t server = m_attempts.at(id).server;
        m_attempts.erase(id);
        if (!m_queues[server].remove(id))
            m_queues[server].finished(id, m_loop.now(), false);
        pump(server);
    }
}

void queue_play::dropExpired(std::size_t server)
{
    for (const auto& refused : m_queues[server].expire(m_loop.now())) {
        const auto found = m_attempts.find(refused.entry.id);
        if (found == m_attempts.end())
            continue;
        const std::size_t who = found->second.caller;
        m_attempts.erase(found);
        m_callers[who].attempts.erase(refused.entry.id);
        if (m_callers[who].attempts.empty())
            refuse(who, refused.reason);
    }
}

void queue_play::planExpiry(std::size_t server)
{
    const auto next = m_queues[server].nextExpiry();
    if (next == utils::time_point::max() || next <= m_loop.now())
        return;
    m_loop.plan(next, [this, server] { dropExpired(server); });
}

} // namespace loadplay

#include "homeservice.h"

#include "callerwriter.h"
#include "clock.h"
#include "collectedanswer.h"
#include "framewriter.h"
#include "headers.h"
#include "relay.h"
#include "servingconstants.h"

#include "utils/eventlog.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace serving {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
using utils::error_kind;
using utils::failure;
using utils::run_state;

failure notRun(error_kind kind, std::string detail = {})
{
    return { kind, std::move(detail), run_state::NotRun, {} };
}

failure toFailure(const decisions::refusal& reason)
{
    return { reason.kind, {}, run_state::NotRun, reason.retryAfter };
}

failure toFailure(decisions::admit_verdict verdict)
{
    if (verdict == decisions::admit_verdict::NotHolding)
        return notRun(error_kind::NoServer, "this node is not the server's home");
    return notRun(error_kind::LoadBound);
}

decisions::queue_entry queueEntryOf(const wire::forward_request& request, const config::document& document,
    decisions::entry_id id, utils::time_point deadline)
{
    decisions::queue_entry entry;
    entry.id = id;
    entry.team = request.team;
    entry.priority = static_cast<decisions::priority_class>(request.priority);
    if (const auto team = document.teams.find(request.team); team != document.teams.end())
        entry.weight = team->second.weight;
    entry.deadline = deadline;
    entry.hash = request.chat;
    return entry;
}

} // namespace

home_service::ticket::ticket(home_service& owner, utils::server_id server, decisions::entry_id id)
    : m_owner(&owner)
    , m_server(std::move(server))
    , m_id(id)
{
}

home_service::ticket::ticket(ticket&& other) noexcept
    : m_owner(std::exchange(other.m_owner, nullptr))
    , m_server(std::move(other.m_server))
    , m_id(other.m_id)
    , m_isWhole(other.m_isWhole)
{
}

home_service::ticket& home_service::ticket::operator=(ticket&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_owner = std::exchange(other.m_owner, nullptr);
    m_server = std::move(other.m_server);
    m_id = other.m_id;
    m_isWhole = other.m_isWhole;
    return *this;
}

home_service::ticket::~ticket()
{
    release();
}

void home_service::ticket::release()
{
    if (m_owner != nullptr)
        std::exchange(m_owner, nullptr)->release(m_server, m_id, m_isWhole);
}

home_service::home_service(node_context& context, asio::ssl::context* backendTls)
    : m_context(context)
    , m_connections(context.executor, backendTls)
    , m_crashes(context, m_connections)
{
}

home_service::~home_service() = default;

template <answer_sink Sink>
asio::awaitable<attempt_result> home_service::serve(wire::forward_request request, Sink& sink)
{
    const utils::time_point arrival = now();
    const utils::time_point deadline = arrival + utils::duration(request.remainingUs);
    trace_span span(m_context.traces, "home", parseTraceparent(request.traceparent));
    span.setAttribute("server", request.server.str());
    attempt_result result;
    if (const auto hint = rememberedElsewhere(request)) {
        result.failure = notRun(error_kind::LoadBound);
        result.tryInstead = hint->server;
        result.tryInsteadTokens = hint->prefixTokens;
        co_return result;
    }
    const decisions::body_digest digest = digestOf(request);
    ticket held;
    {
        trace_span queueSpan(m_context.traces, "queue", span.context());
        result.failure = co_await admit(request, digest, deadline, held);
    }
    if (!result.failure)
        result.failure = gate(request, deadline, now());
    if (result.failure) {
        if (const home_slot* slot = slotFor(request.pool, request.server); slot != nullptr) {
            result.load = slot->ledger.load(now());
            result.slots = slot->ledger.slots();
        }
        co_return result;
    }
    result = co_await exchangeWith(request, span.context(), sink);
    const utils::time_point end = now();
    if (result.isWhole()) {
        held.setWhole();
        if (result.usage)
            m_context.metrics.countPromptTokens(
                request.pool.str(), result.usage->promptTokens, result.usage->cachedTokens);
        noteWhole(request, digest, end - arrival, end);
    } else if (result.failure->kind != error_kind::CallerGone) {
        span.setError(std::string(utils::answerFor(result.failure->kind).name));
        const bool isProbed = noteBroken(request, digest, *result.failure, end);
        // The entry node may try elsewhere only once it is known whether this one crashed its server, or
        // one sending would take down three.
        if (isProbed && !result.hasHead)
            co_await m_crashes.waitFor(*existingSlot(request.server), result);
    }
    co_return result;
}

template <answer_sink Sink>
asio::awaitable<attempt_result> home_service::exchangeWith(
    wire::forward_request& request, const trace_context& parent, Sink& sink)
{
    trace_span span(m_context.traces, "backend server", parent);
    const config::backend_server* server = m_context.document->findServer(request.pool, request.server);
    const std::string address = server->address;
    const backend_request message = makeBackendRequest(request, address, span.context());
    attempt_result result;
    // A kept connection may have been closed by the server meanwhile. That shows as an end without any
    // byte of an answer, and the request, which may be repeated, goes out again on a new connection.
    for (const bool mustBeNew : { false, true }) {
        auto connection = co_await m_connections.acquire(address, mustBeNew);
        if (!connection) {
            // After a kept connection ended, the server may have crashed on this request: then the failure
            // of that sending stands, and must not be told as "not run".
            if (!result.failure)
                result.failure = notRun(error_kind::ServerFailed, "the backend server cannot be reached");
            co_return result;
        }
        const bool wasReused = connection->isReused;
        backend_exchange exchange(std::move(connection), engineSilenceLimit);
        result = {};
        result.failure = co_await exchange.send(message);
        if (!result.failure)
            result = co_await relayAnswer(exchange, sink);
        if (result.isWhole())
            m_connections.release(address, exchange.takeReusable());
        if (result.isWhole() || result.hasHead || !wasReused || !exchange.hasEndedUnanswered())
            break;
    }
    co_return result;
}

template asio::awaitable<attempt_result> home_service::serve(wire::forward_request, caller_writer&);
template asio::awaitable<attempt_result> home_service::serve(wire::forward_request, frame_writer&);
template asio::awaitable<attempt_result> home_service::serve(wire::forward_request, collected_answer&);

void home_service::rememberChat(std::uint64_t chat, const utils::server_id& server)
{
    m_spills.remember(chat, { server, 0 }, now());
}

std::optional<decisions::spill_record> home_service::rememberedElsewhere(
    const wire::forward_request& request) const
{
    if (!request.isAnchor)
        return std::nullopt;
    auto record = m_spills.find(request.chat, now());
    if (!record || record->server == request.server)
        return std::nullopt;
    return record;
}

home_slot* home_service::slotFor(const utils::pool_id& pool, const utils::server_id& server)
{
    const config::backend_server* entry
        = m_context.document ? m_context.document->findServer(pool, server) : nullptr;
    if (entry == nullptr)
        return nullptr;
    auto& slot = m_slots[server];
    if (!slot) {
        decisions::fair_queue_limits limits;
        limits.slots = entry->slots;
        const utils::duration longest = m_context.document->pools.at(pool).maxWait;
        for (const auto priority :
            { decisions::priority_class::Interactive, decisions::priority_class::Chat }) {
            utils::duration& wait = limits.admission.maxWait.at(static_cast<std::size_t>(priority));
            wait = std::min(wait, longest);
        }
        slot = std::make_unique<home_slot>(m_context.fleet->self(), entry->slots, limits);
        m_poolOf[server] = pool;
    }
    slot->ledger.setCapacity(entry->slots, 1.0);
    slot->queue.setSlots(entry->slots);
    return slot.get();
}

utils::pool_id home_service::poolOf(const utils::server_id& server) const
{
    const auto found = m_poolOf.find(server);
    return found == m_poolOf.end() ? utils::pool_id() : found->second;
}

home_slot* home_service::existingSlot(const utils::server_id& server)
{
    const auto found = m_slots.find(server);
    return found == m_slots.end() ? nullptr : found->second.get();
}

std::optional<failure> home_service::gate(
    const wire::forward_request& request, utils::time_point deadline, utils::time_point now) const
{
    if (!m_context.fleet->isCurrent(now))
        return notRun(error_kind::NodeNotCurrent);
    const config::backend_server* server
        = m_context.document ? m_context.document->findServer(request.pool, request.server) : nullptr;
    if (server == nullptr)
        return notRun(error_kind::NoServer, "the backend server is not in the configuration in force");
    if (!m_context.document->isApproved(request.team, request.pool))
        return notRun(error_kind::NotApproved);
    if (server->isLeaving)
        return notRun(error_kind::NoServer, "the backend server is leaving");
    if (now >= deadline)
        return notRun(error_kind::DeadlineUnreachable);
    return std::nullopt;
}

asio::awaitable<std::optional<failure>> home_service::admit(const wire::forward_request& request,
    const decisions::body_digest& digest, utils::time_point deadline, ticket& held)
{
    const utils::time_point arrival = now();
    if (const auto refused = gate(request, deadline, arrival))
        co_return refused;
    bool mustRunAlone = false;
    if (const auto refused = checkPoison(digest, mustRunAlone, arrival))
        co_return refused;
    mustRunAlone = mustRunAlone || request.isSuspect;
    home_slot* slot = slotFor(request.pool, request.server);
    if (slot == nullptr)
        co_return notRun(error_kind::NoServer);
    if (m_context.isLeaving)
        co_return notRun(error_kind::ShuttingDown);
    observeLoads(request, *slot, arrival);
    const decisions::entry_id id = ++m_lastEntry;
    slot_waiter waiter(m_context.executor);
    waiter.mustRunAlone = mustRunAlone;
    if (!request.mayWait) {
        const auto state = m_context.fleet->stateFor(request.pool, request.server, arrival);
        const auto verdict = slot->ledger.check(request.holdsCache, boundOf(request.pool), state, arrival);
        const bool isTaken = slot->aloneFor || slot->queue.size() > 0;
        const bool isBusy = mustRunAlone && slot->ledger.load(arrival) > 0;
        if (verdict != decisions::admit_verdict::Admitted || isTaken || isBusy)
            co_return isTaken || isBusy ? notRun(error_kind::LoadBound) : toFailure(verdict);
    }
    if (const auto refused
        = slot->queue.push(queueEntryOf(request, *m_context.document, id, deadline), arrival))
        co_return toFailure(*refused);
    const waiter_registration registration(*slot, id, waiter);
    pump(request.pool, request.server, *slot, arrival);
    if (!waiter.isAdmitted && !request.mayWait && !waiter.refusal) {
        slot->queue.remove(id);
        co_return notRun(error_kind::LoadBound);
    }
    co_return co_await waitForSlot(request, id, *slot, waiter, held);
}

asio::awaitable<std::optional<failure>> home_service::waitForSlot(const wire::forward_request& request,
    decisions::entry_id id, home_slot& slot, slot_waiter& waiter, ticket& held)
{
    // The coroutine may be destroyed while it waits, when the caller goes: then the guard takes the entry
    // out of the queue, or frees the slot that it was given a moment before.
    struct cleanup {
        home_service& owner;
        const utils::server_id& server;
        home_slot& slot;
        slot_waiter& waiter;
        decisions::entry_id id;
        bool isDone = false;
        ~cleanup()
        {
            if (isDone)
                return;
            if (waiter.isAdmitted)
                owner.release(server, id, false);
            else
                slot.queue.remove(id);
        }
    } guard { *this, request.server, slot, waiter, id };
    while (!waiter.isAdmitted && !waiter.refusal)
        co_await waiter.wake.async_wait(asTuple);
    guard.isDone = true;
    if (waiter.refusal)
        co_return waiter.refusal;
    held = ticket(*this, request.server, id);
    co_return std::nullopt;
}

void home_service::observeOwn(
    const utils::pool_id& pool, const utils::server_id& server, const home_slot& slot, utils::time_point now)
{
    m_context.loads[pool].merge(
        { server, slot.ledger.ownInFlight(), static_cast<double>(slot.ledger.slots()), now });
}

void home_service::observeLoads(
    const wire::forward_request& request, const home_slot& slot, utils::time_point now)
{
    // Digests are a second old. At a burst's start every home would compare itself with an idle fleet and
    // refuse; with the loads that the entry node has just been told, the least loaded home sees that it is.
    for (const wire::server_load& load : request.loads)
        m_context.loads[request.pool].merge(
            { load.server, load.inFlight, static_cast<double>(load.slots), now });
    observeOwn(request.pool, request.server, slot, now);
}

std::optional<failure> home_service::checkPoison(
    const decisions::body_digest& digest, bool& mustRunAlone, utils::time_point now) const
{
    const decisions::poison_verdict verdict = m_context.poison.check(digest, now);
    mustRunAlone = verdict == decisions::poison_verdict::RunAlone;
    if (verdict != decisions::poison_verdict::Refuse)
        return std::nullopt;
    return notRun(error_kind::PoisonRequest);
}

decisions::load_bound home_service::boundOf(const utils::pool_id& pool) const
{
    decisions::load_bound bound;
    const auto entry = m_context.document->pools.find(pool);
    if (entry != m_context.document->pools.end())
        bound.multiple = entry->second.loadBound;
    return bound;
}

void home_service::pump(
    const utils::pool_id& pool, const utils::server_id& server, home_slot& slot, utils::time_point now)
{
    observeOwn(pool, server, slot, now);
    const auto state = m_context.fleet->stateFor(pool, server, now);
    const auto bound = boundOf(pool);
    while (slot.queue.size() > 0 && !slot.aloneFor) {
        if (slot.ledger.check(true, bound, state, now) != decisions::admit_verdict::Admitted)
            break;
        const auto entry = slot.queue.takeNext(now);
        if (!entry)
            break;
        const auto found = slot.waiters.find(entry->id);
        if (found == slot.waiters.end()) {
            slot.queue.finished(entry->id, now, false);
            continue;
        }
        slot_waiter& waiter = *found->second;
        if (waiter.mustRunAlone && slot.ledger.load(now) > 0) {
            // It goes when the server is empty; until then nothing else starts, or it would never be.
            slot.queue.putBack(entry->id);
            break;
        }
        if (slot.ledger.admit(entry->id, true, bound, state, now) != decisions::admit_verdict::Admitted) {
            slot.queue.putBack(entry->id);
            break;
        }
        if (waiter.mustRunAlone)
            slot.aloneFor = entry->id;
        waiter.isAdmitted = true;
        waiter.wake.cancel();
    }
    refuseExpired(slot, now);
}

void home_service::refuseExpired(home_slot& slot, utils::time_point now)
{
    for (const decisions::refused_entry& refused : slot.queue.expire(now)) {
        const auto waiter = slot.waiters.find(refused.entry.id);
        if (waiter == slot.waiters.end())
            continue;
        waiter->second->refusal = toFailure(refused.reason);
        waiter->second->wake.cancel();
    }
}

void home_service::release(const utils::server_id& server, decisions::entry_id id, bool isWhole)
{
    const auto found = m_slots.find(server);
    if (found == m_slots.end())
        return;
    home_slot& slot = *found->second;
    const utils::time_point end = now();
    slot.ledger.finish(id, end);
    slot.queue.finished(id, end, isWhole);
    if (slot.aloneFor == id)
        slot.aloneFor.reset();
    pump(m_poolOf[server], server, slot, end);
}

void home_service::tick(utils::time_point now)
{
    for (auto& [server, slot] : m_slots)
        pump(m_poolOf[server], server, *slot, now);
    m_spills.expire(now);
    m_context.poison.expire(now);
}

void home_service::noteWhole(const wire::forward_request& request, const decisions::body_digest& digest,
    utils::duration took, utils::time_point now)
{
    m_context.poison.completed(digest, now);
    m_context.retries.succeeded();
    if (const auto ejector = m_context.ejectors.find(request.pool); ejector != m_context.ejectors.end())
        ejector->second.succeeded(request.server, took, now);
}

bool home_service::noteBroken(const wire::forward_request& request, const decisions::body_digest& digest,
    const failure& why, utils::time_point now)
{
    utils::logEvent(utils::event::ServerFailure,
        { { "server", request.server.str() }, { "kind", std::string(utils::answerFor(why.kind).name) },
            { "request", request.requestId }, { "detail", why.detail } });
    if (const auto ejector = m_context.ejectors.find(request.pool); ejector != m_context.ejectors.end())
        ejector->second.failed(request.server, now);
    const auto found = m_slots.find(request.server);
    if (found == m_slots.end() || why.kind == error_kind::ServerTimeout
        || runStateOf(why) == run_state::NotRun)
        return false;
    m_crashes.note(*found->second, request.pool, request.server, digest);
    return true;
}

} // namespace serving

#include "router.h"

#include "callerwriter.h"
#include "clock.h"
#include "collectedanswer.h"
#include "headers.h"
#include "headwatch.h"
#include "servingconstants.h"

#include "decisions/ranking.h"
#include "decisions/retryrule.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include <algorithm>

namespace serving {

namespace {

namespace asio = boost::asio;
using decisions::admit_verdict;
using utils::error_kind;
using utils::failure;
using utils::run_state;

constexpr std::chrono::milliseconds callTimeout { 500 };

std::vector<decisions::placement_server> placementServers(
    const config::server_pool& pool, const decisions::outlier_ejector* ejector, utils::time_point now)
{
    std::vector<decisions::placement_server> servers;
    for (const config::backend_server& entry : pool.servers) {
        decisions::placement_server server;
        server.id = entry.id;
        server.slots = entry.slots;
        server.isLeaving = entry.isLeaving;
        if (ejector != nullptr)
            server.health = ejector->weight(entry.id, now);
        servers.push_back(server);
    }
    return servers;
}

decisions::home_answer answerOf(const attempt_result& result)
{
    decisions::home_answer answer;
    answer.verdict = admit_verdict::Admitted;
    if (result.failure) {
        const bool isOverBound = result.failure->kind == error_kind::LoadBound;
        answer.verdict = isOverBound ? admit_verdict::OverBound : admit_verdict::NotHolding;
    }
    if (!result.tryInstead.isEmpty())
        answer.remembered = decisions::spill_record { result.tryInstead, result.tryInsteadTokens };
    answer.load = result.load;
    answer.slots = result.slots;
    return answer;
}

} // namespace

router::router(node_context& context, home_service& home, operation_service& operations, peer_pool& peers)
    : m_context(context)
    , m_home(home)
    , m_operations(operations)
    , m_peers(peers)
{
}

std::optional<utils::node_id> router::homeOf(const utils::pool_id& pool, const utils::server_id& server) const
{
    const config::backend_server* found = m_context.document->findServer(pool, server);
    if (found == nullptr)
        return std::nullopt;
    return m_context.fleet->homeOf(server, found->dataCentre);
}

std::vector<router::candidate> router::candidatesFor(
    const config::server_pool& pool, std::uint64_t chat) const
{
    const auto ejector = m_context.ejectors.find(pool.id);
    const auto servers
        = placementServers(pool, ejector == m_context.ejectors.end() ? nullptr : &ejector->second, now());
    std::vector<candidate> candidates;
    for (const std::size_t index : decisions::rankServers(chat, servers, servers.size()))
        candidates.push_back({ servers[index].id, homeOf(pool.id, servers[index].id) });
    return candidates;
}

template <answer_sink Sink>
asio::awaitable<attempt_result> router::route(wire::forward_request request, Sink& sink)
{
    const utils::time_point deadline = now() + utils::duration(request.remainingUs);
    const config::server_pool& pool = m_context.document->pools.at(request.pool);
    std::vector<utils::server_id> ranking;
    for (const candidate& c : candidatesFor(pool, request.chat))
        ranking.push_back(c.server);
    decisions::candidate_walk walk(std::move(ranking), std::nullopt, { mostCandidates });
    attempt_result result;
    result.failure = utils::makeFailure(error_kind::NoServer, {}, run_state::NotRun);
    bool mayHaveRun = false;
    for (unsigned attempts = 1;; ++attempts) {
        const decisions::walk_step step = walk.next();
        if (const auto* ask = std::get_if<decisions::ask_home>(&step)) {
            request.server = ask->server;
            request.holdsCache = ask->holdsCache;
            request.isAnchor = ask->isAnchor;
        } else if (const auto* wait = std::get_if<decisions::queue_at>(&step)) {
            request.server = wait->server;
            request.holdsCache = wait->holdsCache;
            request.isAnchor = false;
            request.mayWait = true;
        } else {
            break;
        }
        const utils::time_point sent = now();
        request.remainingUs
            = static_cast<std::uint64_t>(std::max<std::int64_t>(0, (deadline - sent).count()));
        if (!checkPoison(request, result))
            break;
        result = co_await attempt(request, sink);
        mayHaveRun = mayHaveRun || (result.failure && runStateOf(*result.failure) != run_state::NotRun);
        noteCrash(request, result);
        if (result.crash != 0 && !result.hasHead && !checkPoison(request, result))
            break;
        if (result.isWhole() || (request.mayWait && !result.isHomeGone)
            || !mayGoOn(request, result, attempts, deadline))
            break;
        if (result.failure && result.failure->kind == error_kind::LoadBound && result.tryInstead.isEmpty())
            request.loads.push_back({ request.server, result.load, result.slots });
        walk.onAnswer(answerOf(result));
    }
    // A later home that refused without running says nothing of an earlier one that may have run it.
    if (result.failure && mayHaveRun)
        result.failure->run = run_state::MayHaveRun;
    const bool isElsewhere = walk.anchor() && result.isWhole() && *walk.anchor() != request.server;
    if (isElsewhere && request.isIdempotent)
        tellAnchor(request, *walk.anchor());
    co_return result;
}

bool router::checkPoison(wire::forward_request& request, attempt_result& result) const
{
    if (m_context.poison.size() == 0)
        return true;
    const decisions::poison_verdict verdict = m_context.poison.check(digestOf(request), now());
    request.isSuspect = verdict == decisions::poison_verdict::RunAlone;
    if (verdict != decisions::poison_verdict::Refuse)
        return true;
    // A request that ran before, in this sending or another, may have done part of its work.
    result = {};
    result.failure = utils::makeFailure(error_kind::PoisonRequest, {}, run_state::MayHaveRun);
    return false;
}

void router::noteCrash(const wire::forward_request& request, const attempt_result& result)
{
    if (result.crash == 0)
        return;
    decisions::poison_strike strike;
    strike.digest = digestOf(request);
    strike.crash = result.crash;
    strike.wasAlone = result.wasAlone;
    strike.remaining = decisions::poison_limits().lifetime;
    m_context.poison.merge({ strike }, now());
}

bool router::mayGoOn(const wire::forward_request& request, const attempt_result& result, unsigned attempts,
    utils::time_point deadline)
{
    const failure& why = *result.failure;
    const utils::time_point present = now();
    if (result.hasHead || why.kind == error_kind::CallerGone)
        return false;
    // A home that is full, moved or gone has run nothing: going on costs a hop, not a retry.
    // A home that died with the request has perhaps run it. What is idempotent may run again; what is not has
    // its record, by which another home finds out and never runs it twice.
    if (result.isHomeGone)
        return present < deadline;
    const bool isElsewhere = why.kind == error_kind::LoadBound || why.kind == error_kind::NoServer
        || why.kind == error_kind::ShuttingDown || why.kind == error_kind::NodeNotCurrent;
    if (isElsewhere && runStateOf(why) == run_state::NotRun)
        return present < deadline;
    decisions::failed_attempt failed;
    failed.kind = why.kind;
    failed.run = runStateOf(why);
    failed.isIdempotent = request.isIdempotent;
    failed.attempts = attempts;
    failed.timeLeft = deadline - present;
    if (!decisions::mayRetry(failed) || !m_context.retries.trySpend(present))
        return false;
    m_context.metrics.countRetry();
    return true;
}

template <answer_sink Sink>
asio::awaitable<attempt_result> router::attempt(wire::forward_request& request, Sink& sink)
{
    const auto home = homeOf(request.pool, request.server);
    if (home == m_context.fleet->self()) {
        if (request.isIdempotent)
            co_return co_await m_home.serve(request, sink);
        co_return co_await m_operations.serve(request, sink);
    }
    const std::string address = home ? m_context.fleet->addressOf(*home) : std::string();
    if (address.empty()) {
        attempt_result result;
        result.failure = utils::makeFailure(error_kind::NoServer, "no home node", run_state::NotRun);
        co_return result;
    }
    m_context.metrics.countForwarded();
    co_return co_await forward(*home, request, sink);
}

template <answer_sink Sink>
asio::awaitable<attempt_result> router::forward(
    const utils::node_id& home, const wire::forward_request& request, Sink& sink)
{
    using namespace asio::experimental::awaitable_operators;
    // A stopped node keeps its connections open and says nothing: without the second wait its callers would
    // wait until it goes on.
    head_watch<Sink> watched(sink);
    const std::string address = m_context.fleet->addressOf(home);
    auto outcome = co_await (m_peers.forward(address, request, watched) || m_context.fleet->untilDead(home));
    if (outcome.index() == 0)
        co_return std::get<0>(std::move(outcome));
    attempt_result result;
    result.hasHead = watched.hasHead();
    result.isHomeGone = true;
    const error_kind kind = result.hasHead ? error_kind::AnswerCut : error_kind::ServerFailed;
    result.failure = utils::makeFailure(kind, "the home node is gone", run_state::MayHaveRun);
    co_return result;
}

void router::tellAnchor(const wire::forward_request& request, const utils::server_id& anchor)
{
    const auto home = homeOf(request.pool, anchor);
    if (!home)
        return;
    if (*home == m_context.fleet->self()) {
        m_home.rememberChat(request.chat, request.server);
        return;
    }
    wire::peer_call message;
    message.kind = static_cast<std::uint8_t>(wire::call_kind::RememberChat);
    message.from = m_context.fleet->self().str();
    message.payload = wire::encode(wire::remember_chat { request.chat, request.server });
    // Best effort: a lost message costs one prefill when the chat returns.
    asio::co_spawn(m_context.executor,
        m_peers.call(m_context.fleet->addressOf(*home), std::move(message), callTimeout), asio::detached);
}

template asio::awaitable<attempt_result> router::route(wire::forward_request, caller_writer&);
template asio::awaitable<attempt_result> router::route(wire::forward_request, collected_answer&);

} // namespace serving

#include "router.h"

#include "callerwriter.h"
#include "clock.h"
#include "collectedanswer.h"
#include "servingconstants.h"

#include "decisions/ranking.h"
#include "decisions/retryrule.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

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
    const auto entry = m_context.document->pools.find(pool);
    if (entry == m_context.document->pools.end())
        return std::nullopt;
    const auto found = std::ranges::find(entry->second.servers, server, &config::backend_server::id);
    if (found == entry->second.servers.end())
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
    result.failure = failure { error_kind::NoServer, {}, run_state::NotRun, {} };
    for (unsigned attempts = 1;; ++attempts) {
        const decisions::walk_step step = walk.next();
        if (const auto* ask = std::get_if<decisions::ask_home>(&step)) {
            request.server = ask->server;
            request.holdsCache = ask->holdsCache;
            request.isAnchor = ask->isAnchor;
        } else if (const auto* wait = std::get_if<decisions::wait_at>(&step)) {
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
        result = co_await attempt(request, sink);
        if (result.isWhole() || request.mayWait || !mayGoOn(request, result, attempts, deadline))
            break;
        walk.onAnswer(answerOf(result));
    }
    const bool isElsewhere = walk.anchor() && result.isWhole() && *walk.anchor() != request.server;
    if (isElsewhere && request.isIdempotent)
        tellAnchor(request, *walk.anchor());
    co_return result;
}

bool router::mayGoOn(const wire::forward_request& request, const attempt_result& result, unsigned attempts,
    utils::time_point deadline)
{
    const failure& why = *result.failure;
    const utils::time_point present = now();
    if (result.hasHead || why.kind == error_kind::CallerGone)
        return false;
    // A home that is full, moved or gone has run nothing: going on costs a hop, not a retry.
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
        result.failure = failure { error_kind::NoServer, "no home node", run_state::NotRun, {} };
        co_return result;
    }
    m_context.metrics.countForwarded();
    co_return co_await m_peers.forward(address, request, sink);
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

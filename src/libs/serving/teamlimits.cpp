#include "teamlimits.h"

#include "clock.h"

#include "wire/codec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace serving {

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// A first request waits for the team's home so long at most; then the static share decides.
constexpr std::chrono::milliseconds longestWait { 1000 };
constexpr std::chrono::milliseconds askTimeout { 200 };
/// A waiting request looks again so often; a grant wakes it at once.
constexpr std::chrono::milliseconds recheckInterval { 20 };

/// Sequence numbers must grow over restarts of the process: the wall clock does.
std::uint64_t firstSequence()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
}

} // namespace

team_limits::ticket::ticket(team_limits& owner, utils::team_id team)
    : m_owner(&owner)
    , m_team(std::move(team))
{
}

team_limits::ticket::ticket(ticket&& other) noexcept
    : m_owner(std::exchange(other.m_owner, nullptr))
    , m_team(std::move(other.m_team))
{
}

team_limits::ticket& team_limits::ticket::operator=(ticket&& other) noexcept
{
    std::swap(m_owner, other.m_owner);
    std::swap(m_team, other.m_team);
    return *this;
}

team_limits::ticket::~ticket()
{
    if (m_owner != nullptr)
        m_owner->m_limiter.finished(m_team, now());
}

team_limits::team_limits(node_context& context, live_fleet& fleet, peer_pool& peers)
    : m_context(context)
    , m_fleet(fleet)
    , m_peers(peers)
    , m_limiter(context.settings.node, {}, firstSequence())
{
}

void team_limits::applyDocument(const config::document& document, utils::time_point now)
{
    std::map<utils::team_id, std::optional<utils::node_id>> homes;
    for (const auto& [id, team] : document.teams) {
        const decisions::fleet_limit limit { team.limits.requestsPerSecond, team.limits.concurrent };
        m_limiter.setLimit(id, limit);
        m_lender.setLimit(id, limit, now);
        homes[id] = m_homes[id];
    }
    m_homes = std::move(homes);
    followFleet(now);
}

void team_limits::followFleet(utils::time_point now)
{
    std::vector<utils::node_id> members { m_fleet.self() };
    std::set<utils::node_id> unreachable;
    for (const auto& [id, member] : m_fleet.node().members().members().all()) {
        if (!member.isListed && !member.isLive())
            continue;
        members.push_back(id);
        if (!member.isLive())
            unreachable.insert(id);
    }
    m_limiter.setMembers(members);
    m_lender.setMembers(members, unreachable);
    const bool mayLend = m_fleet.isCurrent(now) && !m_context.isLeaving;
    for (auto& [team, known] : m_homes) {
        const auto home = m_fleet.node().homes().homeOf(team);
        const bool isOwn = mayLend && home == m_fleet.self();
        const auto effective = isOwn || home != m_fleet.self() ? home : std::nullopt;
        if (effective == known)
            continue;
        if (known == m_fleet.self())
            m_lender.ceaseHome(team);
        if (isOwn)
            m_lender.becomeHome(team, now);
        known = effective;
        m_limiter.homeMoved(team);
    }
}

asio::awaitable<std::optional<utils::failure>> team_limits::admit(
    utils::team_id team, std::uint64_t hash, ticket& held)
{
    const utils::time_point limit = now() + longestWait;
    while (true) {
        const utils::time_point present = now();
        const decisions::limit_answer answer = m_limiter.admit(team, hash, present);
        if (answer.verdict == decisions::limit_verdict::Admitted) {
            held = ticket(*this, std::move(team));
            co_return std::nullopt;
        }
        if (answer.verdict == decisions::limit_verdict::Refused || present >= limit) {
            co_return utils::makeFailure(
                utils::error_kind::RateLimited, {}, utils::run_state::NotRun, answer.reason.retryAfter);
        }
        send(present);
        asio::steady_timer timer(m_context.executor, recheckInterval);
        m_waiters.insert(&timer);
        const waiter_guard guard { m_waiters, &timer };
        co_await timer.async_wait(asTuple);
    }
}

void team_limits::tick(utils::time_point now)
{
    followFleet(now);
    m_lender.expire(now);
    send(now);
}

void team_limits::send(utils::time_point now)
{
    for (decisions::quota_lease_request& request : m_limiter.poll(now)) {
        const auto home = m_homes.find(request.team);
        if (home == m_homes.end() || !home->second)
            continue;
        if (*home->second == m_fleet.self()) {
            m_limiter.apply(m_lender.answer(request, now), now);
            wakeWaiters();
            continue;
        }
        asio::co_spawn(m_context.executor, ask(*home->second, std::move(request)), asio::detached);
    }
}

asio::awaitable<void> team_limits::ask(utils::node_id home, decisions::quota_lease_request request)
{
    wire::peer_call question;
    question.kind = static_cast<std::uint8_t>(wire::call_kind::TeamLimit);
    question.from = m_fleet.self().str();
    question.payload = wire::encode(request);
    const auto reply = co_await m_peers.call(m_fleet.addressOf(home), std::move(question), askTimeout);
    if (!reply || !reply->isOk)
        co_return;
    const auto grant = wire::decode<decisions::quota_lease_grant>(reply->payload);
    if (!grant)
        co_return;
    m_limiter.apply(*grant, now());
    wakeWaiters();
}

wire::peer_reply team_limits::onCall(const wire::peer_call& call)
{
    const auto request = wire::decode<decisions::quota_lease_request>(call.payload);
    if (!request)
        return {};
    return { true, wire::encode(m_lender.answer(*request, now())) };
}

void team_limits::wakeWaiters()
{
    for (asio::steady_timer* waiter : m_waiters)
        waiter->cancel();
}

} // namespace serving

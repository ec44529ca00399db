#include "quotalender.h"

#include <algorithm>
#include <cmath>

namespace decisions {

namespace {

constexpr utils::duration noSlotRetryAfter = std::chrono::seconds(1);

} // namespace

quota_lender::quota_lender(const lender_limits& limits)
    : m_limits(limits)
{
}

void quota_lender::setLimit(const utils::team_id& team, const fleet_limit& limit, utils::time_point now)
{
    team_state& state = m_teams[team];
    refill(team, state, now);
    state.limit = limit;
    state.tokens = std::min(state.tokens, capacityOf(state));
}

void quota_lender::becomeHome(const utils::team_id& team, utils::time_point now, bool isFirst)
{
    team_state& state = m_teams[team];
    if (state.homeSince)
        return;
    state.homeSince = now;
    state.takeoverDelay = isFirst ? utils::duration::zero() : m_limits.takeoverDelay;
    state.tokens = isFirst ? capacityOf(state) : 0;
    state.refilledAt = now + state.takeoverDelay;
}

void quota_lender::ceaseHome(const utils::team_id& team)
{
    team_state& state = m_teams[team];
    state.homeSince.reset();
    state.borrowers.clear();
}

void quota_lender::setMembers(
    const std::vector<utils::node_id>& members, const std::set<utils::node_id>& unreachable)
{
    m_members = members;
    m_unreachable = unreachable;
}

quota_lease_grant quota_lender::answer(const quota_lease_request& request, utils::time_point now)
{
    quota_lease_grant grant;
    grant.team = request.team;
    grant.sequence = request.sequence;
    grant.expiresIn = m_limits.expiry;
    grant.slotsExpireIn = m_limits.slotExpiry;
    const auto found = m_teams.find(request.team);
    if (found == m_teams.end() || !isReady(found->second, now)) {
        grant.isHome = false;
        return grant;
    }
    team_state& state = found->second;
    borrower& from = state.borrowers[request.borrower];
    if (request.sequence <= from.sequence) {
        grant.sequence = 0;
        return grant;
    }
    refill(request.team, state, now);
    creditUnusedGrant(state, from, request, now);
    from.concurrent = request.heldConcurrent;
    from.concurrent += lendConcurrent(request.team, state, request, now);
    from.lastRequests = lendRequests(state, request.wantedRequests);
    from.sequence = request.sequence;
    from.heardAt = now;
    grant.requests = from.lastRequests;
    grant.concurrent = from.concurrent;
    grant.retryAfter = retryAfter(state);
    return grant;
}

void quota_lender::borrowerGone(const utils::node_id& node)
{
    for (auto& [team, state] : m_teams)
        state.borrowers.erase(node);
}

unsigned quota_lender::lentConcurrent(const utils::team_id& team, utils::time_point now) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : lentOut(found->second, now);
}

bool quota_lender::isReady(const team_state& state, utils::time_point now) const
{
    return state.homeSince && now >= *state.homeSince + state.takeoverDelay;
}

double quota_lender::capacityOf(const team_state& state) const
{
    return std::max(state.limit.requestsPerSecond * utils::toSeconds(m_limits.burst), m_limits.minBucketSize);
}

static_share quota_lender::reservedShare(const utils::team_id& team, const fleet_limit& limit) const
{
    static_share sum;
    for (const utils::node_id& node : m_unreachable) {
        const static_share share = staticShareOf(team, limit, node, m_members);
        sum.requestsPerSecond += share.requestsPerSecond;
        sum.concurrent += share.concurrent;
    }
    return sum;
}

void quota_lender::refill(const utils::team_id& team, team_state& state, utils::time_point now) const
{
    if (!state.homeSince || now <= state.refilledAt)
        return;
    const double reserved = reservedShare(team, state.limit).requestsPerSecond;
    const double rate = std::max(state.limit.requestsPerSecond - reserved, 0.0);
    state.tokens += rate * utils::toSeconds(now - state.refilledAt);
    state.tokens = std::min(state.tokens, capacityOf(state));
    state.refilledAt = now;
}

void quota_lender::creditUnusedGrant(
    team_state& state, borrower& from, const quota_lease_request& request, utils::time_point now) const
{
    // The borrower applies only the answer to its latest request, so a grant that it had not applied when
    // it sent this request will never be used. A borrower that was idle for longer than the expiry has
    // dropped its record of the grants that it applied.
    const bool isRemembered = now < from.heardAt + m_limits.expiry;
    if (isRemembered && request.appliedSequence != from.sequence)
        state.tokens += from.lastRequests;
    state.tokens = std::min(state.tokens + request.returnedRequests, capacityOf(state));
}

void quota_lender::expire(utils::time_point now)
{
    for (auto& [team, state] : m_teams) {
        std::erase_if(state.borrowers, [&](const auto& lent) {
            return now >= lent.second.heardAt + m_limits.slotExpiry + m_limits.maxRunTime;
        });
    }
}

unsigned quota_lender::lentOut(const team_state& state, utils::time_point now) const
{
    unsigned sum = 0;
    for (const auto& [node, lent] : state.borrowers) {
        if (now < lent.heardAt + m_limits.slotExpiry + m_limits.maxRunTime)
            sum += lent.concurrent;
    }
    return sum;
}

std::uint32_t quota_lender::lendRequests(team_state& state, std::uint32_t wanted) const
{
    if (state.limit.requestsPerSecond <= 0 || wanted == 0 || state.tokens < 1)
        return 0;
    const auto maxLent
        = static_cast<std::uint32_t>(std::ceil(std::floor(state.tokens) * m_limits.leaseShare));
    const std::uint32_t lent = std::min(wanted, maxLent);
    state.tokens -= lent;
    return lent;
}

std::uint32_t quota_lender::lendConcurrent(const utils::team_id& team, const team_state& state,
    const quota_lease_request& request, utils::time_point now) const
{
    if (request.wantedConcurrent <= request.heldConcurrent)
        return 0;
    const unsigned taken = lentOut(state, now) + reservedShare(team, state.limit).concurrent;
    if (taken >= state.limit.concurrent)
        return 0;
    const unsigned left = state.limit.concurrent - taken;
    const auto maxLent = static_cast<std::uint32_t>(std::ceil(left * m_limits.leaseShare));
    return std::min(request.wantedConcurrent - request.heldConcurrent, maxLent);
}

utils::duration quota_lender::retryAfter(const team_state& state)
{
    const double rate = state.limit.requestsPerSecond;
    if (rate <= 0 || state.tokens >= 1)
        return noSlotRetryAfter;
    // All borrowers draw on the same bucket.
    return utils::fromSeconds(static_cast<double>(state.borrowers.size()) / rate);
}

} // namespace decisions

#include "teamlimiter.h"

#include <algorithm>
#include <cmath>

namespace decisions {

namespace {

constexpr double demandSmoothing = 0.5;
constexpr double minDemand = 0.01;
constexpr utils::duration retrySpreadWindow = std::chrono::seconds(2);
constexpr utils::duration maxRetryAfter = std::chrono::seconds(60);
constexpr utils::duration noSlotRetryAfter = std::chrono::seconds(1);
// While a caller waits for a lease, the request interval is shorter by this factor than when a lease is
// topped up.
constexpr int waitingIntervalDivisor = 10;
constexpr unsigned maxTimeoutDoublings = 3;
constexpr utils::duration maxFallbackDelay = std::chrono::seconds(4);

bool isLimited(const fleet_limit& limit)
{
    return limit.requestsPerSecond > 0 || limit.concurrent > 0;
}

std::uint32_t countOf(const std::set<std::uint64_t>& hashes)
{
    return static_cast<std::uint32_t>(hashes.size());
}

limit_answer refuseFor(utils::duration base, std::uint64_t hash)
{
    const auto wait = std::clamp(base, utils::duration::zero(), maxRetryAfter);
    return { limit_verdict::Refused,
        { utils::error_kind::RateLimited, spreadRetryAfter(wait, retrySpreadWindow, hash) } };
}

} // namespace

team_limiter::team_limiter(
    utils::node_id self, const team_limiter_limits& limits, std::uint64_t firstSequence)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_nextSequence(firstSequence)
{
}

void team_limiter::setLimit(const utils::team_id& team, const fleet_limit& limit)
{
    if (!isLimited(limit)) {
        m_fleetLimits.erase(team);
        m_active.erase(team);
        return;
    }
    m_fleetLimits[team] = limit;
    const auto active = m_active.find(team);
    if (active != m_active.end())
        active->second.limit = limit;
}

void team_limiter::setMembers(const std::vector<utils::node_id>& members)
{
    m_members = members;
}

limit_answer team_limiter::admit(const utils::team_id& team, std::uint64_t hash, utils::time_point now)
{
    const auto limited = m_fleetLimits.find(team);
    if (limited == m_fleetLimits.end())
        return {};
    team_state& state = m_active[team];
    state.limit = limited->second;
    state.lastUse = now;
    dropExpired(state, now);
    const limit_answer answer = usesStaticShare(state, now) ? admitFromStaticShare(team, state, hash, now)
                                                            : admitFromLease(state, hash, now);
    if (answer.verdict == limit_verdict::AwaitGrant) {
        state.waiting.insert(hash);
        return answer;
    }
    state.waiting.erase(hash);
    ++state.arrivals;
    if (answer.verdict == limit_verdict::Admitted)
        ++state.running;
    return answer;
}

void team_limiter::finished(const utils::team_id& team, utils::time_point now)
{
    const auto found = m_active.find(team);
    if (found == m_active.end() || found->second.running == 0)
        return;
    --found->second.running;
    found->second.lastUse = now;
}

std::vector<quota_lease_request> team_limiter::poll(utils::time_point now)
{
    std::vector<quota_lease_request> result;
    std::erase_if(m_active, [&](const auto& active) { return isIdle(active.second, now); });
    for (auto& [team, state] : m_active) {
        dropExpired(state, now);
        if (!shouldSendRequest(state, now))
            continue;
        if (!state.isAnswered)
            ++state.unanswered;
        if (state.unanswered >= m_limits.maxUnanswered)
            scheduleStaticShare(state, now);
        result.push_back(makeRequest(team, state, now));
    }
    return result;
}

void team_limiter::apply(const quota_lease_grant& grant, utils::time_point now)
{
    const auto found = m_active.find(grant.team);
    if (found == m_active.end())
        return;
    team_state& state = found->second;
    // A grant to an earlier request does not count: the home credited it back when it received the later
    // request.
    if (state.isAnswered || !state.sentAt || grant.sequence != state.sentSequence)
        return;
    state.isAnswered = true;
    state.waiting
        .clear(); // waiting requests call admit() again now, and are counted again if they still wait
    if (!grant.isHome) {
        scheduleStaticShare(state, now);
        return;
    }
    state.unanswered = 0;
    state.staticSince.reset();
    state.appliedSequence = grant.sequence;
    state.tokens += grant.requests;
    state.concurrent = grant.concurrent;
    state.tokensExpireAt = *state.sentAt + grant.expiresIn;
    state.slotExpiry = grant.slotsExpireIn;
    state.slotsExpireAt = *state.sentAt + grant.slotsExpireIn;
    const bool lacksRate = state.limit.requestsPerSecond > 0 && state.tokens < state.waitingAtSend;
    const bool lacksSlots
        = state.limit.concurrent > 0 && state.concurrent < state.running + state.waitingAtSend;
    if (lacksRate || lacksSlots)
        state.deniedUntil = now + std::max(grant.retryAfter, m_limits.requestInterval);
}

void team_limiter::homeMoved(const utils::team_id& team)
{
    const auto found = m_active.find(team);
    if (found == m_active.end())
        return;
    team_state& state = found->second;
    state.sentAt.reset();
    state.isAnswered = true;
    state.unanswered = 0;
    state.deniedUntil = {};
}

unsigned team_limiter::running(const utils::team_id& team) const
{
    const auto found = m_active.find(team);
    return found == m_active.end() ? 0 : found->second.running;
}

void team_limiter::dropExpired(team_state& state, utils::time_point now)
{
    if (now >= state.tokensExpireAt)
        state.tokens = 0;
    if (now >= state.slotsExpireAt)
        state.concurrent = 0;
}

bool team_limiter::usesStaticShare(const team_state& state, utils::time_point now)
{
    return state.staticSince && now >= *state.staticSince;
}

bool team_limiter::holdsQuota(const team_state& state)
{
    return state.tokens > 0 || state.concurrent > 0 || state.running > 0;
}

void team_limiter::scheduleStaticShare(team_state& state, utils::time_point now)
{
    if (state.staticSince)
        return;
    // A lease that is still valid is part of the limit that the home accounts for, and preferable to the
    // static share.
    const auto lapsed = state.limit.concurrent > 0 ? state.slotsExpireAt : state.tokensExpireAt;
    state.staticSince = std::max(now, std::min(lapsed, now + maxFallbackDelay));
    state.staticRefilledAt = *state.staticSince;
    state.staticTokens = 0;
}

limit_answer team_limiter::admitFromLease(team_state& state, std::uint64_t hash, utils::time_point now)
{
    const bool isRateFree = state.limit.requestsPerSecond <= 0 || state.tokens > 0;
    const bool isSlotFree = state.limit.concurrent == 0 || state.running < state.concurrent;
    if (isRateFree && isSlotFree) {
        if (state.tokens > 0)
            --state.tokens;
        return {};
    }
    if (now < state.deniedUntil)
        return refuseFor(state.deniedUntil - now, hash);
    return { limit_verdict::AwaitGrant, {} };
}

limit_answer team_limiter::admitFromStaticShare(
    const utils::team_id& team, team_state& state, std::uint64_t hash, utils::time_point now) const
{
    const static_share share = staticShareOf(team, state.limit, m_self, m_members);
    const double rate = share.requestsPerSecond;
    const double bucketSize = std::max(rate, 1.0);
    const double earned = rate * utils::toSeconds(now - state.staticRefilledAt);
    state.staticTokens = std::min(state.staticTokens + earned, bucketSize);
    state.staticRefilledAt = now;
    if (state.limit.concurrent > 0 && state.running >= share.concurrent)
        return refuseFor(noSlotRetryAfter, hash);
    if (state.limit.requestsPerSecond <= 0)
        return {};
    if (state.staticTokens < 1) {
        const bool hasNoShare = rate <= 0;
        // The static share starts empty, so that repeated changes to it yield no tokens. A caller in the
        // first moments waits for the first token: a refusal would say that its team is over the limit
        // although it is far below.
        if (!hasNoShare && state.staticSince && now < *state.staticSince + m_limits.initialAnswerTimeout)
            return { limit_verdict::AwaitGrant, {} };
        return refuseFor(
            hasNoShare ? maxRetryAfter : utils::fromSeconds((1 - state.staticTokens) / rate), hash);
    }
    state.staticTokens -= 1;
    return {};
}

utils::duration team_limiter::answerTimeout(const team_state& state) const
{
    // The timeout doubles with each attempt: a later request invalidates the answer to an earlier one, so a
    // fixed timeout would invalidate every answer over a slow network.
    return m_limits.initialAnswerTimeout * (1 << std::min(state.unanswered, maxTimeoutDoublings));
}

bool team_limiter::shouldSendRequest(const team_state& state, utils::time_point now) const
{
    if (!state.isAnswered)
        return now >= *state.sentAt + answerTimeout(state);
    if (now < state.deniedUntil)
        return false;
    const bool isWaiting = !state.waiting.empty() && !usesStaticShare(state, now);
    const utils::duration gap
        = isWaiting ? m_limits.requestInterval / waitingIntervalDivisor : m_limits.requestInterval;
    if (state.sentAt && now < *state.sentAt + gap)
        return false;
    const bool isLow
        = state.limit.requestsPerSecond > 0 && state.arrivals > 0 && state.tokens < neededRequests(state) / 2;
    const bool isShareInUse = state.staticSince && now < state.lastUse + m_limits.forgetAfter;
    return isWaiting || isLow || isShareInUse || isSlotUpdateDue(state, now);
}

bool team_limiter::isSlotUpdateDue(const team_state& state, utils::time_point now) const
{
    if (state.limit.concurrent == 0 || (state.concurrent == 0 && state.running == 0))
        return false;
    const bool isRenewalDue = now >= state.slotsExpireAt - state.slotExpiry / 2;
    const bool isUnused = state.concurrent > state.running && now >= state.lastUse + m_limits.returnAfter;
    return isRenewalDue || isUnused;
}

bool team_limiter::isIdle(const team_state& state, utils::time_point now) const
{
    return !holdsQuota(state) && state.waiting.empty() && now >= state.lastUse + m_limits.forgetAfter;
}

void team_limiter::measureDemand(team_state& state, utils::time_point now) const
{
    const double elapsed
        = std::max(utils::toSeconds(now - state.demandAt), utils::toSeconds(m_limits.requestInterval));
    const double current = state.arrivals / elapsed;
    state.demand += demandSmoothing * (current - state.demand);
    if (state.demand < minDemand)
        state.demand = 0;
    state.demandAt = now;
    state.arrivals = 0;
}

std::uint32_t team_limiter::neededRequests(const team_state& state) const
{
    // Rounded down: where requests are rare, each one asks for itself. Tokens kept for a next request that
    // does not arrive in time are lost to the team, and with many nodes these would be most of a small
    // limit.
    return static_cast<std::uint32_t>(state.demand * utils::toSeconds(m_limits.horizon));
}

std::uint32_t team_limiter::wantedSlots(const team_state& state) const
{
    if (state.limit.concurrent == 0)
        return 0;
    const bool isFrequent = state.demand >= 1;
    return state.running + countOf(state.waiting) + (isFrequent ? 1 + state.running / 4 : 0);
}

quota_lease_request team_limiter::makeRequest(
    const utils::team_id& team, team_state& state, utils::time_point now)
{
    measureDemand(state, now);
    quota_lease_request request;
    request.team = team;
    request.borrower = m_self;
    request.sequence = m_nextSequence++;
    request.appliedSequence = state.appliedSequence;
    const std::uint32_t needed = neededRequests(state) + countOf(state.waiting);
    if (state.limit.requestsPerSecond > 0) {
        request.wantedRequests = needed > state.tokens ? needed - state.tokens : 0;
        request.returnedRequests = state.tokens > 2 * needed ? state.tokens - needed : 0;
        state.tokens -= request.returnedRequests;
    }
    request.wantedConcurrent = wantedSlots(state);
    // Lowered before the request is sent: the home may lend the rest to others as soon as it receives this.
    state.concurrent = std::min(state.concurrent, request.wantedConcurrent);
    request.heldConcurrent = state.limit.concurrent > 0 ? std::max(state.concurrent, state.running) : 0;
    state.waitingAtSend = countOf(state.waiting);
    state.waiting.clear();
    state.sentSequence = request.sequence;
    state.sentAt = now;
    state.isAnswered = false;
    return request;
}

} // namespace decisions

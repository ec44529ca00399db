#include "serverchoice.h"

#include "crowdregister.h"

#include "utils/hashing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <utility>

namespace decisions {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(choice_reason::Count_)> choiceReasons {
    "cost", "spread", "crowd", "above_bound"
};

/// Returns the parts that other requests may share: all but the last, which is the request's own.
std::span<const prompt_part> sharedOf(std::span<const prompt_part> parts)
{
    return parts.empty() ? parts : parts.first(parts.size() - 1);
}

std::uint32_t tokensOf(std::span<const prompt_part> parts)
{
    std::uint32_t tokens = 0;
    for (const prompt_part& part : parts)
        tokens += part.tokens;
    return tokens;
}

/// Rendezvous hash score of a server for a prompt, the same on every node; the highest ranks first.
double rankOf(const utils::server_id& server, std::uint64_t key)
{
    const std::uint64_t mixed = utils::combineHashes(key, utils::hash64(server.str()));
    return 1 / -std::log(utils::toUnitInterval(mixed));
}

/// Returns the key of the ranking that all nodes compute alike for a prompt: its last shared part.
std::uint64_t rankingKey(std::span<const prompt_part> parts)
{
    const std::span<const prompt_part> shared = sharedOf(parts);
    return shared.empty() ? parts.back().id : shared.back().id;
}

/// Returns the cost of an engine besides its work, as a fraction of the target.
double penaltyOf(const server_candidate& candidate)
{
    const double failed = server_choice::penaltyPerFailure * candidate.recentFailures;
    const double rampingUp = server_choice::rampUpPenalty * (1 - candidate.weight);
    return std::min(failed + rampingUp, server_choice::maxPenalty);
}

constexpr double minLasting = 0.05; // keeps the share of very short requests finite

double tieBreak(const server_candidate& candidate, std::uint64_t salt)
{
    return utils::toUnitInterval(utils::combineHashes(salt, utils::hash64(candidate.id.str())));
}

/// The requests of peers that were not heard lately, at one engine.
struct unheard_load {
    double peersPerTold = 0; ///< live peers that were not heard, for each one that was
    double meanTold = 0; ///< requests that peers have told, mean of the engines

    /// Estimates the requests of all nodes at an engine. A server's own report covers all of them. Otherwise
    /// the peers not heard are expected to have as much there as those heard; since these are few, the
    /// estimate is drawn towards the mean (the loads of engines taken as exponentially distributed).
    double estimate(const load_total& load) const
    {
        if (load.isReported || peersPerTold <= 0 || meanTold <= 0)
            return load.requests;
        const double expected = (1 + load.peerRequests) / (1 / meanTold + 1);
        return load.requests + peersPerTold * expected;
    }
};

} // namespace

std::string_view toString(choice_reason reason)
{
    return choiceReasons.at(static_cast<std::size_t>(reason));
}

std::optional<placement> server_choice::choose(const std::vector<server_candidate>& candidates,
    const placement_query& query, const server_loads& loads, utils::time_point now,
    std::vector<candidate_cost>* costs) const
{
    return query.parts.empty() ? choosePlain(candidates, query, loads, now, costs)
                               : chooseEngine(candidates, query, loads, now, costs);
}

std::optional<placement> server_choice::choosePlain(const std::vector<server_candidate>& candidates,
    const placement_query& query, const server_loads& loads, utils::time_point now,
    std::vector<candidate_cost>* costs) const
{
    std::optional<placement> best;
    for (const server_candidate& candidate : candidates) {
        if (candidate.weight <= 0)
            continue;
        const load_total load = loads.total(candidate.id, now);
        // While there are free slots, running requests cost only the risk that other nodes send there too.
        double cost = load.requests / candidate.weight;
        if (load.requests >= candidate.slots)
            cost += candidate.slots;
        cost += slownessCost * (candidate.slowdown - 1);
        if (candidate.dataCentre != query.dataCentre)
            cost += crossDataCentreCost;
        cost += std::min<double>(failureCost * candidate.recentFailures, candidate.slots);
        cost += tieBreak(candidate, query.salt) * 0.5;
        if (costs != nullptr)
            costs->push_back({ candidate, load, 0, cost, true });
        if (!best || cost < best->cost)
            best = placement { candidate.id, load, 0, cost };
    }
    return best;
}

server_choice::fleet_view server_choice::viewEngines(const std::vector<server_candidate>& candidates,
    const placement_query& query, const server_loads& loads, utils::time_point now) const
{
    std::vector<load_total> totals;
    double peerRequests = 0;
    for (const server_candidate& candidate : candidates) {
        totals.push_back(loads.total(candidate.id, now));
        peerRequests += totals.back().peerRequests;
    }
    const unheard_load unheard { loads.peerScale(now) - 1,
        peerRequests / static_cast<double>(totals.size()) };
    fleet_view fleet;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const server_candidate& candidate = candidates[i];
        const double requests = unheard.estimate(totals[i]);
        fleet.requests += requests;
        if (candidate.weight > 0)
            fleet.engines.push_back({ &candidate, totals[i], requests, heldTokens(candidate, query.parts),
                penaltyOf(candidate), false });
    }
    const mean_loads means = meanLoads(fleet.requests, candidates.size(), query.excluded);
    fleet.meanLoad = means.ofCandidates;
    // Where so many engines are excluded that the others cannot stay within the bound, they exceed it evenly.
    fleet.boundedMean = std::max(means.ofService, evenFactor * means.ofCandidates / boundFactor);
    // Engines of low weight have the same bound: with a lower one, all engines could be above their bounds,
    // and then the few engines without a penalty got all further requests.
    fleet.bound = boundFactor * fleet.boundedMean + boundExtra;
    if (!fleet.engines.empty())
        boundEngines(fleet);
    return fleet;
}

server_choice::mean_loads server_choice::meanLoads(
    double requests, std::size_t candidates, const excluded_servers& excluded)
{
    const auto inUse = static_cast<double>(candidates);
    const auto all = static_cast<double>(candidates + excluded.count);
    return { requests / inUse, (requests + excluded.requests) / all };
}

void server_choice::boundEngines(fleet_view& fleet)
{
    const double highLoad = highLoadFactor * fleet.boundedMean + highLoadExtra;
    const double highestPenalty = std::ranges::max(fleet.engines, {}, &engine_view::penalty).penalty;
    for (engine_view& view : fleet.engines) {
        const double load = view.requests + 1;
        view.isInBound = load <= fleet.bound;
        if (load > highLoad)
            view.penalty = highestPenalty;
    }
}

placement server_choice::placementAt(const engine_view& view, const fleet_view& fleet, choice_reason reason)
{
    placement placed { view.candidate->id, view.load, view.heldTokens };
    placed.view = bound_view { view.requests, fleet.boundedMean, fleet.bound };
    placed.reason = reason;
    return placed;
}

const server_candidate* server_choice::presumedHolder(
    const std::vector<engine_view>& views, const placement_query& query)
{
    const std::uint64_t key = rankingKey(query.parts);
    const std::uint32_t sharedTokens = tokensOf(sharedOf(query.parts));
    const server_candidate* first = nullptr;
    double firstRank = -1;
    for (const engine_view& view : views) {
        if (!view.isInBound)
            continue;
        if (view.heldTokens >= sharedTokens)
            return nullptr;
        const double rank = view.candidate->weight * rankOf(view.candidate->id, key);
        if (rank > firstRank) {
            firstRank = rank;
            first = view.candidate;
        }
    }
    return first;
}

const server_choice::engine_view* server_choice::engineOfSpread(const fleet_view& fleet,
    const placement_query& query, const server_loads& loads, utils::time_point now) const
{
    if (loads.peerScale(now) <= 1)
        return nullptr;
    const std::uint64_t key = rankingKey(query.parts);
    const double hotRequests = m_partUse.shareWithNext(key, now) * fleet.requests;
    if (hotRequests <= (boundFactor - 1) * fleet.meanLoad + boundExtra)
        return nullptr;
    std::vector<const engine_view*> spread;
    for (const engine_view& view : fleet.engines) {
        if (view.isInBound && view.penalty < penaltyPerFailure)
            spread.push_back(&view);
    }
    const auto needed = static_cast<std::size_t>(hotRequests / (spreadFactor * fleet.meanLoad)) + 1;
    if (needed < spread.size()) {
        std::ranges::sort(spread, std::greater<>(), [key](const engine_view* view) {
            return view->candidate->weight * rankOf(view->candidate->id, key);
        });
        spread.resize(needed);
    }
    if (spread.size() < 2)
        return nullptr;
    // The lower of two drawn: nodes that all took the lowest would fill one engine after the other.
    const auto draw = [&](std::uint64_t number) {
        return spread[utils::combineHashes(query.salt, number) % spread.size()];
    };
    const engine_view* first = draw(1);
    const engine_view* second = draw(2);
    return second->requests < first->requests ? second : first;
}

const server_choice::engine_view* server_choice::engineOfCrowd(
    const fleet_view& fleet, const placement_query& query)
{
    if (query.crowdPlace == 0)
        return nullptr;
    const std::uint64_t key = rankingKey(query.parts);
    std::vector<const engine_view*> ranking;
    for (const engine_view& view : fleet.engines)
        ranking.push_back(&view);
    std::ranges::sort(ranking, std::greater<>(), [key](const engine_view* view) {
        return view->candidate->weight * rankOf(view->candidate->id, key);
    });
    for (std::size_t i = 0; i < ranking.size(); ++i) {
        const engine_view* view = ranking[(query.crowdPlace + i) % ranking.size()];
        if (view->isInBound && view->penalty < penaltyPerFailure)
            return view;
    }
    return nullptr;
}

bool server_choice::isUnexpected(const utils::server_id& server,
    const std::vector<server_candidate>& candidates, std::span<const prompt_part> parts)
{
    if (tokensOf(sharedOf(parts)) < minPresumedTokens)
        return false;
    const server_candidate* first = firstOfRanking(candidates, rankingKey(parts));
    return first != nullptr && first->id != server;
}

double server_choice::costOf(const engine_view& view, const placement_query& query, double heldTokens)
{
    const response_times& times = query.times;
    const unsigned slots = view.candidate->slots;
    const double unheldTokens = std::max(0.0, query.promptTokens - heldTokens);
    const double prefill
        = (view.load.promptTokens + prefillCostFactor * unheldTokens) * times.secondsPerToken();
    const double wait = utils::toSeconds(times.slotWait(view.load.requests, slots, query.urgency));
    const double slowdown = view.candidate->slowdown;
    const double steps = fullEngineSlowdown * times.occupancySeconds() * view.load.requests / slots;
    const double penalty = view.penalty * utils::toSeconds(query.target);
    constexpr double tieSeconds = 1e-5; // small enough to order only engines of equal cost
    return slowdown * (prefill + wait + steps) + penalty + tieSeconds * tieBreak(*view.candidate, query.salt);
}

std::optional<placement> server_choice::chooseEngine(const std::vector<server_candidate>& candidates,
    const placement_query& query, const server_loads& loads, utils::time_point now,
    std::vector<candidate_cost>* costs) const
{
    const fleet_view fleet = viewEngines(candidates, query, loads, now);
    const std::vector<engine_view>& views = fleet.engines;
    const server_candidate* presumed = presumedHolder(views, query);
    const double presumedTokens = presumedHeldShare * tokensOf(sharedOf(query.parts));
    const auto cost = [&](const engine_view& view) {
        const double held = view.candidate == presumed ? std::max<double>(view.heldTokens, presumedTokens)
                                                       : view.heldTokens;
        return costOf(view, query, held);
    };
    if (costs != nullptr) {
        for (const engine_view& view : views)
            costs->push_back({ *view.candidate, view.load, view.heldTokens, cost(view), view.isInBound });
    }
    choice_reason spreadReason = choice_reason::Crowd;
    const engine_view* chosen = engineOfCrowd(fleet, query);
    if (chosen == nullptr) {
        spreadReason = choice_reason::Spread;
        chosen = engineOfSpread(fleet, query, loads, now);
    }
    if (chosen != nullptr) {
        placement placed = placementAt(*chosen, fleet, spreadReason);
        placed.cost = costOf(*chosen, query, chosen->heldTokens);
        placed.isUnexpected = isUnexpected(placed.server, candidates, query.parts);
        return placed;
    }
    const engine_view* best = nullptr;
    double bestCost = 0;
    for (const engine_view& view : views) {
        if (best != nullptr && best->isInBound && !view.isInBound)
            continue;
        const double viewCost = cost(view);
        if (best == nullptr || (view.isInBound && !best->isInBound) || viewCost < bestCost) {
            best = &view;
            bestCost = viewCost;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    const choice_reason reason = best->isInBound ? choice_reason::Cost : choice_reason::AboveBound;
    placement placed = placementAt(*best, fleet, reason);
    placed.cost = bestCost;
    placed.isUnexpected = isUnexpected(placed.server, candidates, query.parts);
    return placed;
}

std::optional<cache_source> server_choice::sourceFor(const server_candidate& chosen,
    const std::vector<server_candidate>& holders, std::span<const prompt_part> parts) const
{
    const std::span<const prompt_part> shared = sharedOf(parts);
    const std::uint32_t held = heldTokens(chosen, shared);
    std::optional<cache_source> best;
    for (const server_candidate& holder : holders) {
        if (holder.id == chosen.id || holder.weight <= 0)
            continue;
        const std::uint32_t holderTokens = heldTokens(holder, shared);
        const std::uint32_t surplus = holderTokens - std::min(held, holderTokens);
        if (surplus >= minCopyTokens && (!best || surplus > best->tokens))
            best = cache_source { holder.id, surplus };
    }
    return best;
}

std::optional<utils::server_id> server_choice::presumedSourceFor(const server_candidate& chosen,
    const std::vector<server_candidate>& holders, std::span<const prompt_part> parts,
    std::uint32_t knownTokens) const
{
    const std::span<const prompt_part> shared = sharedOf(parts);
    const std::uint32_t sharedTokens = tokensOf(shared);
    const std::uint32_t lacking = sharedTokens - std::min(heldTokens(chosen, shared), sharedTokens);
    if (lacking < minPresumedTokens || knownTokens >= presumedHeldShare * lacking)
        return std::nullopt;
    const server_candidate* first = firstOfRanking(holders, rankingKey(parts));
    const bool isUsable = first != nullptr && first->id != chosen.id && first->weight > 0;
    return isUsable ? std::optional(first->id) : std::nullopt;
}

const server_candidate* server_choice::firstOfRanking(
    const std::vector<server_candidate>& candidates, std::uint64_t key)
{
    const server_candidate* first = nullptr;
    double firstRank = 0;
    for (const server_candidate& candidate : candidates) {
        const double rank = rankOf(candidate.id, key);
        if (rank > firstRank) {
            first = &candidate;
            firstRank = rank;
        }
    }
    return first;
}

void server_choice::recordSent(
    const server_candidate& server, std::span<const prompt_part> parts, bool isUnexpected)
{
    if (server.cacheTokens == 0 || parts.empty())
        return;
    prefix_index& memory = prefixesOf(server.id, server.startedAtMs, server.cacheTokens);
    const std::span<const prompt_part> shared = sharedOf(parts);
    const std::uint32_t sharedTokens = tokensOf(shared);
    const bool isNew = sharedTokens >= minUpdateTokens && memory.heldTokens(shared) < sharedTokens;
    memory.touch(parts);
    if (isNew)
        addUpdate(server, shared, false, isUnexpected);
}

std::optional<std::uint64_t> server_choice::crowdKey(std::span<const prompt_part> parts)
{
    return tokensOf(sharedOf(parts)) < minUpdateTokens ? std::nullopt : std::optional(rankingKey(parts));
}

double server_choice::crowdShareOf(const bound_view& view, const response_times& times)
{
    // Requests that end within the window are not all in progress at once.
    const double lasting = std::min(1.0, times.occupancySeconds() / utils::toSeconds(crowd_register::window));
    return crowdShare * (view.bound - view.mean) / std::max(lasting, minLasting);
}

void server_choice::recordStarted(std::span<const prompt_part> parts, utils::time_point now)
{
    if (!sharedOf(parts).empty())
        m_partUse.started(rankingKey(parts), now);
}

void server_choice::recordEnded(std::span<const prompt_part> parts)
{
    if (!sharedOf(parts).empty())
        m_partUse.ended(rankingKey(parts));
}

void server_choice::recordWithdrawn(const server_candidate& server, std::span<const prompt_part> parts,
    std::uint32_t heldTokens, bool isUnexpected)
{
    if (server.cacheTokens == 0)
        return;
    std::uint32_t skippedTokens = 0;
    while (!parts.empty() && skippedTokens + parts.front().tokens <= heldTokens) {
        skippedTokens += parts.front().tokens;
        parts = parts.subspan(1);
    }
    prefixesOf(server.id, server.startedAtMs, server.cacheTokens).forget(parts);
    const std::span<const prompt_part> shared = sharedOf(parts);
    if (tokensOf(shared) >= minUpdateTokens)
        addUpdate(server, shared, true, isUnexpected);
}

void server_choice::addUpdate(
    const server_candidate& server, std::span<const prompt_part> parts, bool isWithdrawn, bool isUnexpected)
{
    if (m_updates.size() < maxUpdates)
        m_updates.push_back({ server.id.str(), server.startedAtMs, { parts.begin(), parts.end() },
            isWithdrawn, isUnexpected });
}

void server_choice::applyUpdate(const placement_update& update, std::uint64_t cacheTokens)
{
    if (cacheTokens == 0)
        return;
    prefix_index& memory = prefixesOf(utils::server_id(update.server), update.startedAtMs, cacheTokens);
    if (update.isWithdrawn)
        memory.forget(update.parts);
    else
        memory.touch(update.parts);
}

std::vector<placement_update> server_choice::takeUpdates()
{
    return std::exchange(m_updates, {});
}

prefix_index& server_choice::prefixesOf(
    const utils::server_id& server, std::uint64_t startedAtMs, std::uint64_t cacheTokens)
{
    auto found
        = m_prefixes.try_emplace(server, server_prefixes { startedAtMs, prefix_index(cacheTokens) }).first;
    if (found->second.startedAtMs != startedAtMs)
        found->second = { startedAtMs, prefix_index(cacheTokens) };
    return found->second.parts;
}

std::uint32_t server_choice::heldTokens(
    const server_candidate& server, std::span<const prompt_part> parts) const
{
    const auto memory = m_prefixes.find(server.id);
    if (memory == m_prefixes.end() || memory->second.startedAtMs != server.startedAtMs)
        return 0;
    return memory->second.parts.heldTokens(parts);
}

} // namespace decisions

#include "homehandover.h"

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

constexpr unsigned finalDrainRepeats = 5; // at 5% packet loss, all are lost in one of three million handovers

} // namespace

home_handover::home_handover(home_candidate self, home_handover_options options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void home_handover::setServers(const std::vector<homed_server>& servers, utils::time_point now)
{
    std::set<utils::server_id> listed;
    for (const homed_server& server : servers) {
        listed.insert(server.id);
        const auto [found, isNew] = m_entries.try_emplace(server.id);
        found->second.dataCentre = server.dataCentre;
        if (isNew)
            found->second.stateSince = now;
    }
    std::erase_if(m_entries, [&](const auto& item) { return !listed.contains(item.first); });
    for (auto& [server, e] : m_entries) {
        findHome(server, e, now);
        review(server, e, now);
    }
}

void home_handover::setView(handover_view view, utils::time_point now)
{
    const bool haveCandidatesChanged = view.homes.candidates() != m_view.homes.candidates();
    m_view = std::move(view);
    for (auto& [server, e] : m_entries) {
        if (haveCandidatesChanged)
            findHome(server, e, now);
        review(server, e, now);
    }
}

void home_handover::observe(cap_evidence evidence, utils::duration silence, utils::time_point now)
{
    m_silence = silence;
    if (evidence == m_evidence)
        return;
    const bool hasGained = !std::ranges::includes(m_evidence.heard, evidence.heard);
    const bool hasLost = !std::ranges::includes(evidence.heard, m_evidence.heard);
    m_evidence = std::move(evidence);
    if (hasGained)
        m_evidenceGainedAt = now;
    for (auto& [server, e] : m_entries) {
        // Another home may have taken the part of a lost witness, so it must be claimed again.
        if (hasLost)
            e.claimed = intersection(e.claimed, m_evidence.heard);
        // Answers from before the loss are void: a node that granted may have considered this one dead since.
        if (hasLost)
            e.isRoundOpen = false;
        if (!m_options.claimsGrowth && e.state == home_state::Active)
            e.claimed = m_evidence.heard;
    }
}

void home_handover::onItem(const home_candidate& from, const wire::handover_item& item, utils::time_point now)
{
    const utils::server_id server(item.server);
    const auto found = m_entries.find(server);
    if (found == m_entries.end()) {
        // The server is not in this node's configuration, so this node cannot be admitting requests for it.
        if (item.kind == wire::handover_kind::Claim)
            queueItem(from.id, wire::handover_kind::Grant, server, item.round.value, 0);
        return;
    }
    server_entry& e = found->second;
    if (item.kind == wire::handover_kind::Claim) {
        onClaim(from, server, e, item, now);
        return;
    }
    if (item.kind == wire::handover_kind::Drain) {
        const auto inherited = e.inherited.find(from.id);
        if (inherited != e.inherited.end())
            inherited->second = static_cast<unsigned>(item.inFlight.value);
        return;
    }
    const auto asked = e.asked.find(from.id);
    if (!e.isRoundOpen || item.round.value != e.round || asked == e.asked.end())
        return;
    if (item.kind == wire::handover_kind::Refuse) {
        e.isRoundOpen = false;
        e.nextRoundAt = now + m_options.retryRefusedAfter;
        e.claimed.clear();
        setState(e, home_state::Claiming, now);
        return;
    }
    asked->second.hasAnswered = true;
    e.inherited[from.id] = static_cast<unsigned>(item.inFlight.value);
    tryActivate(e, now);
}

void home_handover::setInFlight(const utils::server_id& server, unsigned count, utils::time_point now)
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end() || found->second.inFlight == count)
        return;
    found->second.inFlight = count;
    notifySuccessors(server, found->second, now);
}

void home_handover::onTick(utils::time_point now)
{
    for (auto& [server, e] : m_entries) {
        review(server, e, now);
        if (!e.successors.empty() && now - e.drainSentAt >= m_options.repeatEvery)
            notifySuccessors(server, e, now);
        std::erase_if(e.inherited,
            [&](const auto& item) { return item.second > 0 && hasExpiredBySilence(item.first, now); });
    }
}

std::vector<outgoing_handover> home_handover::takeItems()
{
    return std::exchange(m_items, {});
}

home_state home_handover::state(const utils::server_id& server) const
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() ? home_state::Idle : found->second.state;
}

utils::time_point home_handover::stateSince(const utils::server_id& server) const
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() ? utils::time_point::min() : found->second.stateSince;
}

double home_handover::share(const utils::server_id& server, const cap_evidence& evidence) const
{
    const auto found = m_entries.find(server);
    const bool isActive = found != m_entries.end() && found->second.state == home_state::Active;
    return isActive ? evidence.shareOf(found->second.claimed) : 0;
}

unsigned home_handover::inherited(const utils::server_id& server) const
{
    const auto found = m_entries.find(server);
    unsigned sum = 0;
    if (found != m_entries.end()) {
        for (const auto& [node, count] : found->second.inherited)
            sum += count;
    }
    return sum;
}

bool home_handover::countsServerReport(const utils::server_id& server, utils::time_point now) const
{
    const auto found = m_entries.find(server);
    return found != m_entries.end() && now < found->second.reportUntil;
}

bool home_handover::isHandedOver() const
{
    return std::ranges::all_of(m_entries, [](const auto& item) {
        return item.second.state != home_state::Active && item.second.inFlight == 0;
    });
}

void home_handover::findHome(const utils::server_id& server, server_entry& e, utils::time_point now) const
{
    const bool wasHome = e.isHome;
    e.isHome = m_view.homes.homeOf(server, e.dataCentre) == m_self.id;
    if (wasHome && !e.isHome)
        e.homeLostAt = now;
}

/// Returns whether a node that does not answer can no longer be admitting requests: it is considered dead,
/// and T has passed since it became silent, so its share has expired. After this node's evidence grew, T must
/// pass again: the network partition or pause that ended may have hidden a running node.
bool home_handover::hasExpiredBySilence(const utils::node_id& node, utils::time_point now) const
{
    const auto former = std::ranges::find_if(
        m_view.formers, [&](const former_candidate& item) { return item.node.id == node; });
    if (former == m_view.formers.end())
        return !std::ranges::any_of(
            m_view.homes.candidates(), [&](const home_candidate& candidate) { return candidate.id == node; });
    if (former->isLive)
        return false;
    return now - std::max(former->silentSince, m_evidenceGainedAt) >= m_silence;
}

void home_handover::openRound(const utils::server_id& server, server_entry& e, utils::time_point now)
{
    e.isRoundOpen = true;
    e.round = ++m_round;
    e.asked.clear();
    e.inherited.clear();
    ask(server, e, now);
    tryActivate(e, now);
}

void home_handover::review(const utils::server_id& server, server_entry& e, utils::time_point now)
{
    if (!e.isHome) {
        reviewNotHome(e, now);
        return;
    }
    if (e.state == home_state::Idle && now >= e.nextRoundAt)
        setState(e, home_state::Claiming, now);
    const bool needsClaim
        = e.state == home_state::Claiming || (e.state == home_state::Active && e.claimed != m_evidence.heard);
    if (needsClaim && !e.isRoundOpen && !m_evidence.lists.empty() && now >= e.nextRoundAt)
        openRound(server, e, now);
    if (e.isRoundOpen) {
        ask(server, e, now);
        tryActivate(e, now);
    }
}

/// An active node that is no longer home in its own view continues until the new home claims the server, so
/// that there is no gap. If no claim arrives, it stops on its own before its part is given to another node.
void home_handover::reviewNotHome(server_entry& e, utils::time_point now)
{
    const bool isClaimOverdue = now - e.homeLostAt >= m_silence;
    const bool hasNoCandidates = m_view.homes.candidates().empty();
    if (e.state == home_state::Active && !isClaimOverdue && !hasNoCandidates)
        return;
    e.isRoundOpen = false;
    e.claimed.clear();
    setState(e, home_state::Idle, now);
}

/// Adds the top-ranked live nodes, former candidates, and nodes that became live since the last round: these
/// are the possible homes in differing views.
void home_handover::addNodesToAsk(const utils::server_id& server, server_entry& e) const
{
    if (!m_options.claims)
        return;
    std::vector<home_candidate> formers;
    for (const former_candidate& former : m_view.formers)
        formers.push_back(former.node);
    std::vector<home_candidate> arrived;
    for (const arrival& item : m_view.arrivals) {
        if (item.at >= e.lastRoundEndedAt)
            arrived.push_back(item.node);
    }
    const bool isSmallFleet = m_view.homes.candidates().size() + formers.size() <= m_options.askAllUpTo;
    const std::size_t count = isSmallFleet ? m_options.askAllUpTo : m_options.asked + 1; // with this node
    for (const auto* list :
        { &m_view.homes.candidates(), &std::as_const(formers), &std::as_const(arrived) }) {
        for (const utils::node_id& node : home_map::ranking(*list, server, e.dataCentre, count)) {
            if (node != m_self.id)
                e.asked[node];
        }
    }
}

void home_handover::ask(const utils::server_id& server, server_entry& e, utils::time_point now)
{
    addNodesToAsk(server, e);
    for (auto& [node, asked] : e.asked) {
        const bool wasAsked = asked.askedAt != utils::time_point::min();
        if (asked.hasAnswered || (wasAsked && now - asked.askedAt < m_options.repeatEvery))
            continue;
        asked.askedAt = now;
        queueItem(node, wire::handover_kind::Claim, server, e.round, 0);
    }
}

void home_handover::tryActivate(server_entry& e, utils::time_point now)
{
    if (!e.isRoundOpen)
        return;
    bool bySilence = false;
    for (const auto& [node, asked] : e.asked) {
        if (asked.hasAnswered)
            continue;
        if (!hasExpiredBySilence(node, now))
            return;
        bySilence = true;
    }
    e.isRoundOpen = false;
    e.lastRoundEndedAt = now;
    e.claimed = m_evidence.heard;
    if (bySilence || e.state == home_state::Claiming)
        e.reportUntil = now + m_silence;
    if (e.state != home_state::Active)
        setState(e, home_state::Active, now);
}

void home_handover::setState(server_entry& e, home_state state, utils::time_point now)
{
    if (e.state != state)
        e.stateSince = now;
    e.state = state;
}

void home_handover::onClaim(const home_candidate& from, const utils::server_id& server, server_entry& e,
    const wire::handover_item& item, utils::time_point now)
{
    const bool keepsHome = e.isHome && home_map::ranksAbove(m_self, from, server, e.dataCentre);
    if (keepsHome) {
        queueItem(from.id, wire::handover_kind::Refuse, server, item.round.value, 0);
        return;
    }
    e.isRoundOpen = false;
    e.claimed.clear();
    e.nextRoundAt = now + m_options.retryRefusedAfter;
    setState(e, home_state::Idle, now);
    const unsigned running = e.inFlight + inherited(server);
    if (running > 0)
        e.successors[from.id] = finalDrainRepeats;
    queueItem(from.id, wire::handover_kind::Grant, server, item.round.value, running);
}

/// Repeats a count of zero a few times: if it were lost, a slot of the server would stay unused forever.
void home_handover::notifySuccessors(const utils::server_id& server, server_entry& e, utils::time_point now)
{
    if (e.successors.empty())
        return;
    e.drainSentAt = now;
    for (auto& [successor, repeatsLeft] : e.successors) {
        queueItem(successor, wire::handover_kind::Drain, server, 0, e.inFlight);
        repeatsLeft = e.inFlight == 0 ? repeatsLeft - 1 : finalDrainRepeats;
    }
    std::erase_if(e.successors, [](const auto& item) { return item.second == 0; });
}

void home_handover::queueItem(const utils::node_id& to, wire::handover_kind kind,
    const utils::server_id& server, std::uint64_t round, unsigned inFlight)
{
    m_items.push_back({ to, { kind, server.str(), { round }, { inFlight } } });
}

} // namespace fleet

#include "homehandover.h"

#include <algorithm>
#include <utility>

namespace fleet {

namespace {

constexpr unsigned zeroRepeats = 5; // at 5% loss all are lost once in three million handovers

} // namespace

home_handover::home_handover(home_candidate self, home_handover_options options)
    : m_self(std::move(self))
    , m_options(options)
{
}

void home_handover::setServers(const std::vector<homed_server>& servers, utils::time_point now)
{
    std::set<utils::server_id> named;
    for (const homed_server& server : servers) {
        named.insert(server.id);
        const auto [found, isNew] = m_entries.try_emplace(server.id);
        found->second.dataCentre = server.dataCentre;
        if (isNew)
            found->second.stateSince = now;
    }
    std::erase_if(m_entries, [&](const auto& item) { return !named.contains(item.first); });
    for (auto& [server, e] : m_entries) {
        findHome(server, e, now);
        review(server, e, now);
    }
}

void home_handover::setView(handover_view view, utils::time_point now)
{
    const bool haveHomesMoved = view.homes.candidates() != m_view.homes.candidates();
    m_view = std::move(view);
    for (auto& [server, e] : m_entries) {
        if (haveHomesMoved)
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
        m_grownAt = now;
    for (auto& [server, e] : m_entries) {
        // The part of a lost witness has perhaps been taken by another home: it is gone until claimed anew.
        if (hasLost)
            e.claimed = intersection(e.claimed, m_evidence.heard);
        // So are answers from before the loss: who granted may have taken this node for dead since.
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
        // This node's configuration does not name the server: it cannot be admitting for it.
        if (item.kind == wire::handover_kind::Claim)
            reply(from.id, wire::handover_kind::Grant, server, item.round.value, 0);
        return;
    }
    entry& e = found->second;
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
        e.notBefore = now + m_options.retryRefusedAfter;
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
    tellHeirs(server, found->second, now);
}

void home_handover::onTick(utils::time_point now)
{
    for (auto& [server, e] : m_entries) {
        review(server, e, now);
        if (!e.heirs.empty() && now - e.drainToldAt >= m_options.repeatEvery)
            tellHeirs(server, e, now);
        std::erase_if(e.inherited,
            [&](const auto& item) { return item.second > 0 && maySettleBySilence(item.first, now); });
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

void home_handover::findHome(const utils::server_id& server, entry& e, utils::time_point now) const
{
    const bool wasHome = e.isHome;
    e.isHome = m_view.homes.homeOf(server, e.dataCentre) == m_self.id;
    if (wasHome && !e.isHome)
        e.homeLostAt = now;
}

/// Whether that node cannot be admitting any more although it does not answer. It is taken for dead, and T
/// has passed since it fell silent: its share has ended. After this node's own share grew, T must pass
/// again: the cut or pause that ended may have hidden a node that is at work.
bool home_handover::maySettleBySilence(const utils::node_id& node, utils::time_point now) const
{
    const auto former = std::ranges::find_if(
        m_view.formers, [&](const former_candidate& item) { return item.node.id == node; });
    if (former == m_view.formers.end())
        return !std::ranges::any_of(
            m_view.homes.candidates(), [&](const home_candidate& candidate) { return candidate.id == node; });
    if (former->isLive)
        return false;
    return now - std::max(former->silentSince, m_grownAt) >= m_silence;
}

void home_handover::openRound(const utils::server_id& server, entry& e, utils::time_point now)
{
    e.isRoundOpen = true;
    e.round = ++m_round;
    e.asked.clear();
    e.inherited.clear();
    ask(server, e, now);
    tryActivate(e, now);
}

void home_handover::review(const utils::server_id& server, entry& e, utils::time_point now)
{
    if (!e.isHome) {
        reviewNotHome(e, now);
        return;
    }
    if (e.state == home_state::Idle && now >= e.notBefore)
        setState(e, home_state::Claiming, now);
    const bool wantsMore
        = e.state == home_state::Claiming || (e.state == home_state::Active && e.claimed != m_evidence.heard);
    if (wantsMore && !e.isRoundOpen && !m_evidence.lists.empty() && now >= e.notBefore)
        openRound(server, e, now);
    if (e.isRoundOpen) {
        ask(server, e, now);
        tryActivate(e, now);
    }
}

/// An active home that is none in its own view goes on until the new one claims: no gap. One that nobody
/// asks has been overlooked, and stops by itself before its part is given to another.
void home_handover::reviewNotHome(entry& e, utils::time_point now)
{
    const bool isOverlooked = now - e.homeLostAt >= m_silence;
    const bool isAlone = m_view.homes.candidates().empty();
    if (e.state == home_state::Active && !isOverlooked && !isAlone)
        return;
    e.isRoundOpen = false;
    e.claimed.clear();
    setState(e, home_state::Idle, now);
}

/// The first-ranked of the live, of the others, and of those that arrived since the last claim, since these
/// are the homes in views that differ.
void home_handover::addAsked(const utils::server_id& server, entry& e) const
{
    if (!m_options.claims)
        return;
    std::vector<home_candidate> formers;
    for (const former_candidate& former : m_view.formers)
        formers.push_back(former.node);
    std::vector<home_candidate> arrived;
    for (const arrival& item : m_view.arrivals) {
        if (item.at >= e.settledAt)
            arrived.push_back(item.node);
    }
    const bool isSmall = m_view.homes.candidates().size() + formers.size() <= m_options.askAllUpTo;
    const std::size_t count = isSmall ? m_options.askAllUpTo : m_options.asked + 1; // this node is among them
    for (const auto* list :
        { &m_view.homes.candidates(), &std::as_const(formers), &std::as_const(arrived) }) {
        for (const utils::node_id& node : home_map::ranking(*list, server, e.dataCentre, count)) {
            if (node != m_self.id)
                e.asked[node];
        }
    }
}

void home_handover::ask(const utils::server_id& server, entry& e, utils::time_point now)
{
    addAsked(server, e);
    for (auto& [node, asked] : e.asked) {
        const bool wasAsked = asked.askedAt != utils::time_point::min();
        if (asked.hasAnswered || (wasAsked && now - asked.askedAt < m_options.repeatEvery))
            continue;
        asked.askedAt = now;
        reply(node, wire::handover_kind::Claim, server, e.round, 0);
    }
}

void home_handover::tryActivate(entry& e, utils::time_point now)
{
    if (!e.isRoundOpen)
        return;
    bool bySilence = false;
    for (const auto& [node, asked] : e.asked) {
        if (asked.hasAnswered)
            continue;
        if (!maySettleBySilence(node, now))
            return;
        bySilence = true;
    }
    e.isRoundOpen = false;
    e.settledAt = now;
    e.claimed = m_evidence.heard;
    if (bySilence || e.state == home_state::Claiming)
        e.reportUntil = now + m_silence;
    if (e.state != home_state::Active)
        setState(e, home_state::Active, now);
}

void home_handover::setState(entry& e, home_state state, utils::time_point now)
{
    if (e.state != state)
        e.stateSince = now;
    e.state = state;
}

void home_handover::onClaim(const home_candidate& from, const utils::server_id& server, entry& e,
    const wire::handover_item& item, utils::time_point now)
{
    const bool keeps = e.isHome && home_map::ranksAbove(m_self, from, server, e.dataCentre);
    if (keeps) {
        reply(from.id, wire::handover_kind::Refuse, server, item.round.value, 0);
        return;
    }
    e.isRoundOpen = false;
    e.claimed.clear();
    e.notBefore = now + m_options.retryRefusedAfter;
    setState(e, home_state::Idle, now);
    const unsigned running = e.inFlight + inherited(server);
    if (running > 0)
        e.heirs[from.id] = zeroRepeats;
    reply(from.id, wire::handover_kind::Grant, server, item.round.value, running);
}

/// Repeats the last zero a few times: a lost one would keep a slot of the server unused for good.
void home_handover::tellHeirs(const utils::server_id& server, entry& e, utils::time_point now)
{
    if (e.heirs.empty())
        return;
    e.drainToldAt = now;
    for (auto& [heir, zerosLeft] : e.heirs) {
        reply(heir, wire::handover_kind::Drain, server, 0, e.inFlight);
        zerosLeft = e.inFlight == 0 ? zerosLeft - 1 : zeroRepeats;
    }
    std::erase_if(e.heirs, [](const auto& item) { return item.second == 0; });
}

void home_handover::reply(const utils::node_id& to, wire::handover_kind kind, const utils::server_id& server,
    std::uint64_t round, unsigned inFlight)
{
    m_items.push_back({ to, { kind, server.str(), { round }, { inFlight } } });
}

} // namespace fleet

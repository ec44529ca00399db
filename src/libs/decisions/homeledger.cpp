#include "homeledger.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace decisions {

namespace {

/// Own counts are kept for comparison with late reports; a report is late by one or two seconds.
constexpr utils::duration historyLifetime = std::chrono::seconds(5);
/// A request dispatched within this time may be missing in a report; if it were subtracted as an own one, it
/// would hide a request of another node.
constexpr utils::duration reportJitter = std::chrono::milliseconds(200);

} // namespace

home_ledger::home_ledger(utils::node_id self, unsigned slots, home_settings settings)
    : m_self(std::move(self))
    , m_slots(slots)
    , m_settings(settings)
{
}

void home_ledger::claim(std::span<const utils::node_id> predecessors, utils::time_point now)
{
    if (m_state == home_state::Holding)
        return;
    if (m_state != home_state::AwaitingHandover) {
        m_predecessors.clear();
        m_inherited = 0;
        m_claimedAt = now;
        if (m_state == home_state::Released && !m_successor.isEmpty())
            m_predecessors.try_emplace(m_successor);
        m_state = home_state::AwaitingHandover;
    }
    for (const auto& node : predecessors) {
        if (node != m_self)
            m_predecessors.try_emplace(node);
    }
}

void home_ledger::withdrawClaim()
{
    if (m_state != home_state::AwaitingHandover)
        return;
    m_state = home_state::NotHome;
    m_predecessors.clear();
}

std::vector<utils::node_id> home_ledger::claimTargets() const
{
    std::vector<utils::node_id> targets;
    for (const auto& [node, known] : m_predecessors) {
        if (!known.isResolved)
            targets.push_back(node);
    }
    return targets;
}

claim_answer home_ledger::onClaim(const utils::node_id& from, bool claimantOutranksSelf)
{
    switch (m_state) {
    case home_state::NotHome:
        return { claim_verdict::NeverHeld, 0, {} };
    case home_state::Released:
        if (m_successor == from)
            return { claim_verdict::Released, ownInFlight() + m_inherited, {} };
        return { claim_verdict::HeldElsewhere, ownInFlight(), m_successor };
    case home_state::AwaitingHandover:
        if (!claimantOutranksSelf)
            return { claim_verdict::Keeps, 0, m_self };
        m_state = home_state::NotHome;
        m_predecessors.clear();
        return { claim_verdict::NeverHeld, ownInFlight(), {} };
    case home_state::Holding:
        if (!claimantOutranksSelf)
            return { claim_verdict::Keeps, 0, m_self };
        m_state = home_state::Released;
        m_successor = from;
        return { claim_verdict::Released, ownInFlight() + m_inherited, {} };
    }
    return {};
}

void home_ledger::onClaimAnswer(const utils::node_id& from, const claim_answer& answer, utils::time_point now)
{
    const auto found = m_predecessors.find(from);
    if (m_state != home_state::AwaitingHandover || found == m_predecessors.end())
        return;
    m_inherited = std::max(m_inherited, answer.inFlight);
    switch (answer.verdict) {
    case claim_verdict::Released:
        hold(now);
        return;
    case claim_verdict::NeverHeld:
        found->second.isResolved = true;
        break;
    case claim_verdict::HeldElsewhere:
        found->second.isResolved = true;
        if (answer.holder != m_self)
            m_predecessors[answer.holder].isResolved = false;
        break;
    case claim_verdict::Keeps:
        found->second.isResolved = false;
        break;
    }
    resolve(now);
}

void home_ledger::onNodeDead(const utils::node_id& node, utils::time_point deadSince)
{
    const auto found = m_predecessors.find(node);
    if (found == m_predecessors.end())
        return;
    // The latest time counts: a node that was alive in between unnoticed may have refreshed its view then.
    auto& known = found->second.deadSince;
    known = known ? std::max(*known, deadSince) : deadSince;
}

void home_ledger::onNodeAlive(const utils::node_id& node)
{
    const auto found = m_predecessors.find(node);
    if (found != m_predecessors.end())
        found->second.deadSince.reset();
}

void home_ledger::onHolderAnnounced(const utils::node_id& node, bool outranksSelf)
{
    if (node == m_self)
        return;
    if (m_state == home_state::AwaitingHandover)
        m_predecessors[node].isResolved = false;
    if (m_state == home_state::Holding && outranksSelf) {
        m_state = home_state::Released;
        m_successor = node;
    }
}

void home_ledger::onRemainingInFlight(unsigned inFlight)
{
    m_inherited = std::min(m_inherited, inFlight);
}

void home_ledger::onViewStale()
{
    // A holder that continued after a pause would be a second one: by now T has elapsed for its successor.
    if (m_state == home_state::Holding) {
        m_state = home_state::Released;
        m_successor = {};
    }
}

void home_ledger::onServerReport(const server_report& report, utils::time_point now)
{
    if (report.sampledAt < m_reportedAt)
        return;
    m_reportedAt = report.sampledAt;
    const unsigned own = lowestCountNear(report.sampledAt);
    const unsigned unattributed = report.inFlight > own ? report.inFlight - own : 0;
    if (m_state != home_state::Holding) {
        m_inherited = unattributed;
        return;
    }
    // The inherited requests can only end, so the lowest report since the takeover is an upper bound of them.
    if (report.sampledAt > m_heldSince)
        m_inherited = std::min(m_inherited, unattributed);
    const bool isSettled = now - m_heldSince > m_settings.settleFor;
    m_unattributed = isSettled && unattributed <= m_settings.reportTolerance ? 0 : unattributed;
}

void home_ledger::setCapacity(unsigned slots, double rampUp)
{
    m_slots = slots;
    m_rampUp = rampUp;
}

admit_verdict home_ledger::check(
    bool holdsCache, const load_bound& bound, const fleet_state& fleet, utils::time_point now)
{
    resolve(now);
    if (m_state != home_state::Holding || !fleet.isCurrent)
        return admit_verdict::NotHolding;
    const unsigned next = load(now) + 1;
    if (ownInFlight() + 1 > slotShare(fleet) || next > m_slots)
        return admit_verdict::SlotsFull;
    if (next > boundedLoad(multipleFor(bound, holdsCache), weight(), fleet.mean))
        return admit_verdict::OverBound;
    return admit_verdict::Admitted;
}

admit_verdict home_ledger::admit(std::uint64_t ticket, bool holdsCache, const load_bound& bound,
    const fleet_state& fleet, utils::time_point now)
{
    const auto verdict = check(holdsCache, bound, fleet, now);
    if (verdict != admit_verdict::Admitted)
        return verdict;
    m_tickets.insert(ticket);
    recordCount(now);
    return verdict;
}

void home_ledger::finish(std::uint64_t ticket, utils::time_point now)
{
    if (m_tickets.erase(ticket) > 0)
        recordCount(now);
}

unsigned home_ledger::load(utils::time_point now) const
{
    const bool isReported = now - m_reportedAt <= m_settings.reportLifetime;
    return ownInFlight() + std::max(m_inherited, isReported ? m_unattributed : 0);
}

void home_ledger::resolve(utils::time_point now)
{
    if (m_state != home_state::AwaitingHandover || now - m_claimedAt < m_settings.deadAfter)
        return;
    const bool mayHold = std::ranges::all_of(m_predecessors, [&](const auto& entry) {
        const auto& deadSince = entry.second.deadSince;
        return entry.second.isResolved || (deadSince && now - *deadSince > m_settings.deadAfter);
    });
    const bool isReported = m_reportedAt >= m_claimedAt;
    const bool isSilent = now - m_claimedAt > m_settings.deadAfter + m_settings.reportLifetime;
    if (mayHold && (isReported || isSilent))
        hold(now);
}

void home_ledger::hold(utils::time_point now)
{
    m_state = home_state::Holding;
    m_heldSince = now;
    m_predecessors.clear();
    m_successor = {};
}

void home_ledger::recordCount(utils::time_point now)
{
    while (m_history.size() > 1 && now - m_history[1].at > historyLifetime + reportJitter)
        m_history.pop_front();
    m_history.push_back({ now, ownInFlight() });
}

unsigned home_ledger::lowestCountNear(utils::time_point when) const
{
    const auto later = std::ranges::upper_bound(m_history, when, {}, &count_sample::at);
    unsigned lowest = std::numeric_limits<unsigned>::max();
    for (auto it = later; it != m_history.begin();) {
        --it;
        lowest = std::min(lowest, it->inFlight);
        if (when - it->at > reportJitter)
            return lowest;
    }
    return 0;
}

unsigned home_ledger::slotShare(const fleet_state& fleet) const
{
    if (fleet.nodesHeard >= fleet.nodesListed)
        return m_slots;
    return std::max(1U, m_slots * fleet.nodesHeard / fleet.nodesListed);
}

} // namespace decisions

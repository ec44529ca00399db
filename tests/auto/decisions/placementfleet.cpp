#include "placementfleet.h"

#include "decisions/candidatewalk.h"
#include "decisions/rampup.h"

#include <algorithm>
#include <cmath>
#include <string>

using namespace decisions;
using namespace std::chrono_literals;

namespace {

constexpr unsigned slots = 32;
constexpr auto viewLifetime = 2s; ///< a node's view is stale after it; below home_settings::deadAfter
constexpr auto noticeTime = 1s; ///< a silent node is removed from the others' views after it
constexpr unsigned stepsPerSecond = 10;
constexpr std::size_t reportLagSteps = 10;
constexpr std::size_t recentSteps = 50; ///< five seconds, which cover digest lag and handover
constexpr unsigned lostPercent = 20;
constexpr double minMean = 4; ///< 1 / (c - 1) at c = 1.25: below it rounding to whole requests dominates

} // namespace

placement_fleet::placement_fleet(unsigned nodes, unsigned engines, double bound, std::uint64_t seed)
    : m_bound(bound)
    , m_random(seed)
    , m_engines(engines)
    , m_nodes(nodes)
{
    for (unsigned i = 0; i < engines; ++i) {
        m_engines[i].server.id = utils::server_id("engine-" + std::to_string(i));
        m_engines[i].server.slots = slots;
    }
    for (unsigned i = 0; i < nodes; ++i) {
        m_nodes[i].id = utils::node_id("node-" + std::to_string(i));
        m_nodes[i].lastActive = m_now;
        m_nodes[i].hiddenUntil.resize(nodes);
        m_nodes[i].ledgers = freshLedgers(m_nodes[i].id);
    }
}

std::vector<home_ledger> placement_fleet::freshLedgers(const utils::node_id& id) const
{
    return std::vector<home_ledger>(m_engines.size(), home_ledger(id, slots));
}

void placement_fleet::run(utils::duration length)
{
    for (utils::duration done {}; done < length; done += stepLength)
        step();
}

void placement_fleet::step()
{
    m_now += stepLength;
    ++m_steps;
    finishRequests();
    for (unsigned node = 0; node < m_nodes.size(); ++node) {
        if (!isActive(node))
            continue;
        resume(node);
        forgetDeadHolders(node);
        claimHomes(node);
    }
    if (m_steps % stepsPerSecond == 0)
        exchangeDigests();
    deliverReports();
    for (m_due += m_rate * utils::toSeconds(stepLength); m_due >= 1; m_due -= 1)
        arrive();
    checkStep();
}

void placement_fleet::pause(unsigned node, utils::duration length)
{
    m_nodes[node].pausedUntil = m_now + length;
}

void placement_fleet::kill(unsigned node)
{
    m_nodes[node].isAlive = false;
}

void placement_fleet::restart(unsigned node)
{
    auto& state = m_nodes[node];
    if (state.isAlive)
        return;
    state.isAlive = true;
    state.lastActive = m_now;
    state.ledgers = freshLedgers(state.id);
    state.view = {};
}

void placement_fleet::hide(unsigned viewer, unsigned node, utils::duration length)
{
    m_nodes[viewer].hiddenUntil[node] = m_now + length;
}

void placement_fleet::crashEngine(unsigned engine)
{
    auto& state = m_engines[engine];
    state.isUp = false;
    state.server.health = 0;
    for (const auto& lost : state.running)
        m_nodes[lost.node].ledgers[engine].finish(lost.ticket, m_now);
    state.running.clear();
    for (auto& node : m_nodes)
        node.view.remove(state.server.id);
}

void placement_fleet::restartEngine(unsigned engine)
{
    auto& state = m_engines[engine];
    if (state.isUp)
        return;
    state.isUp = true;
    state.server.health = 1;
    state.joinedAt = m_now;
}

bool placement_fleet::allHeld() const
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        const bool isHeld = std::ranges::any_of(m_nodes, [&](const auto& node) {
            return node.isAlive && node.ledgers[engine].state() == home_state::Holding;
        });
        if (m_engines[engine].isUp && !isHeld)
            return false;
    }
    return true;
}

bool placement_fleet::isActive(unsigned node) const
{
    return m_nodes[node].isAlive && m_nodes[node].pausedUntil <= m_now;
}

std::vector<utils::node_id> placement_fleet::listOf(unsigned node) const
{
    std::vector<utils::node_id> list;
    for (unsigned other = 0; other < m_nodes.size(); ++other) {
        if (m_nodes[node].hiddenUntil[other] <= m_now)
            list.push_back(m_nodes[other].id);
    }
    return list;
}

std::vector<utils::node_id> placement_fleet::viewOf(unsigned node) const
{
    std::vector<utils::node_id> view;
    for (unsigned other = 0; other < m_nodes.size(); ++other) {
        const bool isHeard = m_now - m_nodes[other].lastActive < noticeTime;
        const bool isListed = m_nodes[node].hiddenUntil[other] <= m_now;
        if (other == node || (isHeard && isListed))
            view.push_back(m_nodes[other].id);
    }
    return view;
}

unsigned placement_fleet::indexOf(const utils::node_id& id) const
{
    const auto found = std::ranges::find(m_nodes, id, &node_state::id);
    return static_cast<unsigned>(found - m_nodes.begin());
}

double placement_fleet::weightOf(const engine_state& engine) const
{
    return slots * rampUpWeight(engine.joinedAt, m_now);
}

double placement_fleet::poolWeight() const
{
    double weight = 0;
    for (const auto& engine : m_engines)
        weight += engine.isUp ? weightOf(engine) : 0;
    return weight;
}

double placement_fleet::largestRecentLoad() const
{
    double sum = 0;
    for (const auto& engine : m_engines) {
        const auto recent = static_cast<std::ptrdiff_t>(std::min(recentSteps, engine.reports.size()));
        auto largest = static_cast<unsigned>(engine.running.size());
        for (auto it = engine.reports.end() - recent; it != engine.reports.end(); ++it)
            largest = std::max(largest, *it);
        sum += engine.isUp ? largest : 0;
    }
    return sum;
}

double placement_fleet::trueMean() const
{
    double load = 0;
    for (const auto& engine : m_engines)
        load += static_cast<double>(engine.running.size());
    const double weight = poolWeight();
    return weight > 0 ? load / weight : 0;
}

fleet_state placement_fleet::stateOf(unsigned node)
{
    const auto count = static_cast<unsigned>(m_nodes.size());
    m_nodes[node].view.setPoolSlots(poolWeight());
    return { m_nodes[node].view.observe(m_now), count, count, m_nodes[node].isCurrent };
}

void placement_fleet::finishRequests()
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        std::erase_if(m_engines[engine].running, [&](const request& done) {
            if (done.end > m_now)
                return false;
            m_nodes[done.node].ledgers[engine].finish(done.ticket, m_now);
            return true;
        });
    }
}

void placement_fleet::resume(unsigned node)
{
    auto& state = m_nodes[node];
    state.isCurrent = m_now - state.lastActive < viewLifetime;
    if (!state.isCurrent) {
        for (auto& ledger : state.ledgers)
            ledger.onViewStale();
    }
    state.lastActive = m_now;
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
        state.ledgers[engine].setCapacity(slots, rampUpWeight(m_engines[engine].joinedAt, m_now));
}

void placement_fleet::forgetDeadHolders(unsigned node)
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        const bool isHeld = std::ranges::any_of(m_nodes, [&](const auto& other) {
            return m_now - other.lastActive < noticeTime
                && other.ledgers[engine].state() == home_state::Holding;
        });
        if (!isHeld)
            m_nodes[node].view.remove(m_engines[engine].server.id);
    }
}

void placement_fleet::claimHomes(unsigned node)
{
    constexpr std::size_t candidates = 4; // itself and three nodes that may have been home before
    auto& self = m_nodes[node];
    const auto view = viewOf(node);
    const auto listed = listOf(node);
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        auto& ledger = self.ledgers[engine];
        const auto& server = m_engines[engine].server.id;
        if (homeOf(server, view) != self.id) {
            ledger.withdrawClaim();
            continue;
        }
        if (ledger.state() == home_state::Holding)
            continue;
        std::vector<utils::node_id> predecessors;
        for (const auto index : rankHomes(server, listed, candidates))
            predecessors.push_back(listed[index]);
        ledger.claim(predecessors, m_now);
        for (const auto& target : ledger.claimTargets()) {
            const auto other = indexOf(target);
            if (m_skipsHandover) {
                ledger.onClaimAnswer(target, { claim_verdict::Released, 0, {} }, m_now);
                break;
            }
            if (!isActive(other)) {
                ledger.onNodeDead(target, m_nodes[other].lastActive);
                continue;
            }
            ledger.onNodeAlive(target);
            if (m_random() % 100 < lostPercent)
                continue;
            const auto answer
                = m_nodes[other].ledgers[engine].onClaim(self.id, outranks(server, self.id, target));
            if (m_random() % 100 >= lostPercent)
                ledger.onClaimAnswer(target, answer, m_now);
        }
    }
}

void placement_fleet::exchangeDigests()
{
    for (unsigned from = 0; from < m_nodes.size(); ++from) {
        if (!isActive(from))
            continue;
        for (unsigned to = 0; to < m_nodes.size(); ++to) {
            if (to == from || !isActive(to) || m_random() % 100 < lostPercent)
                continue;
            for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
                const auto& ledger = m_nodes[from].ledgers[engine];
                const auto& server = m_engines[engine].server.id;
                if (ledger.state() != home_state::Holding || !m_engines[engine].isUp)
                    continue;
                m_nodes[to].view.merge({ server, ledger.ownInFlight(), ledger.weight(), m_now });
                if (!m_skipsHandover)
                    m_nodes[to].ledgers[engine].onHolderAnnounced(
                        m_nodes[from].id, outranks(server, m_nodes[from].id, m_nodes[to].id));
            }
        }
    }
}

void placement_fleet::deliverReports()
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        auto& state = m_engines[engine];
        state.reports.push_back(static_cast<unsigned>(state.running.size()));
        if (!state.isUp || m_steps % stepsPerSecond != 0 || state.reports.size() <= reportLagSteps)
            continue;
        const server_report report { state.reports[state.reports.size() - 1 - reportLagSteps],
            m_now - reportLagSteps * stepLength };
        for (unsigned node = 0; node < m_nodes.size(); ++node) {
            const auto held = m_nodes[node].ledgers[engine].state();
            if (isActive(node) && (held == home_state::Holding || held == home_state::AwaitingHandover))
                m_nodes[node].ledgers[engine].onServerReport(report, m_now);
        }
    }
}

void placement_fleet::arrive()
{
    const auto entry = static_cast<unsigned>(m_random() % m_nodes.size());
    if (!isActive(entry))
        return;
    std::vector<placement_server> servers;
    for (const auto& engine : m_engines)
        servers.push_back(engine.server);
    std::vector<utils::server_id> ranking;
    for (const auto index : rankServers(m_random(), servers, servers.size()))
        ranking.push_back(servers[index].id);
    candidate_walk walk(std::move(ranking));
    for (auto step = walk.next(); std::holds_alternative<ask_home>(step); step = walk.next()) {
        const auto found = std::ranges::find(
            m_engines, std::get<ask_home>(step).server, [](const auto& engine) { return engine.server.id; });
        if (tryHome(entry, static_cast<unsigned>(found - m_engines.begin())))
            return;
        walk.onAnswer({ admit_verdict::OverBound });
    }
    ++m_found.refused;
}

bool placement_fleet::tryHome(unsigned entry, unsigned engine)
{
    auto& target = m_engines[engine];
    const auto home = homeOf(target.server.id, viewOf(entry));
    if (!home)
        return false;
    const auto node = indexOf(*home);
    if (!isActive(node))
        return false;
    auto& ledger = m_nodes[node].ledgers[engine];
    const load_bound bound { m_bound, 1 };
    m_nodes[node].view.merge({ target.server.id, ledger.ownInFlight(), ledger.weight(), m_now });
    const auto ticket = ++m_tickets;
    if (ledger.admit(ticket, true, bound, stateOf(node), m_now) != admit_verdict::Admitted)
        return false;
    const auto length = std::chrono::milliseconds(5000 + m_random() % 10'000);
    target.running.push_back({ ticket, node, m_now + length });
    checkDispatch(target);
    return true;
}

void placement_fleet::checkDispatch(const engine_state& engine)
{
    ++m_found.dispatches;
    const double expected = (largestRecentLoad() + 1) / poolWeight() * weightOf(engine);
    const double allowed = std::max({ 1.0, m_bound * expected, std::ceil(expected) });
    const auto load = static_cast<double>(engine.running.size());
    if (load > allowed + 1e-9)
        ++m_found.dispatchesOverBound;
    if (load > slots)
        ++m_found.dispatchesOverSlots;
}

void placement_fleet::checkStep()
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        unsigned holders = 0;
        for (unsigned node = 0; node < m_nodes.size(); ++node) {
            if (isActive(node) && m_nodes[node].ledgers[engine].state() == home_state::Holding)
                ++holders;
        }
        if (holders > 1)
            ++m_found.stepsWithTwoHolders;
    }
    const double mean = trueMean();
    if (mean * slots < minMean)
        return;
    double worst = 0;
    for (const auto& engine : m_engines) {
        const double weight = weightOf(engine);
        if (engine.isUp && weight >= slots)
            worst = std::max(worst, static_cast<double>(engine.running.size()) / weight / mean);
    }
    ++m_found.samples;
    m_found.samplesOverBound += worst > m_bound + 1e-9 ? 1 : 0;
    m_found.worstRatio = std::max(m_found.worstRatio, worst);
}

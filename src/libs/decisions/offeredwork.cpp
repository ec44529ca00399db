#include "offeredwork.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace decisions {

namespace {

// Below this rate a workspace is forgotten, in slot seconds a second.
constexpr double negligibleWork = 1e-4;
// Callers of a node that offer less have left, in slot seconds a second.
constexpr double noticeableWork = 0.05;
constexpr utils::duration expiryInterval = std::chrono::seconds(1);

double sumOf(const std::array<double, urgencyLevels>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

double work_total::work() const
{
    return sumOf(byUrgency);
}

double offered_work::decaying_rates::sum() const
{
    return sumOf(work);
}

void offered_work::decay(decaying_rates& rates, utils::time_point now)
{
    if (now <= rates.at)
        return;
    const double kept = std::exp(-utils::toSeconds(now - rates.at) / utils::toSeconds(decayTime));
    for (double& work : rates.work)
        work *= kept;
    rates.at = now;
}

void offered_work::record(std::uint64_t workspace, int urgency, double work, utils::time_point now)
{
    expire(now);
    const double rate = work / utils::toSeconds(decayTime);
    decay(m_all, now);
    m_all.work[urgencyIndex(urgency)] += rate;
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end() && m_workspaces.size() >= maxWorkspaces)
        return;
    decaying_rates& rates = found == m_workspaces.end() ? m_workspaces[workspace] : found->second;
    decay(rates, now);
    rates.work[urgencyIndex(urgency)] += rate;
}

void offered_work::updatePeer(
    const utils::node_id& peer, const offered_work_update& update, utils::time_point now)
{
    expire(now);
    peer_state& state = m_peers[peer];
    state = { update, now };
    if (state.update.heaviest.size() > maxHeaviest)
        state.update.heaviest.resize(maxHeaviest);
}

bool offered_work::hasHeard(utils::time_point now) const
{
    return std::ranges::any_of(m_peers, [now](const auto& entry) {
        return now - entry.second.at <= peerLifetime && sumOf(entry.second.update.byUrgency) > noticeableWork;
    });
}

offered_work_update offered_work::update(utils::time_point now)
{
    expire(now);
    decay(m_all, now);
    offered_work_update message;
    message.byUrgency = m_all.work;
    const double least = minNamedShare * m_all.sum();
    for (auto& [workspace, rates] : m_workspaces) {
        decay(rates, now);
        if (rates.sum() >= least)
            message.heaviest.push_back({ workspace, rates.sum() });
    }
    std::ranges::sort(message.heaviest, [](const workspace_work& first, const workspace_work& second) {
        return first.work != second.work ? first.work > second.work : first.workspace < second.workspace;
    });
    if (message.heaviest.size() > maxHeaviest)
        message.heaviest.resize(maxHeaviest);
    message.otherWorkspaces = static_cast<std::uint32_t>(m_workspaces.size() - message.heaviest.size());
    return message;
}

work_total offered_work::total(std::size_t livePeers, utils::time_point now)
{
    const offered_work_update own = update(now);
    work_total total;
    std::size_t heard = 0;
    const auto add = [&total](const offered_work_update& update, double scale) {
        double named = 0;
        for (std::size_t i = 0; i < update.byUrgency.size(); ++i)
            total.byUrgency[i] += scale * update.byUrgency[i];
        for (const workspace_work& entry : update.heaviest) {
            total.byWorkspace[entry.workspace] += scale * entry.work;
            named += entry.work;
        }
        total.otherWork += scale * std::max(0.0, sumOf(update.byUrgency) - named);
        total.otherWorkspaces = std::max(total.otherWorkspaces, update.otherWorkspaces);
    };
    for (const auto& [peer, state] : m_peers)
        heard += now - state.at <= peerLifetime ? 1 : 0;
    const double scale
        = heard == 0 ? 1 : static_cast<double>(std::max(livePeers, heard)) / static_cast<double>(heard);
    for (const auto& [peer, state] : m_peers) {
        if (now - state.at <= peerLifetime)
            add(state.update, scale);
    }
    // Without a word of peers, the others are taken to be like this node.
    add(own, heard == 0 ? static_cast<double>(livePeers + 1) : 1);
    return total;
}

std::optional<std::array<double, urgencyLevels>> offered_work::sharesByUrgency(
    std::uint64_t workspace, utils::time_point now)
{
    const auto found = m_workspaces.find(workspace);
    if (found == m_workspaces.end())
        return std::nullopt;
    decay(found->second, now);
    std::array<double, urgencyLevels> shares = found->second.work;
    const double sum = found->second.sum();
    if (sum <= 0)
        return std::nullopt;
    for (double& share : shares)
        share /= sum;
    return shares;
}

void offered_work::expire(utils::time_point now)
{
    if (now - m_expiredAt < expiryInterval)
        return;
    m_expiredAt = now;
    for (auto& [workspace, rates] : m_workspaces)
        decay(rates, now);
    std::erase_if(m_workspaces, [](const auto& entry) { return entry.second.sum() < negligibleWork; });
    std::erase_if(m_peers, [now](const auto& entry) { return now - entry.second.at > peerLifetime; });
}

} // namespace decisions

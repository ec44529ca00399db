#include "overloadcontrol.h"

#include "utils/hashing.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

namespace decisions {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(admission_bound::Count_)> boundNames { "none",
    "urgency", "workspace" };
constexpr double meanDecay = 1 - 1.0 / 256; // per request, of the mean work of its urgency
constexpr utils::duration loadSmoothing = std::chrono::milliseconds(100);
constexpr utils::duration sharesLifetime = std::chrono::seconds(1);
constexpr double maxPatience = 6; // as a multiple of the work of a request; bounds the queues of short ones
constexpr double shortageShare = 0.9; // of the capacity, offered
constexpr double recoverySeconds = 5; // of the corrected capacity, without a shortage
constexpr double negligibleWork = 1e-6; // slot seconds a second
constexpr double noticeableShare = 0.02; // of all work, by one urgency
constexpr double negligibleShare = 1e-9; // rounding
constexpr double partTolerance = 0.1; // of the even part, for the error of measured rates
constexpr int shareRounds = 20; // halvings of the interval in which the least share lies

double sumOf(const std::array<double, urgencyLevels>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

} // namespace

std::string_view toString(admission_bound bound)
{
    return boundNames.at(static_cast<std::size_t>(bound));
}

void overload_control::record(const work_query& query, utils::time_point now)
{
    m_offered.record(query.workspace, query.urgency, query.work, now);
    const std::size_t urgency = urgencyIndex(query.urgency);
    m_work[urgency] = meanDecay * m_work[urgency] + query.work;
    m_requests[urgency] = meanDecay * m_requests[urgency] + 1;
}

admission_share overload_control::shareOf(const work_query& query) const
{
    const auto heavy = m_heavy.find(query.workspace);
    const group_shares& group = heavy == m_heavy.end() ? m_others : heavy->second;
    admission_share result { 1, admission_bound::None, false, m_offeredWork, m_capacity };
    if (!group.isBound)
        return result;
    result.isShared = true;
    result.share = shareFor(group, urgencyIndex(query.urgency), query.work);
    if (result.share < 1)
        result.bound = heavy == m_heavy.end() ? admission_bound::Urgency : admission_bound::Workspace;
    return result;
}

double overload_control::shareFor(const group_shares& group, std::size_t urgency, double work) const
{
    const urgency_values& shares = group.byUrgency;
    const double usual = shares[urgency];
    // Halfway to the neighbours: no request gets more than one that is more urgent, whatever their work.
    const double least = urgency + 1 < shares.size() ? (usual + shares[urgency + 1]) / 2 : 0;
    const double most = urgency > 0 ? (usual + shares[urgency - 1]) / 2 : 1;
    const double exponent = std::clamp(work / meanWork(urgency), minWorkExponent, maxWorkExponent);
    const double low = std::max(least, minWorkFactor * usual);
    const double high = std::min(most, maxWorkFactor * usual);
    // Rounding may leave the bounds of equal shares in the wrong order.
    return std::clamp(std::pow(usual, exponent), low, std::max(low, high));
}

bool overload_control::isAdmitted(const admission_share& share, std::uint64_t hash)
{
    return share.share >= 1 || utils::toUnitInterval(hash) < share.share;
}

void overload_control::update(const service_room& room, utils::time_point now)
{
    const work_total total = m_offered.total(room.livePeers, now);
    m_offeredWork = total.work();
    m_fullLoad = fullLoad(total, room);
    observeLoad(room, now);
    m_updatedAt = now;
    m_capacity = room.slots
        * std::clamp(m_correction + loadGain * (m_fullLoad - m_load), minCorrection, maxCorrection);
    m_heavy.clear();
    m_others = {};
    const bool isShort = m_offeredWork > std::max(m_capacity, shortageSlots * room.slots);
    if (!isShort || m_load < idleLoad || m_capacity <= 0)
        return;
    const even_part part = evenPart(total, m_capacity);
    urgency_values othersWork = total.byUrgency;
    double othersCapacity = m_capacity;
    for (const auto& [workspace, work] : total.byWorkspace) {
        if (work <= part.heavyWork || workspace == 0)
            continue;
        const auto known = m_offered.sharesByUrgency(workspace, now);
        urgency_values byUrgency = known.value_or(total.byUrgency);
        const double scale = known ? 1 : 1 / total.work();
        for (std::size_t i = 0; i < byUrgency.size(); ++i) {
            byUrgency[i] *= scale * work;
            othersWork[i] = std::max(0.0, othersWork[i] - byUrgency[i]);
        }
        m_heavy[workspace] = shareOut(byUrgency, part.work);
        othersCapacity -= part.work;
    }
    m_others = shareOut(othersWork, std::max(0.0, othersCapacity));
}

void overload_control::expire(utils::time_point now)
{
    if (now - m_updatedAt < sharesLifetime)
        return;
    m_offeredWork = 0;
    m_heavy.clear();
    m_others = {};
}

double overload_control::fullLoad(const work_total& total, const service_room& room)
{
    const double least = noticeableShare * total.work();
    const auto urgencies
        = std::ranges::count_if(total.byUrgency, [least](double work) { return work > least; });
    return 1 + (urgencies > 1 ? mixedQueueShare : evenQueueShare) * std::min(room.patience, maxPatience);
}

void overload_control::observeLoad(const service_room& room, utils::time_point now)
{
    if (room.slots <= 0)
        return;
    const double load = room.requests / room.slots;
    if (m_updatedAt == utils::time_point()) {
        m_load = load;
        return;
    }
    const double seconds = utils::toSeconds(now - m_updatedAt);
    const double kept = std::exp(-seconds / utils::toSeconds(loadSmoothing));
    m_load = kept * m_load + (1 - kept) * load;
    const bool isShort = m_offeredWork > shortageShare * m_capacity;
    const double change
        = isShort ? correctionPerSecond * (m_fullLoad - m_load) : (1 - m_correction) / recoverySeconds;
    m_correction = std::clamp(m_correction + change * std::min(1.0, seconds), minCorrection, maxCorrection);
}

overload_control::even_part overload_control::evenPart(const work_total& total, double capacity)
{
    std::vector<std::pair<double, double>> claims; // work of each workspace, and number of workspaces
    for (const auto& [workspace, work] : total.byWorkspace)
        claims.emplace_back(work, 1);
    if (total.otherWorkspaces > 0)
        claims.emplace_back(total.otherWork / total.otherWorkspaces, total.otherWorkspaces);
    std::ranges::sort(claims);
    const double count = std::accumulate(
        claims.begin(), claims.end(), 0.0, [](double sum, const auto& claim) { return sum + claim.second; });
    double left = capacity;
    double remaining = count;
    double median = 0;
    std::optional<double> part;
    for (const auto& [work, number] : claims) {
        if (!part && work * remaining >= left)
            part = left / remaining;
        left -= work * number;
        if (remaining > count / 2)
            median = work;
        remaining -= number;
    }
    const double work = part.value_or(capacity);
    return { work, std::max(heavyFactor * median, (1 + partTolerance) * work) };
}

overload_control::group_shares overload_control::shareOut(const urgency_values& work, double capacity) const
{
    group_shares group;
    group.byUrgency.fill(1);
    const double offered = sumOf(work);
    if (offered <= capacity * (1 + negligibleShare))
        return group;
    group.isBound = true;
    urgency_values requests {};
    for (std::size_t i = 0; i < work.size(); ++i)
        requests[i] = work[i] / meanWork(i);
    const double allRequests = sumOf(requests);
    double low = 0;
    double high = capacity / offered;
    for (int round = 0; round < shareRounds; ++round) {
        const double least = (low + high) / 2;
        const urgency_values shares = sharesAbove(least, work, capacity);
        const double admitted = std::inner_product(shares.begin(), shares.end(), requests.begin(), 0.0);
        (least < leastShare * admitted / allRequests ? low : high) = least;
    }
    group.byUrgency = sharesAbove(low, work, capacity);
    return group;
}

overload_control::urgency_values overload_control::sharesAbove(
    double least, const urgency_values& work, double capacity)
{
    urgency_values shares {};
    double left = std::max(0.0, capacity - least * sumOf(work));
    for (std::size_t i = 0; i < work.size(); ++i) {
        // Urgencies of which nothing is offered here get what a small offer would.
        const double more = std::min(1 - least, left / std::max(work[i], negligibleWork));
        left = std::max(0.0, left - more * work[i]);
        shares[i] = least + more;
    }
    return shares;
}

double overload_control::meanWork(std::size_t urgency) const
{
    if (m_requests[urgency] > 0 && m_work[urgency] > 0)
        return m_work[urgency] / m_requests[urgency];
    // Only other nodes have seen such requests.
    const double requests = sumOf(m_requests);
    return requests > 0 && sumOf(m_work) > 0 ? sumOf(m_work) / requests : 1;
}

} // namespace decisions

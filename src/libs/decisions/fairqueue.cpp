#include "fairqueue.h"

#include "utils/softassert.h"

#include <algorithm>

namespace decisions {

namespace {

constexpr double minWeight = 0.001;
constexpr double minDrainRate = 0.001;
constexpr utils::duration waitWithoutServers = std::chrono::hours(24 * 365);
constexpr utils::duration expiryResolution { 1 };

double weightedWork(const queue_entry& entry)
{
    return utils::toSeconds(entry.expectedWork) / std::max(entry.weight, minWeight);
}

} // namespace

fair_queue::fair_queue(const fair_queue_limits& limits)
    : m_limits(limits)
    , m_admission(limits.admission)
{
}

std::optional<refusal> fair_queue::push(const queue_entry& entry, utils::time_point now)
{
    LF_ASSERT(!m_positions.contains(entry.id) && !m_running.contains(entry.id),
        return m_admission.refuse(utils::error_kind::Internal, queryFor(entry, now), now));
    if (m_limits.shedsLoad) {
        if (const auto refused = m_admission.decide(queryFor(entry, now), now))
            return refused;
    }
    if (m_positions.size() >= m_limits.maxEntries && !makeRoom(entry))
        return m_admission.refuse(utils::error_kind::QueueFull, queryFor(entry, now), now);
    insert(entry, now);
    return std::nullopt;
}

void fair_queue::insert(const queue_entry& entry, utils::time_point now)
{
    const std::size_t index = classOf(entry);
    const order_key key = keyFor(entry);
    class_queue& queue = m_queues.at(index);
    queue.items.emplace(key, item { entry, startBy(entry, now) });
    queue.finishTags[entry.team] = key.start + weightedWork(entry);
    m_positions[entry.id] = { index, key };
    ++m_sequence;
}

std::optional<queue_entry> fair_queue::takeNext(utils::time_point now)
{
    while (const auto index = nextClass()) {
        class_queue& queue = m_queues.at(*index);
        const auto [key, head] = *queue.items.begin();
        queue.virtualTime = std::max(queue.virtualTime, key.start);
        takeOut(head.entry.id);
        if (now > head.startBy) {
            m_evicted.push_back({ head.entry, utils::error_kind::DeadlineUnreachable });
            continue;
        }
        updateGuarantees(*index, utils::toSeconds(head.entry.expectedWork));
        m_running[head.entry.id] = { *index, key, head };
        m_rate.started(head.entry.id, head.entry.expectedWork, now);
        return head.entry;
    }
    return std::nullopt;
}

void fair_queue::finished(entry_id id, utils::time_point now, bool isComplete)
{
    m_running.erase(id);
    m_rate.finished(id, now, isComplete);
}

void fair_queue::putBack(entry_id id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    const running_entry returned = found->second;
    m_running.erase(found);
    m_rate.cancelled(id);
    m_queues.at(returned.queue).items.emplace(returned.key, returned.queued);
    m_positions[id] = { returned.queue, returned.key };
}

bool fair_queue::remove(entry_id id)
{
    if (!m_positions.contains(id))
        return false;
    takeOut(id);
    return true;
}

std::vector<refused_entry> fair_queue::expire(utils::time_point now)
{
    for (const entry_id id : findLateEntries(now))
        m_evicted.push_back({ takeOut(id), utils::error_kind::DeadlineUnreachable });

    std::vector<refused_entry> result;
    result.reserve(m_evicted.size());
    for (const evicted_entry& evicted : m_evicted) {
        const admission_query query = queryFor(evicted.entry, now);
        result.push_back({ evicted.entry, m_admission.refuse(evicted.kind, query, now) });
    }
    m_evicted.clear();
    return result;
}

std::vector<entry_id> fair_queue::findLateEntries(utils::time_point now) const
{
    std::vector<entry_id> result;
    slot_forecast forecast = forecastNow(now);
    for (const class_queue& queue : m_queues) {
        for (const auto& [key, waiting] : queue.items) {
            // Later arrivals of lighter teams and higher classes may have overtaken the entry since it was
            // admitted. If it would be refused at its latest start time, it is refused now and does not
            // wait until then.
            const bool isForecastLate = m_limits.slots > 0 && now + forecast.nextStart() > waiting.startBy;
            if (now > waiting.startBy || isForecastLate)
                result.push_back(waiting.entry.id);
            else if (m_limits.slots > 0)
                forecast.occupy(waiting.entry.expectedWork);
        }
    }
    return result;
}

std::vector<queue_entry> fair_queue::removeIf(const std::function<bool(const queue_entry&)>& isRevoked)
{
    std::vector<entry_id> revoked;
    for (const class_queue& queue : m_queues) {
        for (const auto& [key, waiting] : queue.items) {
            if (isRevoked(waiting.entry))
                revoked.push_back(waiting.entry.id);
        }
    }
    std::vector<queue_entry> result;
    result.reserve(revoked.size());
    for (const entry_id id : revoked)
        result.push_back(takeOut(id));
    return result;
}

utils::time_point fair_queue::nextExpiry() const
{
    if (!m_evicted.empty())
        return utils::time_point::min();
    auto earliest = utils::time_point::max();
    for (const class_queue& queue : m_queues) {
        for (const auto& [key, waiting] : queue.items)
            earliest = std::min(earliest, waiting.startBy);
    }
    return earliest == utils::time_point::max() ? earliest : earliest + expiryResolution;
}

utils::duration fair_queue::estimatedWait(const queue_entry& entry, utils::time_point now) const
{
    if (m_limits.slots == 0)
        return waitWithoutServers;
    slot_forecast forecast = forecastNow(now);
    const std::size_t own = classOf(entry);
    const order_key ownKey = keyFor(entry);
    for (std::size_t index = 0; index <= own; ++index) {
        for (const auto& [key, waiting] : m_queues.at(index).items) {
            if (index < own || key < ownKey)
                forecast.occupy(waiting.entry.expectedWork);
        }
    }
    return forecast.nextStart();
}

slot_forecast fair_queue::forecastNow(utils::time_point now) const
{
    return { m_rate.remaining(now), m_limits.slots, m_rate.slowdown(now) };
}

double fair_queue::drainRate(utils::time_point now) const
{
    return std::max(static_cast<double>(m_limits.slots) / m_rate.slowdown(now), minDrainRate);
}

std::size_t fair_queue::size(priority_class priority) const
{
    return m_queues.at(static_cast<std::size_t>(priority)).items.size();
}

std::size_t fair_queue::classOf(const queue_entry& entry) const
{
    return m_limits.hasPriorityClasses ? static_cast<std::size_t>(entry.priority) : 0;
}

fair_queue::order_key fair_queue::keyFor(const queue_entry& entry) const
{
    if (!m_limits.isFair)
        return { 0, m_sequence };
    const class_queue& queue = m_queues.at(classOf(entry));
    const auto finish = queue.finishTags.find(entry.team);
    const double own = finish == queue.finishTags.end() ? 0 : finish->second;
    return { std::max(queue.virtualTime, own), m_sequence };
}

utils::time_point fair_queue::startBy(const queue_entry& entry, utils::time_point now) const
{
    if (!m_limits.shedsLoad)
        return utils::time_point::max();
    const auto longest = m_limits.admission.maxWait.at(static_cast<std::size_t>(entry.priority));
    return std::min(now + longest, entry.deadline - entry.expectedWork);
}

bool fair_queue::hasRoom(std::size_t queue) const
{
    if (m_running.size() >= m_limits.slots)
        return false;
    const double part = m_limits.ceiling.at(queue) * static_cast<double>(m_limits.slots);
    const auto allowed = std::max<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(part), 1);
    return std::ranges::count_if(m_running, [&](const auto& run) { return run.second.queue == queue; })
        < allowed;
}

std::optional<std::size_t> fair_queue::nextClass() const
{
    std::optional<std::size_t> urgent;
    for (std::size_t index = 0; index < classes; ++index) {
        const class_queue& queue = m_queues.at(index);
        if (queue.items.empty() || !hasRoom(index))
            continue;
        const double headWork = utils::toSeconds(queue.items.begin()->second.entry.expectedWork);
        if (urgent && m_limits.guarantee.at(index) > 0 && queue.owed >= headWork)
            return index;
        if (!urgent)
            urgent = index;
    }
    return urgent;
}

void fair_queue::updateGuarantees(std::size_t served, double work)
{
    for (std::size_t index = 0; index < classes; ++index) {
        class_queue& queue = m_queues.at(index);
        if (index == served) {
            queue.owed = std::max(queue.owed - work, 0.0);
            continue;
        }
        if (queue.items.empty()) {
            queue.owed = 0;
            continue;
        }
        // The credit is capped at the work of one entry. Otherwise a class that its ceiling kept from
        // starting would later take all slots at once.
        const double headWork = utils::toSeconds(queue.items.begin()->second.entry.expectedWork);
        queue.owed = std::min(queue.owed + m_limits.guarantee.at(index) * work, headWork);
    }
}

bool fair_queue::makeRoom(const queue_entry& entry)
{
    if (!m_limits.isFair)
        return false;
    const auto victim = evictionCandidate(entry);
    if (!victim)
        return false;
    m_evicted.push_back({ takeOut(*victim), utils::error_kind::QueueFull });
    return true;
}

std::optional<entry_id> fair_queue::evictionCandidate(const queue_entry& entry) const
{
    const std::size_t own = classOf(entry);
    for (std::size_t index = classes; index-- > own;) {
        std::map<utils::team_id, double> backlog;
        for (const auto& [key, waiting] : m_queues.at(index).items)
            backlog[waiting.entry.team] += weightedWork(waiting.entry);
        if (backlog.empty())
            continue;
        const auto heaviest
            = std::ranges::max_element(backlog, {}, [](const auto& team) { return team.second; });
        const double ownBacklog = index == own ? backlog[entry.team] + weightedWork(entry) : 0;
        if (heaviest->second <= ownBacklog)
            continue;
        const auto& items = m_queues.at(index).items;
        const auto newest = std::find_if(items.rbegin(), items.rend(),
            [&](const auto& waiting) { return waiting.second.entry.team == heaviest->first; });
        return newest->second.entry.id;
    }
    return std::nullopt;
}

queue_entry fair_queue::takeOut(entry_id id)
{
    const auto found = m_positions.find(id);
    LF_ASSERT(found != m_positions.end(), return {});
    class_queue& queue = m_queues.at(found->second.queue);
    const auto waiting = queue.items.find(found->second.key);
    queue_entry entry = waiting->second.entry;
    queue.items.erase(waiting);
    m_positions.erase(found);
    if (queue.items.empty())
        queue.finishTags.clear();
    return entry;
}

admission_query fair_queue::queryFor(const queue_entry& entry, utils::time_point now) const
{
    return { entry, estimatedWait(entry, now), drainRate(now) };
}

} // namespace decisions

#include "repeatallowance.h"

#include <algorithm>

namespace decisions {

namespace {

constexpr utils::duration sliceLength = std::chrono::milliseconds(250); // 1/40 of the default window

std::int64_t indexOf(utils::time_point time)
{
    return time.time_since_epoch() / sliceLength;
}

/// The oldest slice of an interval that ends now. It is still partly inside.
std::int64_t oldestOf(utils::duration interval, utils::time_point now)
{
    return indexOf(now - interval) - 1;
}

} // namespace

void repeat_allowance::forwarded(utils::time_point now)
{
    ++current(now).forwarded;
}

bool repeat_allowance::trySpend(utils::time_point now)
{
    if (left(now) < 1)
        return false;
    const double ofShare = std::min(1.0, shareLeft(now));
    slice& spent = current(now);
    spent.spentOfShare += ofShare;
    spent.spentOfExtra += 1 - ofShare;
    return true;
}

void repeat_allowance::setNodes(unsigned nodes)
{
    m_nodes = std::max(m_nodes, nodes);
}

double repeat_allowance::left(utils::time_point now) const
{
    return shareLeft(now) + extraLeft(now);
}

double repeat_allowance::shareLeft(utils::time_point now) const
{
    const std::int64_t oldest = oldestOf(m_limits.window / shareWindowsPerWindow, now);
    double left = 0;
    for (const slice& part : m_slices) {
        if (part.index >= oldest)
            left += safetyFactor * m_limits.ratio * part.forwarded - part.spentOfShare;
    }
    return std::max(0.0, left);
}

double repeat_allowance::extraLeft(utils::time_point now) const
{
    if (now - m_startedAt < m_limits.window)
        return 0;
    const double total = safetyFactor * m_limits.extra;
    double left = m_nodes == 0 ? std::min(extraInUnknownFleet, total) : total / m_nodes;
    const std::int64_t oldest = oldestOf(m_limits.window, now);
    for (const slice& part : m_slices) {
        if (part.index >= oldest)
            left -= part.spentOfExtra;
    }
    return std::max(0.0, left);
}

repeat_allowance::slice& repeat_allowance::current(utils::time_point now)
{
    const std::int64_t oldest = oldestOf(m_limits.window, now);
    while (!m_slices.empty() && m_slices.front().index < oldest)
        m_slices.pop_front();
    const std::int64_t index = indexOf(now);
    if (m_slices.empty() || m_slices.back().index != index)
        m_slices.push_back({ index, 0, 0, 0 });
    return m_slices.back();
}

} // namespace decisions

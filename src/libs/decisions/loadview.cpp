#include "loadview.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace decisions {

namespace {

/// Sums over the entries.
struct load_sums {
    double inFlight = 0;
    double slots = 0;

    void add(const load_entry& entry)
    {
        inFlight += entry.inFlight;
        slots += entry.slots;
    }
};

} // namespace

void load_view::merge(const load_entry& entry)
{
    const auto [found, isNew] = m_index.try_emplace(entry.server, m_entries.size());
    if (isNew) {
        m_entries.push_back(entry);
        return;
    }
    auto& known = m_entries[found->second];
    if (entry.countedAt >= known.countedAt)
        known = entry;
}

void load_view::remove(const utils::server_id& server)
{
    const auto found = m_index.find(server);
    if (found == m_index.end())
        return;
    const auto position = found->second;
    m_index.erase(found);
    if (position + 1 != m_entries.size()) {
        m_entries[position] = m_entries.back();
        m_index[m_entries[position].server] = position;
    }
    m_entries.pop_back();
}

mean_load load_view::mean(utils::time_point now) const
{
    load_sums fresh;
    for (const auto& entry : m_entries) {
        if (now - entry.countedAt <= entryLifetime)
            fresh.add(entry);
    }
    const double slots = std::max(fresh.slots, m_poolSlots);
    if (slots <= 0)
        return {};
    return { fresh.inFlight / slots, slots };
}

mean_load load_view::observe(utils::time_point now)
{
    constexpr utils::duration grain = std::chrono::seconds(1);
    auto current = mean(now);
    if (m_lows.empty() || now - m_lows.back().begin >= grain)
        m_lows.push_back({ now, current.perSlot });
    m_lows.back().perSlot = std::min(m_lows.back().perSlot, current.perSlot);
    while (now - m_lows.front().begin > lowestWindow)
        m_lows.pop_front();
    for (const auto& low : m_lows)
        current.lowestPerSlot = std::min(current.lowestPerSlot, low.perSlot);
    return current;
}

std::vector<load_entry> load_view::youngest(std::size_t limit) const
{
    std::vector<std::uint32_t> order(m_entries.size());
    std::iota(order.begin(), order.end(), 0U);
    const auto count = std::min(limit, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
        [this](auto a, auto b) { return m_entries[a].countedAt > m_entries[b].countedAt; });
    std::vector<load_entry> entries;
    entries.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        entries.push_back(m_entries[order[i]]);
    return entries;
}

const load_entry* load_view::find(const utils::server_id& server) const
{
    const auto found = m_index.find(server);
    return found == m_index.end() ? nullptr : &m_entries[found->second];
}

} // namespace decisions

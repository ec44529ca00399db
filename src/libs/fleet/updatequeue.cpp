#include "updatequeue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace fleet {

namespace {

/// With 2 log2(n) + 2 transmissions, the probability that an update misses a node is far below that of losing
/// a probe, and the next probe of that node delivers the update as well.
unsigned sendLimit(std::size_t fleetSize)
{
    return 2 * static_cast<unsigned>(std::bit_width(fleetSize)) + 2;
}

constexpr unsigned minorSendLimit = 3;

} // namespace

void update_queue::add(wire::member_update update, bool isMinor)
{
    const utils::node_id id = update.id;
    m_updates[id] = { std::move(update), isMinor, 0 };
}

std::vector<wire::member_update> update_queue::take(std::size_t bytes, std::size_t fleetSize)
{
    std::vector<queued*> order;
    for (auto& [id, entry] : m_updates)
        order.push_back(&entry);
    std::ranges::stable_sort(order, {}, [](const queued* entry) { return entry->timesSent; });
    std::vector<wire::member_update> taken;
    for (queued* entry : order) {
        if (entry->update.size() > bytes)
            break;
        bytes -= entry->update.size();
        ++entry->timesSent;
        taken.push_back(entry->update);
    }
    std::erase_if(m_updates, [&](const auto& entry) {
        const unsigned limit = entry.second.isMinor ? minorSendLimit : sendLimit(fleetSize);
        return entry.second.timesSent >= limit;
    });
    return taken;
}

} // namespace fleet

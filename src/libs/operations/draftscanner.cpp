#include "draftscanner.h"

#include "utils/hashing.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

namespace operations {

namespace {

keyvalue::kv_transaction scanOf(unsigned shard)
{
    keyvalue::kv_transaction transaction;
    for (const std::string& prefix : { draftWorkPrefix(shard), draftClaimPrefix(shard) })
        transaction.onSuccess.emplace_back(keyvalue::kv_get { prefix, endOfPrefix(prefix), 0 });
    return transaction;
}

std::optional<unsigned> slotOfKey(std::string_view key)
{
    const std::string_view digits = key.substr(key.rfind('/') + 1);
    unsigned slot = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), slot);
    if (error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return slot;
}

} // namespace

std::size_t draft_scanner::rankOf(
    const utils::node_id& self, const std::vector<utils::node_id>& nodes, unsigned shard)
{
    const std::uint64_t own = utils::hash64(self.str(), shard);
    return static_cast<std::size_t>(std::ranges::count_if(
        nodes, [&](const utils::node_id& node) { return utils::hash64(node.str(), shard) > own; }));
}

std::vector<scan_shard> draft_scanner::dueScans(
    const std::vector<utils::node_id>& nodes, utils::time_point now)
{
    std::vector<scan_shard> scans;
    for (unsigned shard = 0; shard < draftShards; ++shard) {
        // Computes the rank at most once per interval: hashing the name of every node costs more than the
        // rest of the scan.
        if (now - m_lastRankCheck.at(shard) < m_settings.interval)
            continue;
        m_lastRankCheck.at(shard) = now;
        const std::size_t rank = rankOf(m_self, nodes, shard);
        if (rank >= m_settings.ranks)
            continue;
        utils::duration interval = m_settings.interval;
        for (std::size_t step = 0; step < rank; ++step)
            interval *= m_settings.slowdown;
        if (now - m_lastScan.at(shard) < interval)
            continue;
        m_lastScan.at(shard) = now;
        scans.push_back({ shard, scanOf(shard) });
    }
    return scans;
}

std::vector<unsigned> draft_scanner::adoptable(
    const keyvalue::kv_reply& reply, const std::set<unsigned>& running, std::size_t maxCount)
{
    std::set<unsigned> claimed = running;
    for (const keyvalue::kv_entry& entry : reply.entries) {
        const std::optional<unsigned> slot = slotOfKey(entry.key);
        if (slot && entry.key.starts_with("draftclaims/"))
            claimed.insert(*slot);
    }
    std::vector<unsigned> slots;
    for (const keyvalue::kv_entry& entry : reply.entries) {
        const std::optional<unsigned> slot = slotOfKey(entry.key);
        const bool isMarker = entry.key.starts_with("draftwork/");
        if (isMarker && slot && !claimed.contains(*slot) && slots.size() < maxCount)
            slots.push_back(*slot);
    }
    return slots;
}

} // namespace operations

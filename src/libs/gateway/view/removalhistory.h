#pragma once

#include "gateway/peers/peermessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gateway {

/// The items recently removed from the store, so that a peer can be sent the changes since its last known
/// revision instead of everything. Bounded; not thread safe.
class removal_history {
public:
    /// Twice the number of servers of a large deployment.
    static constexpr std::size_t maxRemovals = 2048;

    /// Records that all items were read again at that revision; removals before it are unknown.
    void reset(std::uint64_t asOf);
    /// Records a removal; drops the oldest one if the history is full.
    void add(const std::string& key, std::uint64_t revision);
    /// The history holds all removals after this revision.
    std::uint64_t completeSince() const { return m_completeSince; }
    /// The removals after that revision. Precondition: `revision` is not below completeSince().
    std::vector<removed_key> removedAfter(std::uint64_t revision) const;
    /// Revision of the key's last removal; 0 if the history has none.
    std::uint64_t revisionOf(const std::string& key) const;

private:
    std::map<std::string, std::uint64_t> m_removals; ///< revision by key
    std::uint64_t m_completeSince = 0;
};

} // namespace gateway

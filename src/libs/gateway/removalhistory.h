#pragma once

#include "peermessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gateway {

/// The items that were removed from the store of late, so that a peer can be told what has changed since it
/// last knew everything. Bounded; not thread safe.
class removal_history {
public:
    /// Removals that are remembered: all servers of a large deployment, twice over.
    static constexpr std::size_t maxRemovals = 2048;

    /// All items as of that revision were read anew; what was removed before is not known.
    void reset(std::uint64_t asOf);
    void add(const std::string& key, std::uint64_t revision);
    /// All removals after this revision are remembered.
    std::uint64_t completeSince() const { return m_completeSince; }
    /// Precondition: `revision` is not below completeSince().
    std::vector<removed_key> removedAfter(std::uint64_t revision) const;
    /// Of the key's last removal; 0 when none is remembered.
    std::uint64_t revisionOf(const std::string& key) const;

private:
    std::map<std::string, std::uint64_t> m_removals; ///< revision by key
    std::uint64_t m_completeSince = 0;
};

} // namespace gateway

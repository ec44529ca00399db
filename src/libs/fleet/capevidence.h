#pragma once

#include "witnessset.h"

#include <vector>

namespace fleet {

/// How each server's share of its cap is computed from the evidence.
enum class share_rule {
    Proportional, ///< k/n of each cap when k of n witnesses are heard
    Majority ///< the whole cap with a majority, otherwise none; kept for comparison with Proportional
};

/// Snapshot of the evidence: the witnesses heard and the witness lists that count. Immutable, so it can be
/// shared between threads.
struct cap_evidence {
    std::vector<wire::node_tag> heard; ///< sorted; always contains this node
    std::vector<witness_set> lists; ///< each sorted; excludes witnesses that have left
    share_rule rule = share_rule::Proportional;

    bool operator==(const cap_evidence&) const = default;

    /// Returns the share of a cap, 0 to 1, for the witnesses of `claimed` that are heard now. The list that
    /// yields the smallest share decides. The shares of homes with disjoint claims add up to at most 1.
    /// Precondition: `claimed` is sorted. Thread safe.
    double shareOf(const std::vector<wire::node_tag>& claimed) const;
};

/// Returns the tags contained in both lists. Precondition: both are sorted. Thread safe.
std::vector<wire::node_tag> intersection(
    const std::vector<wire::node_tag>& first, const std::vector<wire::node_tag>& second);

} // namespace fleet

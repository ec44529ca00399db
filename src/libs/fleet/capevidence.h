#pragma once

#include "witnessset.h"

#include <vector>

namespace fleet {

/// How the share of each server's cap follows from the evidence.
enum class share_rule {
    Proportional, ///< k of n witnesses heard: k/n of each cap
    Majority ///< everything with a majority, nothing without; kept to compare the two
};

/// The evidence at one moment: which witnesses are heard, and which count. Immutable, so it may be shared
/// between threads.
struct cap_evidence {
    std::vector<wire::node_tag> heard; ///< sorted; this node is always among them
    std::vector<witness_set> lists; ///< each sorted, without witnesses that left
    share_rule rule = share_rule::Proportional;

    bool operator==(const cap_evidence&) const = default;

    /// Which part of a cap belongs to the witnesses of `claimed` that are heard now, by the list that gives
    /// the least; 0 to 1. Homes with disjoint claims never have more than one together. Precondition:
    /// `claimed` is sorted. Thread safe.
    double shareOf(const std::vector<wire::node_tag>& claimed) const;
};

/// The items of both. Precondition: both are sorted. Thread safe.
std::vector<wire::node_tag> intersection(
    const std::vector<wire::node_tag>& first, const std::vector<wire::node_tag>& second);

} // namespace fleet

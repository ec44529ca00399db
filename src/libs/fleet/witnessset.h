#pragma once

#include "member.h"

#include <vector>

namespace fleet {

/// The listed VMs whose evidence decides whether a node is current: all VMs of a small fleet, or a constant
/// number of a large one with the same number in each data centre. Sorted by tag.
///
/// With a majority of all listed VMs, each node would need evidence of hundreds of nodes within seconds (see
/// docs/design/membership.md). Any two majorities of the same witnesses intersect as well. Witnesses are
/// spread over the data centres, so that a data centre that is cut off still hears its own share.
using witness_set = std::vector<wire::node_tag>;

/// Up to this number of listed VMs, all are witnesses.
inline constexpr std::size_t maxAllWitnesses = 15;
/// Approximate number of witnesses in a larger fleet.
inline constexpr std::size_t witnessTarget = 12;

/// Chooses witnesses by a hash of the node name: for lists that differ by one VM, the witnesses differ by at
/// most one per data centre. Thread safe.
witness_set chooseWitnesses(const std::vector<listed_vm>& list);

} // namespace fleet

#pragma once

#include "member.h"

#include <vector>

namespace fleet {

/// The listed VMs whose evidence decides whether a node is current: all of a small fleet, a constant
/// number of a large one, the same number in each data centre. Sorted by tag.
///
/// A majority of all listed VMs would cost each node evidence of hundreds of nodes within seconds (see
/// docs/design/membership.md); every two majorities of the same witnesses meet just as well. Spread over
/// the data centres, so that one that is cut off still hears its own share.
using witness_set = std::vector<wire::node_tag>;

/// Up to so many listed VMs all are witnesses.
inline constexpr std::size_t maxAllWitnesses = 15;
/// In a larger fleet about so many are.
inline constexpr std::size_t witnessTarget = 12;

/// Chosen by a hash of the name: a list that differs by one VM differs by at most one witness a data
/// centre. Thread safe.
witness_set chooseWitnesses(const std::vector<listed_vm>& list);

} // namespace fleet

#include "capevidence.h"

#include <algorithm>
#include <iterator>

namespace fleet {

double cap_evidence::shareOf(const std::vector<wire::node_tag>& claimed) const
{
    if (lists.empty())
        return 0;
    const std::vector<wire::node_tag> valid = intersection(claimed, heard);
    double share = 1;
    for (const witness_set& list : lists) {
        if (list.empty())
            continue;
        const std::size_t count = intersection(valid, list).size();
        const bool isMajority = 2 * count > list.size();
        const double part = rule == share_rule::Majority
            ? (isMajority ? 1.0 : 0.0)
            : static_cast<double>(count) / static_cast<double>(list.size());
        share = std::min(share, part);
    }
    return share;
}

std::vector<wire::node_tag> intersection(
    const std::vector<wire::node_tag>& first, const std::vector<wire::node_tag>& second)
{
    std::vector<wire::node_tag> both;
    std::ranges::set_intersection(first, second, std::back_inserter(both));
    return both;
}

} // namespace fleet

#include "fairness.h"

#include <algorithm>

namespace loadplay {

namespace {

/// Max-min fair parts of the capacity, by team: small demands are met, the rest is shared evenly.
std::map<utils::team_id, double> fairParts(const play_outcome& outcome, double capacity)
{
    std::vector<utils::team_id> order;
    order.reserve(outcome.byTeam.size());
    for (const auto& [team, figures] : outcome.byTeam)
        order.push_back(team);
    std::ranges::sort(order, {}, [&](const auto& team) { return outcome.byTeam.at(team).offeredWork; });
    std::map<utils::team_id, double> parts;
    double left = capacity;
    auto teams = static_cast<double>(order.size());
    for (const utils::team_id& team : order) {
        const double part = std::min(outcome.byTeam.at(team).offeredWork, left / teams);
        parts[team] = part;
        left -= part;
        --teams;
    }
    return parts;
}

} // namespace

fairness_figures fairnessOf(const play_outcome& outcome, double capacity)
{
    fairness_figures figures;
    double sum = 0;
    double squares = 0;
    double count = 0;
    for (const auto& [team, part] : fairParts(outcome, capacity)) {
        if (part <= 0)
            continue;
        const double got = std::min(outcome.byTeam.at(team).servedWork / part, 1.0);
        figures.worst = std::min(figures.worst, got);
        sum += got;
        squares += got * got;
        ++count;
    }
    if (squares > 0)
        figures.jain = sum * sum / (count * squares);
    return figures;
}

} // namespace loadplay

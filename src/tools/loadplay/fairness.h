#pragma once

#include "playtypes.h"

namespace loadplay {

/// How a capacity was divided between teams.
struct fairness_figures {
    double jain = 1; ///< Jain's index of what each team got over its max-min fair part: 1 is fair
    double worst = 1; ///< the least of these parts, 1 at most
};

/// Compares with the max-min fair division of `capacity` slot seconds. Thread safe.
fairness_figures fairnessOf(const play_outcome& outcome, double capacity);

} // namespace loadplay

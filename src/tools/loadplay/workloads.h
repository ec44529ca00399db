#pragma once

#include "playtypes.h"

namespace loadplay {

/// The five patterns of load, from one seed: the same requests on each call.
workload makeBurst(unsigned seed);
workload makeHeavyTeams(unsigned seed);
workload makeSlowServer(unsigned seed);
workload makeLongAmongShort(unsigned seed);
workload makeSaturation(unsigned seed);
/// All five, in this order.
std::vector<workload> allWorkloads(unsigned seed);

} // namespace loadplay

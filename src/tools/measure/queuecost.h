#pragma once

#include "measureoptions.h"

namespace measure {

/// `lycheefront-measure costs`: processor time and memory of the queue, the team limits and the poison
/// register at growing sizes. Real time: the figures differ a little from run to run. Returns the exit code.
int runQueueCost(const measure_options& options);

} // namespace measure

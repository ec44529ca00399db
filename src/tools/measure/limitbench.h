#pragma once

#include "measureoptions.h"

namespace measure {

/// `lycheefront-measure limits`: what team limits cost a node at growing sizes, in bytes and refusals.
/// Returns the exit code.
int runLimitBench(const measure_options& options);

} // namespace measure

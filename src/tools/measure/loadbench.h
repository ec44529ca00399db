#pragma once

#include "measureoptions.h"

namespace measure {

/// `lycheefront-measure load`: what callers get under five patterns of load, with the safeguards and without
/// them. Returns the exit code.
int runLoadBench(const measure_options& options);

} // namespace measure

#pragma once

#include "measureoptions.h"

namespace measure {

/// Traffic, detection, spread of the configuration and age of digests at 7, 50, 200 and 400 nodes, over
/// links that lose 5% of the datagrams, in virtual time; prints a table or JSON. The exit code.
int runFleet(const measure_options& options);

} // namespace measure

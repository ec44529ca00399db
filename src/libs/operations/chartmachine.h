#pragma once

#include "utils/chartmachine.h"

namespace operations {

using utils::chart_machine;

} // namespace operations

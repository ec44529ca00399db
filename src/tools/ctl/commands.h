#pragma once

#include "exitcode.h"
#include "options.h"

#include <iosfwd>

namespace ctl {

/// Runs one command. Results go to `out`, everything else to `err`. Never throws.
/// Precondition: the command exists and has its arguments.
exit_code runCommand(const options& chosen, std::ostream& out, std::ostream& err);

} // namespace ctl

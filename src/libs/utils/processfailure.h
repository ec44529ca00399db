#pragma once

namespace utils {

/// From now on, a fatal signal or an exception that nothing catches writes a last line, `process_failed`, to
/// standard output before it ends the process. Lines still queued are lost. Not thread safe: call once at
/// start.
void reportProcessFailures();

} // namespace utils

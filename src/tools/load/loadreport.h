#pragma once

#include "loadrun.h"

#include <string>

namespace load {

/// Prints what was seen, as a table or JSON, to standard output.
void printResult(const load_result& result, bool asJson);
/// Writes an HTML page with plots. False when that fails.
bool writeReport(const load_result& result, const std::string& directory);

} // namespace load

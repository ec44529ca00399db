#pragma once

#include <string>
#include <string_view>

namespace config {

/// The lines that lead from one text to another: " " for a common line, "-" and "+" for the others. Empty
/// for equal texts. Thread safe.
std::string diffLines(std::string_view from, std::string_view to);

} // namespace config

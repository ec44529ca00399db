#pragma once

#include <string>
#include <vector>

namespace config {

/// One thing wrong with a YAML file, for a person to mend.
struct problem {
    std::string file;
    int line = 0; ///< from 1; 0 when not known
    int column = 0; ///< from 1; 0 when not known
    std::string path; ///< the field, e.g. "pools.press.routes[0].timeout"
    std::string message; ///< what was expected and what was found

    bool operator==(const problem&) const = default;
};

/// "file:line:column: path: message". Thread safe.
std::string toString(const problem& p);
/// One problem a line. Thread safe.
std::string toString(const std::vector<problem>& problems);

} // namespace config

#pragma once

#include "eventcatalogue.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace utils {

/// How lines are written.
enum class log_format {
    Text,
    Json
};

/// One named value of a log line. Never a key, a token or a body.
struct log_field {
    std::string name;
    std::string value;
};

/// Sets format and lowest severity for the process; lines go to standard output. Not thread safe: call
/// once at start.
void configureLog(log_format format, severity lowest);
/// Writes one line: time, number, name, message and the fields. Thread safe.
void logEvent(event id, const std::vector<log_field>& fields = {});

} // namespace utils

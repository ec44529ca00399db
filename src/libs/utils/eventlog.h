#pragma once

#include "eventcatalogue.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace utils {

/// Format of log lines.
enum class log_format {
    Text,
    Json
};

/// One named value of a log line. Must not hold a key, a token or a body.
struct log_field {
    std::string name;
    std::string value;
};

/// Sets the log format and the lowest severity of the process. A separate thread writes the lines to standard
/// output; callers never wait for it. Not thread safe: call once at start.
void configureLog(log_format format, severity lowest);
/// Logs one line: time, number, name and the fields; in the text format also the message. A line above the
/// rate limit of its event (see event_rate_limiter) is suppressed and counted. Thread safe.
void logEvent(event id, const std::vector<log_field>& fields = {});
/// Number of lines dropped because standard output was not read fast enough. Thread safe.
std::uint64_t droppedLines();
/// Writes all queued lines and stops the writer thread; call before the process exits. Not thread safe.
void flushLog();

} // namespace utils

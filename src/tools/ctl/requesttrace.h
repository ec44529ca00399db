#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace ctl {

/// What the logs of some nodes tell about one request.
struct request_trace {
    std::vector<std::string> steps; ///< lines about it, in the order of their times, as one reads them
    std::string decisive; ///< why it ended as it did; empty when no line tells its end
    std::vector<std::string> around; ///< changes in what its nodes believed, up to 10 s before its end
};

/// Collects the lines about a request from logs, one JSON object a line; text before the object, such as
/// a collector's time and node, is kept as the node's name. Lines that are none are passed over.
/// Thread safe.
request_trace traceRequest(const std::string& requestId, const std::vector<std::string>& lines);

/// Prints a trace.
void printTrace(const request_trace& trace, std::ostream& out);

} // namespace ctl

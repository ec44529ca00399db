#pragma once

#include "attempt.h"
#include "stopscope.h"

#include "utils/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace gateway {

/// Why a caller's connection ended before its response was complete.
enum class cut_cause {
    ServerSilent, ///< the last attempt was ended because its server sent nothing
    ServerEnded, ///< the server ended its connection
    Garbled, ///< the server's response was invalid
    NotSent, ///< the last attempt sent nothing
    Deadline, ///< the timeout of the route or of the caller has passed
    CallerUnreachable, ///< writing to the caller failed
    CallerGone, ///< the caller's connection ended
    TaskFailed, ///< an unexpected error ended the session
    ProcessEnd, ///< the process ends
    Count_
};

/// Returns the name used in logs and metrics. Thread safe.
std::string_view toString(cut_cause cause);

/// Returns the cause by how the last attempt that was sent ended. Thread safe.
cut_cause cutCauseOf(attempt_outcome lastSent, stop_reason stopReason);

/// A request whose response has not been sent completely.
struct unfinished_request {
    std::string id;
    std::string target;
    utils::time_point arrivedAt {};
    bool hasBegun = false; ///< the caller has a part of the response
};

/// Logs a request that ends with its connection, outside of its own flow. `detail`: the unexpected error;
/// empty if there is none. Thread safe.
void logCutAnswer(
    const unfinished_request& request, cut_cause cause, const std::string& detail, utils::time_point now);

} // namespace gateway

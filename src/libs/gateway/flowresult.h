#pragma once

#include "attempt.h"
#include "requestplan.h"
#include "stopscope.h"

#include "utils/errorkind.h"

#include <optional>
#include <string>

namespace gateway {

/// How a request ended, for the log line.
struct flow_result {
    std::optional<utils::failure> failure; ///< nothing when the caller has a backend server's whole response
    int status = 0; ///< of the backend server's response
    attempt_outcome lastOutcome = attempt_outcome::NotSent;
    unsigned attempts = 0;
    utils::server_id server; ///< the last one tried
    std::string serverDataCentre;
    decisions::placement placement; ///< of the last attempt
    utils::duration viewAge {}; ///< of the view of the backend servers at the last attempt
    utils::duration viewBehind {}; ///< since changes were known to be missing then
    bool isViewTooOld = false; ///< nothing more was sent for that
    std::optional<overload_refusal> refused; ///< for overload, before anything was sent
    utils::server_id copiedFrom; ///< the engine from which the last one was told to copy; empty: none
    stop_reason stopReason = stop_reason::None;
    std::uint64_t events = 0;
    utils::duration timeToFirstEvent {}; ///< from the arrival of the request
    utils::duration longestGap {}; ///< between two events as they were passed on
    bool isTruncated = false; ///< the caller got a part of a response
};

} // namespace gateway

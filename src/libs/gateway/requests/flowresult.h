#pragma once

#include "attempt.h"
#include "gateway/load/crowddirectory.h"
#include "gateway/peers/streamdirectory.h"
#include "requestplan.h"
#include "stopscope.h"

#include "utils/errorkind.h"

#include <optional>
#include <string>

namespace gateway {

/// The result of a request, for its log line.
struct flow_result {
    std::optional<utils::failure> failure; ///< not set when the caller has a complete response
    int status = 0; ///< HTTP status of the response
    attempt_outcome lastOutcome = attempt_outcome::NotSent;
    attempt_outcome lastSent = attempt_outcome::NotSent; ///< end of the last attempt that sent something
    unsigned attempts = 0;
    unsigned sent = 0; ///< attempts that reached a server of the service, those of earlier nodes included
    utils::server_id server; ///< of the last attempt
    std::string serverDataCentre;
    std::string serverVersion; ///< software version of that server
    std::string forwardedTo; ///< the peer of the last attempt; empty if that was at a server
    bool isServerCold = false; ///< at the last attempt
    decisions::placement placement; ///< of the last attempt
    std::optional<crowd_place> crowd; ///< of the request; nothing if it was not asked for
    utils::duration viewAge {}; ///< age of the view of the backend servers at the last attempt
    utils::duration viewBehind {}; ///< time since changes were known to be missing then
    bool isViewTooOld = false; ///< the view was too old to send anything more
    bool isTooLateToSend = false; ///< this node ends before the deadline of the request
    std::optional<overload_refusal> refused; ///< because of overload, before anything was sent
    std::optional<decisions::part_finding> crashFinding; ///< why the request was not sent (again)
    utils::server_id copiedFrom; ///< the engine that the last attempt was told to copy from; empty: none
    stop_reason stopReason = stop_reason::None;
    /// Of the stream that the caller resumes.
    decisions::found_origin origin { decisions::origin_source::None, 0, {}, {} };
    bound_version streamVersion; ///< of the events that the caller has
    std::uint64_t events = 0;
    utils::duration timeToFirstEvent {}; ///< from the arrival of the request
    utils::duration longestGap {}; ///< between two events as they were forwarded
    bool isTruncated = false; ///< the caller received only part of a response
    std::string endOfCaller; ///< how the caller's connection ended, if it did so first
};

} // namespace gateway

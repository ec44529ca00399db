#pragma once

#include "attempt.h"
#include "messages.h"
#include "requestplan.h"

#include "utils/errorkind.h"

namespace gateway {

struct flow_result;

/// What is told of an attempt that brought no response.
struct failed_attempt {
    utils::server_id server;
    attempt_outcome outcome = attempt_outcome::NotSent;
    utils::duration took {};
    utils::duration silentFor {}; ///< since something of the response came, or since it was sent
    double repeatsLeft = 0; ///< of the service, on this node
    utils::duration viewAge {}; ///< of the view of the backend servers at the attempt
    utils::duration viewBehind {}; ///< since changes were known to be missing then
};

/// Logs how a request ended and what decided it.
void logRequest(const node_context& context, const client_request& request, const request_plan& plan,
    const flow_result& result, utils::time_point now);
void logFailedAttempt(const client_request& request, const failed_attempt& attempt);
/// Logs bytes that were no request.
void logRejected(const utils::failure& failure);

} // namespace gateway

#pragma once

#include "attempt.h"
#include "messages.h"
#include "requestplan.h"

#include "utils/errorkind.h"

#include <span>

namespace gateway {

struct flow_result;
struct lost_attempt;

/// What is logged of an attempt that brought no response to the caller.
struct failed_attempt {
    utils::server_id server;
    std::string serverVersion; ///< software version of the server
    std::string forwardedTo; ///< the peer, instead of a server
    attempt_outcome outcome = attempt_outcome::NotSent;
    std::string connectError; ///< why no connection was opened; empty if one was
    std::uint64_t events = 0; ///< forwarded to the caller so far
    std::span<const decisions::prompt_part> sharedParts {}; ///< of the prompt
    utils::duration took {};
    utils::duration silentFor {}; ///< since data of the response arrived, or since the request was sent
    bool isRetry = false; ///< it was a retry at the service, if it was sent
    utils::duration uptime {}; ///< since this process started
    double repeatsLeft = 0; ///< left in the service's budget on this node
    utils::duration viewAge {}; ///< age of the view of the backend servers at the attempt
    utils::duration viewBehind {}; ///< time since changes were known to be missing then
};

/// Logs how a request ended and the values that decided it.
void logRequest(const node_context& context, const client_request& request, const request_plan& plan,
    const flow_result& result, utils::time_point now);
/// What is logged of an attempt that receives no data and is not replaced.
struct stalled_attempt {
    utils::server_id server;
    decisions::stall_reason reason {};
    utils::duration silentFor {};
    double repeatsLeft = 0; ///< left in the service's budget on this node
    std::size_t stalls = 0; ///< attempts of this node that receive no data
};

/// Logs that an attempt receives no data, and why it stays.
void logStalledAttempt(const client_request& request, const stalled_attempt& attempt);
/// Logs that the caller received only the beginning of a response, and why nothing replaced it.
void logCutAnswer(const node_context& context, const client_request& request, const request_plan& plan,
    const flow_result& result, utils::time_point now);
/// Logs an attempt that failed, whether or not the request is retried.
void logFailedAttempt(const client_request& request, const failed_attempt& attempt);
/// Logs that a crash counts against the request of an attempt. `level`: the highest one of its parts, see
/// decisions::part_strike. `connectError`: why the server counts as crashed.
void logCrash(const lost_attempt& attempt, unsigned level, const std::string& connectError);
/// Logs that the loss of an attempt counts against no request, and why.
void logLossNotCounted(const lost_attempt& attempt, std::string_view reason);
/// Logs that an answer from that server has cleared the shared parts of its prompt. `level`: the highest that
/// was cleared.
void logPartsCleared(const request_plan& plan, const utils::server_id& server, unsigned level);
/// Logs the rejection of bytes that are not a valid request.
void logRejected(const utils::failure& failure);

} // namespace gateway

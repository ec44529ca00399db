#include "requestlog.h"

#include "attempttracker.h"
#include "cutanswer.h"
#include "flowresult.h"

#include "utils/eventlog.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <sstream>

namespace gateway {

namespace {

std::string percentText(double share)
{
    return std::to_string(static_cast<int>(100 * share));
}

std::string millisecondsText(utils::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/// The parts as "id:tokens", ids in hexadecimal as callers write them; at most the first `maxLoggedParts`.
std::string partsText(std::span<const decisions::prompt_part> parts)
{
    constexpr std::size_t maxLoggedParts = 8;
    std::ostringstream text;
    for (const decisions::prompt_part& part : parts.first(std::min(parts.size(), maxLoggedParts)))
        text << (text.tellp() > 0 ? "," : "") << std::hex << part.id << ':' << std::dec << part.tokens;
    return text.str();
}

std::string tenthsText(double value)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << value;
    return text.str();
}

void addPlacement(std::vector<utils::log_field>& fields, const decisions::placement& placement)
{
    const decisions::load_total& load = placement.load;
    fields.push_back({ "load", std::to_string(load.requests) });
    fields.push_back({ "load_age_ms", millisecondsText(load.age) });
    fields.push_back({ "waiting_tokens", std::to_string(load.promptTokens) });
    fields.push_back({ "held_tokens", std::to_string(placement.heldTokens) });
    if (!placement.view)
        return;
    fields.push_back({ "peer_load", std::to_string(load.peerRequests) });
    fields.push_back({ "load_reported", load.isReported ? "yes" : "no" });
    fields.push_back({ "estimated_load", tenthsText(placement.view->load) });
    fields.push_back({ "mean_load", tenthsText(placement.view->mean) });
    fields.push_back({ "load_bound", tenthsText(placement.view->bound) });
    fields.push_back({ "chosen_by", std::string(decisions::toString(placement.reason)) });
}

void addRefusal(std::vector<utils::log_field>& fields, const overload_forecast& forecast)
{
    const decisions::admission_share& admission = forecast.admission;
    fields.push_back({ "urgency", std::to_string(forecast.query.urgency) });
    fields.push_back({ "bound", std::string(decisions::toString(admission.bound)) });
    fields.push_back({ "admitted_percent", percentText(admission.share) });
    fields.push_back({ "offered_slots", std::to_string(static_cast<int>(admission.offered)) });
    fields.push_back({ "capacity_slots", std::to_string(static_cast<int>(admission.capacity)) });
    fields.push_back({ "work_ms", millisecondsText(utils::fromSeconds(forecast.work)) });
    fields.push_back({ "slot_wait_ms", millisecondsText(forecast.query.slotWait) });
    fields.push_back({ "queue_ms", millisecondsText(forecast.query.queueing) });
    fields.push_back({ "expected_ms", millisecondsText(forecast.query.expectedAnswer) });
    fields.push_back({ "loop_delay_ms", millisecondsText(forecast.query.loopDelay) });
    fields.push_back({ "limit_ms", millisecondsText(forecast.limit) });
}

} // namespace

void logRequest(const node_context& context, const client_request& request, const request_plan& plan,
    const flow_result& result, utils::time_point now)
{
    std::vector<utils::log_field> fields { { "request", request.requestId } };
    const catalogue::configuration_ptr& configuration
        = plan.configuration ? plan.configuration : context.configuration;
    if (plan.route != nullptr) {
        fields.push_back({ "route", plan.route->name });
        fields.push_back({ "service", plan.service });
        fields.push_back({ "workspace", plan.workspace });
    }
    if (configuration)
        fields.push_back({ "configuration", std::to_string(configuration->version) });
    if (plan.route == nullptr)
        fields.push_back({ "evidence_ms", millisecondsText(now - context.evidenceAt) });
    fields.push_back({ "ms", millisecondsText(now - request.arrivedAt) });
    fields.push_back({ "attempts", std::to_string(result.attempts) });
    fields.push_back({ "sent", std::to_string(result.sent) });
    fields.push_back({ "last", std::string(toString(result.lastOutcome)) });
    if (plan.route != nullptr) {
        fields.push_back({ "view_age_ms", millisecondsText(result.viewAge) });
        fields.push_back({ "view_behind_ms", millisecondsText(result.viewBehind) });
    }
    if (!result.server.isEmpty()) {
        fields.push_back({ "server", result.server.str() });
        fields.push_back({ "server_data_centre", result.serverDataCentre });
        fields.push_back({ "server_version", result.serverVersion });
        if (result.isServerCold)
            fields.push_back({ "server_cold", "yes" });
        addPlacement(fields, result.placement);
        if (result.crowd) {
            fields.push_back({ "crowd_place",
                result.crowd->isAnswered ? std::to_string(result.crowd->place) : "no_answer" });
            fields.push_back({ "crowd_ms", millisecondsText(result.crowd->took) });
        }
        if (!result.copiedFrom.isEmpty())
            fields.push_back({ "copied_from", result.copiedFrom.str() });
    }
    if (request.lastEventId) {
        fields.push_back({ "resumed_after", std::to_string(*request.lastEventId) });
        fields.push_back({ "resumes", request.resumedRequest });
        fields.push_back({ "origin", std::string(decisions::toString(result.origin.source)) });
        fields.push_back({ "origin_age_ms", millisecondsText(result.origin.age) });
        fields.push_back({ "origin_took_ms", millisecondsText(result.origin.took) });
        if (result.streamVersion)
            fields.push_back(
                { "stream_version", context.versions.nameOf(plan.service, *result.streamVersion) });
    }
    if (request.hop)
        fields.push_back({ "forwarded", "yes" });
    if (!result.forwardedTo.empty())
        fields.push_back({ "forwarded_to", result.forwardedTo });
    if (!plan.sharedParts().empty())
        fields.push_back({ "shared_parts", partsText(plan.sharedParts()) });
    if (result.events > 0) {
        fields.push_back({ "events", std::to_string(result.events) });
        fields.push_back({ "first_ms", millisecondsText(result.timeToFirstEvent) });
        fields.push_back({ "longest_gap_ms", millisecondsText(result.longestGap) });
    }
    if (!result.failure) {
        fields.push_back({ "status", std::to_string(result.status) });
        utils::logEvent(utils::event::RequestDone, fields);
        return;
    }
    fields.push_back({ "kind", std::string(utils::answerFor(result.failure->kind).name) });
    if (!result.endOfCaller.empty())
        fields.push_back({ "caller", result.endOfCaller });
    if (result.refused)
        addRefusal(fields, result.refused->forecast);
    if (result.crashFinding) {
        const decisions::part_finding& finding = *result.crashFinding;
        fields.push_back({ "verdict", std::string(decisions::toString(finding.verdict)) });
        if (decisions::isWholeRequest(finding.part))
            fields.push_back({ "crashing_part", "request" });
        else
            fields.push_back(
                { "crashing_part", partsText(std::array { decisions::prompt_part { finding.part, 0 } }) });
        fields.push_back({ "crash_level", std::to_string(finding.level) });
        fields.push_back({ "crash_age_ms", millisecondsText(finding.age) });
        fields.push_back({ "crash_seen_by", finding.isOwn ? "this_node" : "peer" });
    }
    if (result.failure->retryAfter)
        fields.push_back({ "retry_after_ms", millisecondsText(*result.failure->retryAfter) });
    if (!result.failure->detail.empty())
        fields.push_back({ "detail", result.failure->detail });
    utils::logEvent(utils::event::RequestRefused, fields);
}

void logStalledAttempt(const client_request& request, const stalled_attempt& attempt)
{
    utils::logEvent(utils::event::AttemptStalled,
        { { "request", request.requestId }, { "server", attempt.server.str() },
            { "reason", std::string(decisions::toString(attempt.reason)) },
            { "silent_ms", millisecondsText(attempt.silentFor) },
            { "repeats_left", std::to_string(static_cast<int>(attempt.repeatsLeft)) },
            { "stalled", std::to_string(attempt.stalls) } });
}

void logCutAnswer(const node_context& context, const client_request& request, const request_plan& plan,
    const flow_result& result, utils::time_point now)
{
    const cut_cause cause = cutCauseOf(result.lastSent, result.stopReason);
    const auto allowance = context.repeats.find(plan.service);
    const double repeatsLeft = allowance == context.repeats.end() ? 0 : allowance->second.left(now);
    std::vector<utils::log_field> fields { { "request", request.requestId },
        { "cause", std::string(toString(cause)) }, { "begun", "yes" }, { "route", plan.route->name },
        { "service", plan.service }, { "server", result.server.str() },
        { "server_version", result.serverVersion }, { "ms", millisecondsText(now - request.arrivedAt) },
        { "left_ms", millisecondsText(plan.deadline - now) }, { "events", std::to_string(result.events) },
        { "attempts", std::to_string(result.attempts) },
        { "attempts_allowed", std::to_string(plan.route->maxAttempts) },
        { "may_repeat", plan.route->mayRepeat() ? "yes" : "no" },
        { "last", std::string(toString(result.lastOutcome)) },
        { "repeats_left", std::to_string(static_cast<int>(repeatsLeft)) },
        { "configuration", std::to_string(plan.configuration->version) },
        { "configuration_in_force", std::to_string(context.configuration->version) },
        { "configuration_age_ms", millisecondsText(now - context.configurationAt) } };
    if (!result.forwardedTo.empty())
        fields.push_back({ "forwarded_to", result.forwardedTo });
    if (!result.endOfCaller.empty())
        fields.push_back({ "caller", result.endOfCaller });
    utils::logEvent(utils::event::AnswerCut, fields);
}

void logFailedAttempt(const client_request& request, const failed_attempt& attempt)
{
    const bool isForwarded = !attempt.forwardedTo.empty();
    std::vector<utils::log_field> fields { { "request", request.requestId },
        { isForwarded ? "forwarded_to" : "server", isForwarded ? attempt.forwardedTo : attempt.server.str() },
        { "end", std::string(toString(attempt.outcome)) }, { "events", std::to_string(attempt.events) },
        { "ms", millisecondsText(attempt.took) }, { "silent_ms", millisecondsText(attempt.silentFor) },
        { "retry", attempt.isRetry ? "yes" : "no" }, { "uptime_ms", millisecondsText(attempt.uptime) },
        { "repeats_left", std::to_string(static_cast<int>(attempt.repeatsLeft)) },
        { "view_age_ms", millisecondsText(attempt.viewAge) },
        { "view_behind_ms", millisecondsText(attempt.viewBehind) } };
    if (!attempt.serverVersion.empty())
        fields.push_back({ "server_version", attempt.serverVersion });
    if (!attempt.sharedParts.empty())
        fields.push_back({ "shared_parts", partsText(attempt.sharedParts) });
    if (!attempt.connectError.empty())
        fields.push_back({ "connect", attempt.connectError });
    utils::logEvent(utils::event::AttemptFailed, fields);
}

void logCrash(const lost_attempt& attempt, unsigned level, const std::string& connectError)
{
    utils::logEvent(utils::event::ServerCrashed,
        { { "server", attempt.server.str() }, { "service", attempt.service },
            { "request", attempt.requestId }, { "shared_parts", partsText(attempt.sharedParts) },
            { "level", std::to_string(level) }, { "connect", connectError } });
}

void logLossNotCounted(const lost_attempt& attempt, std::string_view reason)
{
    utils::logEvent(utils::event::LossNotCounted,
        { { "server", attempt.server.str() }, { "service", attempt.service },
            { "request", attempt.requestId }, { "reason", std::string(reason) } });
}

void logPartsCleared(const request_plan& plan, const utils::server_id& server, unsigned level)
{
    utils::logEvent(utils::event::PartCleared,
        { { "server", server.str() }, { "service", plan.service },
            { "shared_parts", partsText(plan.sharedParts()) }, { "level", std::to_string(level) } });
}

void logRejected(const utils::failure& failure)
{
    const std::string kind(utils::answerFor(failure.kind).name);
    utils::logEvent(utils::event::RequestRefused, { { "kind", kind }, { "detail", failure.detail } });
}

} // namespace gateway

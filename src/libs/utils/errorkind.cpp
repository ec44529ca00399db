#include "errorkind.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace utils {

namespace {

using enum error_kind;
using enum run_state;

constexpr int defaultRetryAfterSeconds = 1;

constexpr std::array<error_answer, static_cast<std::size_t>(Count_)> answers { {
    { MalformedRequest, "malformed_request", 400, NotRun, false, "The request could not be read" },
    { BodyTooLarge, "body_too_large", 413, NotRun, false, "The body is larger than the limit" },
    { HeaderTooLarge, "header_too_large", 431, NotRun, false, "The header is larger than the limit" },
    { RequestTimeout, "request_timeout", 408, NotRun, true, "The request took too long to arrive" },
    { UnknownTeam, "unknown_team", 401, NotRun, false, "The key belongs to no calling team" },
    { NotApproved, "not_approved", 403, NotRun, false, "The owner has not approved this calling team" },
    { UnknownModel, "unknown_model", 404, NotRun, false, "No pool serves this model" },
    { UnknownRoute, "unknown_route", 404, NotRun, false, "No service has this route" },
    { MethodNotAllowed, "method_not_allowed", 405, NotRun, false, "The route does not take this method" },
    { KeyReused, "key_reused", 422, NotRun, false, "The idempotency key names another request" },
    { OperationInProgress, "operation_in_progress", 409, MayHaveRun, true, "The request is being run" },
    { OperationOutcomeUnknown, "operation_outcome_unknown", 502, MayHaveRun, false,
        "Whether the request ran is not known; it will not be run again" },
    { RateLimited, "rate_limited", 429, NotRun, true, "The calling team is over its limit" },
    { QueueFull, "queue_full", 503, NotRun, true, "The queue is full" },
    { DeadlineUnreachable, "deadline_unreachable", 503, NotRun, true, "The deadline cannot be met" },
    { NoServer, "no_server", 503, NotRun, true, "No backend server is available" },
    { LoadBound, "load_bound", 503, NotRun, true, "Every backend server is at its load bound" },
    { NodeNotCurrent, "node_not_current", 503, NotRun, true, "This node has lost touch with the fleet" },
    { StreamOriginUnknown, "stream_origin_unknown", 503, NotRun, false,
        "Which software version began the stream is not known" },
    { StreamVersionGone, "stream_version_gone", 503, NotRun, false,
        "No backend server has the software version that began the stream" },
    { PlatformUnavailable, "platform_unavailable", 503, NotRun, true, "The platform's service is down" },
    { ShuttingDown, "shutting_down", 503, NotRun, true, "This node is leaving" },
    { PoisonRequest, "poison_request", 422, MayHaveRun, false, "The request crashes its backend servers" },
    { RequestCrashesServers, "request_crashes_servers", 503, NotRun, false,
        "Requests like this one crash their backend servers" },
    { ServerFailed, "server_failed", 502, MayHaveRun, false, "The backend server failed" },
    { ServerTimeout, "server_timeout", 504, MayHaveRun, false, "The backend server took too long" },
    { AnswerCut, "answer_cut", 502, MayHaveRun, false, "The answer was cut before its end" },
    { CallerGone, "caller_gone", 499, MayHaveRun, false, "The caller went away" },
    { DraftUnknown, "draft_unknown", 404, NotRun, false, "No draft has this id" },
    { DraftQuota, "draft_quota", 429, NotRun, true, "The calling team has too many drafts" },
    { OperatorUnknown, "operator_unknown", 401, NotRun, false, "The key belongs to no operator" },
    { NotOwner, "not_owner", 403, NotRun, false, "The section belongs to another owner" },
    { InvalidDocument, "invalid_document", 422, NotRun, false, "The configuration has errors" },
    { EditConflict, "edit_conflict", 409, NotRun, false, "The section was changed meanwhile" },
    { Internal, "internal", 500, MayHaveRun, false, "Internal error" },
} };

constexpr std::array<std::string_view, 3> runStateNames { "not_run", "may_have_run", "ran" };

} // namespace

failure makeFailure(
    error_kind kind, std::string detail, std::optional<run_state> run, std::optional<duration> retryAfter)
{
    failure made;
    made.kind = kind;
    made.detail = std::move(detail);
    made.run = run;
    made.retryAfter = retryAfter;
    return made;
}

const error_answer& answerFor(error_kind kind)
{
    return answers.at(static_cast<std::size_t>(kind));
}

std::string_view toString(run_state state)
{
    return runStateNames.at(static_cast<std::size_t>(state));
}

std::optional<error_kind> errorKindFromName(std::string_view name)
{
    const auto row = std::ranges::find(answers, name, &error_answer::name);
    if (row == answers.end())
        return std::nullopt;
    return row->kind;
}

std::optional<run_state> runStateFromName(std::string_view name)
{
    const auto found = std::ranges::find(runStateNames, name);
    if (found == runStateNames.end())
        return std::nullopt;
    return static_cast<run_state>(found - runStateNames.begin());
}

std::string problemJson(const failure& f)
{
    const error_answer& row = answerFor(f.kind);
    boost::json::object body {
        { "type", "about:blank" },
        { "title", row.title },
        { "status", row.httpStatus },
        { "kind", row.name },
        { "run", toString(f.run.value_or(row.run)) },
    };
    if (!f.detail.empty())
        body["detail"] = f.detail;
    if (const int seconds = retryAfterSeconds(f); seconds > 0)
        body["retry_after"] = seconds;
    return boost::json::serialize(body);
}

std::optional<error_kind> errorKindFromProblem(std::string_view body)
{
    boost::system::error_code fault;
    const boost::json::value problem = boost::json::parse(body, fault);
    const boost::json::object* fields = fault ? nullptr : problem.if_object();
    const boost::json::value* kind = fields == nullptr ? nullptr : fields->if_contains("kind");
    const boost::json::string* name = kind == nullptr ? nullptr : kind->if_string();
    return name == nullptr ? std::nullopt : errorKindFromName({ name->data(), name->size() });
}

int retryAfterSeconds(const failure& f)
{
    if (f.retryAfter)
        return std::max(1, static_cast<int>(std::ceil(toSeconds(*f.retryAfter))));
    return answerFor(f.kind).hasRetryAfter ? defaultRetryAfterSeconds : 0;
}

} // namespace utils

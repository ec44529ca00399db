#pragma once

#include "time.h"

#include <optional>
#include <string>
#include <string_view>

namespace utils {

/// Every kind of failure of a request or of an operator's command. A new kind needs a row in the table of
/// errorkind.cpp; a test checks that the table is complete.
enum class error_kind {
    MalformedRequest,
    BodyTooLarge,
    HeaderTooLarge,
    RequestTimeout,
    UnknownTeam,
    NotApproved,
    UnknownModel,
    UnknownRoute,
    MethodNotAllowed,
    KeyReused,
    OperationInProgress,
    OperationOutcomeUnknown,
    RateLimited,
    QueueFull,
    DeadlineUnreachable,
    NoServer,
    LoadBound,
    NodeNotCurrent,
    StreamOriginUnknown,
    StreamVersionGone,
    PlatformUnavailable,
    ShuttingDown,
    PoisonRequest,
    RequestCrashesServers,
    ServerFailed,
    ServerTimeout,
    AnswerCut,
    CallerGone,
    DraftUnknown,
    DraftQuota,
    OperatorUnknown,
    NotOwner,
    InvalidDocument,
    EditConflict,
    Internal,
    Count_
};

/// Whether a failed request ran. A caller may repeat a request that did not run.
enum class run_state {
    NotRun,
    MayHaveRun,
    Ran
};

/// How a kind of failure is answered: a row of the table in errorkind.cpp.
struct error_answer {
    error_kind kind;
    std::string_view name; ///< `kind` in problem+json, e.g. "not_approved"
    int httpStatus;
    run_state run; ///< default, unless the failure sets its own
    bool hasRetryAfter; ///< a later retry may succeed, so the answer has Retry-After
    std::string_view title;
};

/// One failure, as reported to the caller or the operator.
struct failure {
    error_kind kind = error_kind::Internal;
    std::string detail;
    std::optional<run_state> run; ///< overrides that of the table
    std::optional<duration> retryAfter; ///< overrides the default of the table
};

/// Makes a failure. Coroutines must use this function instead of braces: in a coroutine, GCC 12 destroys a
/// string twice that braces convert from a literal ("free(): double free detected"). Thread safe.
failure makeFailure(error_kind kind, std::string detail = {}, std::optional<run_state> run = {},
    std::optional<duration> retryAfter = {});
/// Returns the kind's row of the table. Precondition: kind is not Count_. Thread safe.
const error_answer& answerFor(error_kind kind);
/// "not_run", "may_have_run" or "ran". Thread safe.
std::string_view toString(run_state state);
/// Returns the kind with that name in problem+json, or nothing. Thread safe.
std::optional<error_kind> errorKindFromName(std::string_view name);
/// Returns the run state with that name, or nothing. Thread safe.
std::optional<run_state> runStateFromName(std::string_view name);
/// The body of an application/problem+json answer. Thread safe.
std::string problemJson(const failure& f);
/// Returns the kind that problemJson() wrote, or nothing if the text is no such body. Thread safe.
std::optional<error_kind> errorKindFromProblem(std::string_view body);
/// Whole seconds for Retry-After, at least 1; 0 if the answer has no such header. Thread safe.
int retryAfterSeconds(const failure& f);

} // namespace utils

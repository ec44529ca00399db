#pragma once

#include "time.h"

#include <optional>
#include <string>
#include <string_view>

namespace utils {

/// The closed list of what can go wrong with a request or an operator's order. A new kind needs a row
/// in the table of errorkind.cpp, which a test checks for completeness.
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
    PlatformUnavailable,
    ShuttingDown,
    PoisonRequest,
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

/// What a refusal says about the request: a caller may repeat anything that did not run.
enum class run_state {
    NotRun,
    MayHaveRun,
    Ran
};

/// A row of the table from kind to answer.
struct error_answer {
    error_kind kind;
    std::string_view name; ///< `kind` in problem+json, e.g. "not_approved"
    int httpStatus;
    run_state run; ///< the state unless the failure says otherwise
    bool hasRetryAfter; ///< whether coming back later helps: the answer carries Retry-After
    std::string_view title;
};

/// One failure on its way to the caller or the operator.
struct failure {
    error_kind kind = error_kind::Internal;
    std::string detail;
    std::optional<run_state> run; ///< overrides the table's
    std::optional<duration> retryAfter;
};

/// Makes a failure. Coroutines use this and no braces: GCC 12 destroys a string that braces convert from a
/// literal twice there ("free(): double free detected"). Thread safe.
failure makeFailure(error_kind kind, std::string detail = {}, std::optional<run_state> run = {},
    std::optional<duration> retryAfter = {});
/// The table's row. Precondition: kind is not Count_. Thread safe.
const error_answer& answerFor(error_kind kind);
/// "not_run", "may_have_run" or "ran". Thread safe.
std::string_view toString(run_state state);
/// The kind with that name in problem+json, or nothing. Thread safe.
std::optional<error_kind> errorKindFromName(std::string_view name);
/// The run state with that name, or nothing. Thread safe.
std::optional<run_state> runStateFromName(std::string_view name);
/// The body of an application/problem+json answer. Thread safe.
std::string problemJson(const failure& f);
/// Whole seconds for Retry-After, at least 1, or 0 when coming back does not help. Thread safe.
int retryAfterSeconds(const failure& f);

} // namespace utils

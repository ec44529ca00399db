#include "cutanswer.h"

#include "utils/eventlog.h"

#include <array>
#include <vector>

namespace gateway {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(cut_cause::Count_)> names { "server_silent",
    "server_ended", "garbled", "not_sent", "deadline", "caller_unreachable", "caller_gone", "task_failed",
    "process_end" };

} // namespace

std::string_view toString(cut_cause cause)
{
    return names.at(static_cast<std::size_t>(cause));
}

cut_cause cutCauseOf(attempt_outcome lastSent, stop_reason stopReason)
{
    if (stopReason == stop_reason::DeadlineExceeded)
        return cut_cause::Deadline;
    if (stopReason == stop_reason::CallerGone)
        return cut_cause::CallerGone;
    if (stopReason == stop_reason::NodeEnds)
        return cut_cause::ProcessEnd;
    switch (lastSent) {
    case attempt_outcome::Silent:
        return cut_cause::ServerSilent;
    case attempt_outcome::Garbled:
    case attempt_outcome::Failed:
        return cut_cause::Garbled;
    case attempt_outcome::Cut:
    case attempt_outcome::NotRun:
        return cut_cause::ServerEnded;
    case attempt_outcome::Answered:
    case attempt_outcome::Stopped:
        return cut_cause::CallerUnreachable;
    default:
        return cut_cause::NotSent;
    }
}

void logCutAnswer(
    const unfinished_request& request, cut_cause cause, const std::string& detail, utils::time_point now)
{
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - request.arrivedAt);
    std::vector<utils::log_field> fields { { "request", request.id },
        { "cause", std::string(toString(cause)) }, { "begun", request.hasBegun ? "yes" : "no" },
        { "target", request.target }, { "ms", std::to_string(took.count()) } };
    if (!detail.empty())
        fields.push_back({ "detail", detail });
    utils::logEvent(utils::event::AnswerCut, fields);
}

} // namespace gateway

#include "retryrule.h"

namespace decisions {

namespace {

constexpr unsigned maxAttempts = 3;

bool isFinal(utils::error_kind kind)
{
    using enum utils::error_kind;
    switch (kind) {
    case NoServer:
    case LoadBound:
    case QueueFull:
    case NodeNotCurrent:
    case ShuttingDown:
    case ServerFailed:
    case ServerTimeout:
    case AnswerCut:
        return false;
    default:
        return true;
    }
}

} // namespace

bool mayRetry(const failed_attempt& attempt)
{
    if (isFinal(attempt.kind) || attempt.hasAnswerBegun)
        return false;
    if (attempt.attempts >= maxAttempts || attempt.timeLeft < attempt.expectedWork)
        return false;
    return attempt.run == utils::run_state::NotRun || attempt.isIdempotent;
}

} // namespace decisions

#pragma once

#include "utils/errorkind.h"
#include "utils/time.h"

namespace decisions {

/// A failed attempt to run a request.
struct failed_attempt {
    utils::error_kind kind = utils::error_kind::ServerFailed;
    utils::run_state run = utils::run_state::MayHaveRun;
    bool isIdempotent = false;
    bool hasAnswerBegun = false; ///< bytes of an answer have been sent to the caller
    unsigned attempts = 1; ///< number of attempts made
    utils::duration timeLeft {}; ///< until the deadline
    utils::duration expectedWork {};
};

/// Whether the rules allow another attempt; the retry budget is checked after this. True only if the
/// request is known not to have run or is idempotent, no byte of an answer has been sent, the deadline can
/// still be met, and fewer than three attempts were made. A final refusal (poison, limits, approval) is
/// never retried, since that would only delay the answer to the caller. Thread safe.
bool mayRetry(const failed_attempt& attempt);

} // namespace decisions

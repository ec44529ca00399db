#pragma once

#include "utils/errorkind.h"
#include "utils/time.h"

namespace decisions {

/// What is known about an attempt that failed.
struct failed_attempt {
    utils::error_kind kind = utils::error_kind::ServerFailed;
    utils::run_state run = utils::run_state::MayHaveRun;
    bool isIdempotent = false;
    bool hasAnswerBegun = false; ///< bytes of an answer have gone to the caller
    unsigned attempts = 1; ///< made so far
    utils::duration timeLeft {}; ///< until the deadline
    utils::duration expectedWork {};
};

/// Whether the rules let this attempt be made again; the budget is asked after this. True only for what
/// is known not to have run or is idempotent, before any byte of an answer went out, while the deadline can
/// still be met and the tries are fewer than three. A final refusal (poison, limits, approval) is never
/// retried: it would only hold back the caller's answer. Thread safe.
bool mayRetry(const failed_attempt& attempt);

} // namespace decisions

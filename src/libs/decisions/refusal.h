#pragma once

#include "utils/errorkind.h"
#include "utils/time.h"

#include <cstdint>

namespace decisions {

/// A refusal by one of the decision functions. It is final and sent at once, with the time after which a
/// retry can succeed.
struct refusal {
    utils::error_kind kind = utils::error_kind::QueueFull;
    utils::duration retryAfter {};
};

/// Spreads the retries of refused callers evenly over [base, base + window) by a hash of the request, so
/// that callers refused together do not return together. The same request always gets the same time.
/// Precondition: base and window are not negative. Thread safe.
utils::duration spreadRetryAfter(utils::duration base, utils::duration window, std::uint64_t hash);

} // namespace decisions

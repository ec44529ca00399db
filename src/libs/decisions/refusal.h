#pragma once

#include "utils/errorkind.h"
#include "utils/time.h"

#include <cstdint>

namespace decisions {

/// A deciding function's "no": final, answered at once, with the time after which coming back helps.
struct refusal {
    utils::error_kind kind = utils::error_kind::QueueFull;
    utils::duration retryAfter {};
};

/// Spreads the return of refused callers evenly over [base, base + window) by a hash of the request, so
/// that callers refused together do not come back together. The same request always gets the same place.
/// Precondition: base and window are not negative. Thread safe.
utils::duration spreadRetryAfter(utils::duration base, utils::duration window, std::uint64_t hash);

} // namespace decisions

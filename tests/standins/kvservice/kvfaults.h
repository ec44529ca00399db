#pragma once

#include "utils/time.h"

#include <cstdint>

namespace kvstandin {

/// What the stand-in does wrong at present.
struct kv_faults {
    bool isPaused = false; ///< requests and watches are held until it ends, as by a stopped process
    utils::duration slow {}; ///< each request waits so long before it is run
    unsigned dropAnswers = 0; ///< so many writes to come take effect, and their connection is closed
    unsigned lateWrites = 0; ///< so many writes to come lose their connection and take effect later
    utils::duration lateBy = std::chrono::milliseconds(200);
};

/// Calls since the start. A watch counts when it is opened.
struct kv_call_counters {
    std::uint64_t range = 0;
    std::uint64_t transaction = 0;
    std::uint64_t leaseGrant = 0;
    std::uint64_t leaseKeep = 0;
    std::uint64_t leaseRevoke = 0;
    std::uint64_t watch = 0;
    std::uint64_t openWatches = 0;
};

} // namespace kvstandin

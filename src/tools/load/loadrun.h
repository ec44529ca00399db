#pragma once

#include "callrecord.h"
#include "ledgercheck.h"
#include "loadoptions.h"

#include <optional>
#include <vector>

namespace load {

/// What a run has seen.
struct load_result {
    std::vector<call_record> records;
    std::optional<run_counts> counts; ///< of the ledgers; nothing when one could not be read
    std::size_t notSent = 0; ///< arrivals beyond maxInFlight
    std::vector<std::string> broken;
};

/// Sends requests at their planned times whether or not earlier ones were answered (open loop), waits for the
/// last answers, reads the ledgers and compares. Latency counts from the planned time.
load_result runLoad(const load_options& options);

} // namespace load

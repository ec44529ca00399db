#pragma once

#include "callrecord.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace load {

/// Runs of each key, as the services counted them.
using run_counts = std::map<std::string, unsigned>;

/// Adds a ledger to the counts: an object `{"runs": {key: count}}`, an array of `{"key", "count"}`, or one
/// such object a line. False when the text is none of these. Thread safe for different counts.
bool addLedger(run_counts& counts, std::string_view text);

/// Compares what callers were told with what ran; one line for each broken promise:
///  - an answer that is mixed, truncated or malformed;
///  - a key that ran more than once;
///  - a key with a whole answer that never ran;
///  - a key of which every call was told not_run, which ran;
///  - whole answers to one key that differ.
/// Without counts (no ledger was read) only what the answers show. Thread safe.
std::vector<std::string> brokenPromises(
    const std::vector<call_record>& records, const std::optional<run_counts>& counts);

} // namespace load

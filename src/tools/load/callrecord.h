#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace load {

/// Kinds of requests that the tool sends.
enum class request_kind {
    Chat,
    Lookup,
    Payment,
    Booking,
    Draft, ///< accepted at once, its answer polled for
    Count_
};

/// How a call ended, as its caller sees it.
enum class call_end {
    Whole, ///< the whole answer, checked
    Refused, ///< a final answer of the router: problem+json
    Failed, ///< no connection, timeout, or a cut that the caller can see
    Broken ///< an answer that breaks a promise
};

/// One call that was made.
struct call_record {
    request_kind kind = request_kind::Chat;
    std::string key; ///< idempotency key; empty: none
    std::string body; ///< sent
    std::string node; ///< asked
    int status = 0;
    call_end end = call_end::Failed;
    std::string problem; ///< kind of the refusal, or what is wrong
    std::string run; ///< "not_run", "may_have_run", "ran" of a refusal
    std::string answer;
    double latency = 0; ///< seconds from the planned arrival to the end
    double firstByte = 0; ///< seconds from the planned arrival to the first byte of the body
    double plannedAt = 0; ///< seconds since the start
};

} // namespace load

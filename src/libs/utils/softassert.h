#pragma once

namespace utils {

/// Logs a broken expectation (event 1001). Thread safe.
void reportSoftAssert(const char* condition, const char* file, int line);

} // namespace utils

/// Logs and runs `action` (usually a return) when `condition` does not hold: a broken expectation of the
/// code costs one request, never the process with all the requests in it.
#define LF_ASSERT(condition, action)                                                                         \
    if (condition) [[likely]] {                                                                              \
    } else {                                                                                                 \
        ::utils::reportSoftAssert(#condition, __FILE__, __LINE__);                                           \
        action;                                                                                              \
    }                                                                                                        \
    static_assert(true)

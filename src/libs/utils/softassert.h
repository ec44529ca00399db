#pragma once

namespace utils {

/// Logs a failed soft assertion (event 1001). Thread safe.
void reportSoftAssert(const char* condition, const char* file, int line);

} // namespace utils

/// Soft assertion: if `condition` is false, logs it and runs `action` (usually a return). A programming error
/// then fails one request instead of the process with all its requests.
#define LF_ASSERT(condition, action)                                                                         \
    if (condition) [[likely]] {                                                                              \
    } else {                                                                                                 \
        ::utils::reportSoftAssert(#condition, __FILE__, __LINE__);                                           \
        action;                                                                                              \
    }                                                                                                        \
    static_assert(true)

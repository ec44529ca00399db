#pragma once

#include "utils/processclock.h"

#include <chrono>

namespace serving {

/// The monotonic clock of this process, the fleet's, so that times of both may be compared. Only code that
/// does I/O reads it; it hands the time on. Thread safe.
inline utils::time_point now()
{
    return utils::processNow();
}

/// The same instant on Asio's timers, whose clock has another origin. Thread safe.
inline std::chrono::steady_clock::time_point toSteady(utils::time_point time)
{
    return std::chrono::steady_clock::now() + (time - now());
}

} // namespace serving

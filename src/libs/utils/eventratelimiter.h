#pragma once

#include "eventcatalogue.h"
#include "time.h"

#include <cstdint>
#include <map>

namespace utils {

/// Limits the log lines of each event with a token bucket, so that logging does not add to an overload: a
/// refusal costs some microseconds, its log line about as much again. Suppressed lines are counted and the
/// number is reported with the next line of the event. Not thread safe.
class event_rate_limiter {
public:
    /// Lines a second of one event: above what a node serves in its busiest second.
    static constexpr double linesPerSecond = 300;
    /// Lines at once: two seconds' worth.
    static constexpr double burst = 600;

    /// Whether a line may be written, and how many were suppressed since the last one that was.
    struct decision {
        bool isAdmitted = false;
        std::uint64_t suppressed = 0;
    };
    /// Decides whether a line of the event may be written at `now`, and counts it.
    decision admit(event id, time_point now);

private:
    struct state {
        double tokens = burst;
        time_point at {};
        std::uint64_t suppressed = 0;
    };
    std::map<event, state> m_states;
};

} // namespace utils

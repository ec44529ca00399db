#pragma once

#include "eventcatalogue.h"
#include "time.h"

#include <cstdint>
#include <map>

namespace utils {

/// Bounds how many lines of each event a process writes, so that an overload does not become one of the
/// log: a refusal costs some microseconds, its line about as much again. Lines left out are counted and
/// told with the next line of the event. Not thread safe.
class event_rate_limiter {
public:
    /// Lines a second of one event: above what a node serves in its busiest second.
    static constexpr double linesPerSecond = 300;
    /// Lines at once: two seconds' worth.
    static constexpr double burst = 600;

    /// Whether a line of that event may be written now; what was left out since the last one.
    struct decision {
        bool isAdmitted = false;
        std::uint64_t suppressed = 0;
    };
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

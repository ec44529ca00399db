#pragma once

#include "utils/time.h"

#include <functional>
#include <map>
#include <utility>

namespace loadplay {

/// Events in virtual time; those of one moment run in the order in which they were planned. Not thread safe.
class event_loop {
public:
    utils::time_point now() const { return m_now; }
    /// Plans an event. Precondition: `at` is not in the past.
    void plan(utils::time_point at, std::function<void()> event) { m_events.emplace(at, std::move(event)); }
    /// Runs until nothing is planned up to `until`.
    void run(utils::time_point until)
    {
        while (!m_events.empty() && m_events.begin()->first <= until) {
            const auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = until;
    }

private:
    utils::time_point m_now {};
    std::multimap<utils::time_point, std::function<void()>> m_events;
};

} // namespace loadplay

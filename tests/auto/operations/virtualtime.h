#pragma once

#include "utils/time.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

/// Runs callbacks in the order of their virtual due times. Not thread safe.
class virtual_time {
public:
    utils::time_point now() const { return m_now; }

    void after(utils::duration delay, std::function<void()> callback)
    {
        m_queue.emplace(m_now + std::max(delay, utils::duration()), std::move(callback));
    }

    /// Runs the callbacks due within `span`, then sets the clock to its end.
    void advance(utils::duration span)
    {
        const utils::time_point end = m_now + span;
        while (!m_queue.empty() && m_queue.begin()->first <= end) {
            auto next = m_queue.extract(m_queue.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = end;
    }

private:
    utils::time_point m_now;
    std::multimap<utils::time_point, std::function<void()>> m_queue;
};

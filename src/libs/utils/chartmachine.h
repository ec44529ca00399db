#pragma once

#include "softassert.h"
#include "statechart.h"
#include "time.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace utils {

/// A machine whose steps stand in a state chart: takes events, calls the member function that belongs to
/// each action of the arrow taken, and gathers what the daemon must do.
///
/// Machine has `static const action_table& table()`, from action names to its member functions.
/// Not thread safe.
template <class Machine, class Action> class chart_machine {
public:
    using method = void (Machine::*)(time_point);
    using action_table = std::map<std::string_view, method>;

    /// Precondition: the chart outlives this.
    explicit chart_machine(const state_chart& chart)
        : m_position(chart)
    {
    }

    /// The chart's state, for logs and tests.
    const std::string& state() const { return m_position.state(); }
    /// The last event given to the chart, for logs and tests.
    const std::string& lastEvent() const { return m_lastEvent; }
    /// Whether nothing is left to do: the machine may be deleted.
    bool isFinished() const { return m_position.isFinal(); }

    /// Fails with error_kind::InvalidDocument if the chart names an action that the machine lacks. Thread
    /// safe.
    static result<void> checkChart(const state_chart& chart)
    {
        for (const chart_transition& arrow : chart.transitions()) {
            for (const std::string& action : arrow.actions) {
                if (!Machine::table().contains(action))
                    return fail(error_kind::InvalidDocument,
                        chart.name() + ": state " + arrow.from + " names unknown action " + action);
            }
        }
        return {};
    }

protected:
    void step(std::string_view event, time_point now)
    {
        m_lastEvent = event;
        const std::vector<std::string> names = m_position.take(event);
        for (const std::string& name : names) {
            const auto found = Machine::table().find(name);
            LF_ASSERT(found != Machine::table().end(), continue);
            (static_cast<Machine*>(this)->*found->second)(now);
        }
    }

    template <class Item> void emit(Item&& item) { m_actions.emplace_back(std::forward<Item>(item)); }
    std::vector<Action> takeActions() { return std::exchange(m_actions, {}); }

private:
    chart_position m_position;
    std::string m_lastEvent;
    std::vector<Action> m_actions;
};

} // namespace utils

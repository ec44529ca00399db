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

/// Base of a state machine whose transitions are defined in a state chart. step() takes an event and calls
/// the member function of each action of the transition; these emit() what the owner must carry out.
///
/// `Machine` is the derived class (CRTP) and has `static const action_table& table()`, which maps action
/// names to its member functions. `Action` is the type of what they emit. Not thread safe.
template <class Machine, class Action> class chart_machine {
public:
    using method = void (Machine::*)(time_point);
    using action_table = std::map<std::string_view, method>;

    /// Precondition: the chart outlives this object.
    explicit chart_machine(const state_chart& chart)
        : m_position(chart)
    {
    }

    /// The current state, for logs and tests.
    const std::string& state() const { return m_position.state(); }
    /// The last event that was taken, for logs and tests.
    const std::string& lastEvent() const { return m_lastEvent; }
    /// Whether a final state is reached: the machine may be deleted.
    bool isFinished() const { return m_position.isFinal(); }

    /// Fails with error_kind::InvalidDocument if the chart names an action that is not in Machine's table.
    /// Thread safe.
    static result<void> checkChart(const state_chart& chart)
    {
        for (const chart_transition& transition : chart.transitions()) {
            for (const std::string& action : transition.actions) {
                if (!Machine::table().contains(action))
                    return fail(error_kind::InvalidDocument,
                        chart.name() + ": state " + transition.from + " names unknown action " + action);
            }
        }
        return {};
    }

protected:
    /// Takes the event and calls the member function for each action of the transition.
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

    /// Adds an item for the owner to carry out.
    template <class Item> void emit(Item&& item) { m_actions.emplace_back(std::forward<Item>(item)); }
    /// Returns the emitted items and clears them.
    std::vector<Action> takeActions() { return std::exchange(m_actions, {}); }

private:
    chart_position m_position;
    std::string m_lastEvent;
    std::vector<Action> m_actions;
};

} // namespace utils

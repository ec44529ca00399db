#pragma once

#include "result.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace utils {

/// One transition of a chart.
struct chart_transition {
    std::string from;
    std::string event;
    std::string to;
    std::vector<std::string> actions; ///< names; chart_machine maps each to a member function
};

/// A state chart, read from a YAML file in share/lycheefront/charts:
///
///     chart: operation
///     initial: new
///     final: [answered]
///     states:
///       new:
///         create: {to: creating, do: [writeRecord]}
///     ignored: {answered: [tick]}   # events that have no effect in a state
///
/// Immutable once parsed, so it may be shared between threads.
class state_chart {
public:
    /// Parses and validates a chart: each state must be reachable, each must have a path to a final state if
    /// there are any, and each must handle every event of the chart by a transition or by `ignored`.
    /// Fails with error_kind::InvalidDocument; the failure names the state and the event. Thread safe.
    static result<state_chart> parse(const std::string& yaml);
    /// Reads a file and parses it as parse() does. Thread safe.
    static result<state_chart> load(const std::string& path);

    /// Thread safe.
    const std::string& name() const { return m_name; }
    /// Thread safe.
    const std::string& initial() const { return m_initial; }
    /// Thread safe.
    const std::vector<std::string>& states() const { return m_states; }
    /// Every event with a transition in some state. Thread safe.
    const std::vector<std::string>& events() const { return m_events; }
    /// Every transition, in the order of the file. Thread safe.
    const std::vector<chart_transition>& transitions() const { return m_transitions; }
    /// Thread safe.
    bool isFinal(std::string_view state) const;
    /// Returns the transition for `event` from `state`, or null if the state ignores it. Thread safe.
    const chart_transition* find(std::string_view state, std::string_view event) const;

private:
    result<void> check() const;
    result<void> checkReachable() const;
    result<void> checkFinalReachable() const;
    result<void> checkEventsHandled() const;

    std::string m_name;
    std::string m_initial;
    std::vector<std::string> m_states;
    std::vector<std::string> m_finals;
    std::vector<std::string> m_events;
    std::vector<chart_transition> m_transitions;
    std::map<std::string, std::vector<std::string>> m_ignored;
};

/// The current state of one object in a chart. Not thread safe.
class chart_position {
public:
    /// Precondition: the chart outlives this object.
    explicit chart_position(const state_chart& chart)
        : m_chart(&chart)
        , m_state(chart.initial())
    {
    }

    const std::string& state() const { return m_state; }
    bool isFinal() const { return m_chart->isFinal(m_state); }
    /// Takes the event and moves to the next state. Returns the actions of the transition, none if the state
    /// ignores the event.
    const std::vector<std::string>& take(std::string_view event);

private:
    const state_chart* m_chart;
    std::string m_state;
};

} // namespace utils

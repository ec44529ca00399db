#pragma once

#include "result.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace utils {

/// One arrow of a chart.
struct chart_transition {
    std::string from;
    std::string event;
    std::string to;
    std::vector<std::string> actions; ///< names; the interpreter's owner maps each to what it does
};

/// A state chart read from a YAML file of share/lycheefront/charts:
///
///     chart: operation
///     initial: new
///     final: [answered]
///     states:
///       new:
///         create: {to: creating, do: [writeRecord]}
///     ignored: {answered: [tick]}   # events that a state takes without effect
///
/// Immutable once read, so it may be shared between threads.
class state_chart {
public:
    /// Reads and checks a chart: each state reachable, each non-final state with a way to a final one, and
    /// each state with an answer (an arrow or `ignored`) to every event of the chart.
    /// Fails with error_kind::InvalidDocument that names state and event. Thread safe.
    static result<state_chart> parse(const std::string& yaml);
    /// Reads a file, then as parse. Thread safe.
    static result<state_chart> load(const std::string& path);

    /// Thread safe.
    const std::string& name() const { return m_name; }
    /// Thread safe.
    const std::string& initial() const { return m_initial; }
    /// Thread safe.
    const std::vector<std::string>& states() const { return m_states; }
    /// Every event that any state names. Thread safe.
    const std::vector<std::string>& events() const { return m_events; }
    /// Every arrow, in the file's order. Thread safe.
    const std::vector<chart_transition>& transitions() const { return m_transitions; }
    /// Thread safe.
    bool isFinal(std::string_view state) const;
    /// The arrow that `event` takes from `state`, or null when the state ignores it. Thread safe.
    const chart_transition* find(std::string_view state, std::string_view event) const;

private:
    result<void> check() const;
    result<void> checkReachable() const;
    result<void> checkWayOut() const;
    result<void> checkComplete() const;

    std::string m_name;
    std::string m_initial;
    std::vector<std::string> m_states;
    std::vector<std::string> m_finals;
    std::vector<std::string> m_events;
    std::vector<chart_transition> m_transitions;
    std::map<std::string, std::vector<std::string>> m_ignored;
};

/// Where one object stands in a chart. Not thread safe.
class chart_position {
public:
    /// Precondition: the chart outlives this.
    explicit chart_position(const state_chart& chart)
        : m_chart(&chart)
        , m_state(chart.initial())
    {
    }

    const std::string& state() const { return m_state; }
    bool isFinal() const { return m_chart->isFinal(m_state); }
    /// Takes the event; the actions of the arrow taken, none when the state ignores the event.
    const std::vector<std::string>& take(std::string_view event);

private:
    const state_chart* m_chart;
    std::string m_state;
};

} // namespace utils

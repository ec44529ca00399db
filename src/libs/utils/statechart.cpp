#include "statechart.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace utils {

namespace {

bool contains(const std::vector<std::string>& list, std::string_view item)
{
    return std::ranges::find(list, item) != list.end();
}

void addOnce(std::vector<std::string>& list, const std::string& item)
{
    if (!contains(list, item))
        list.push_back(item);
}

std::vector<std::string> readNames(const YAML::Node& node)
{
    if (!node)
        return {};
    return node.as<std::vector<std::string>>();
}

std::string describe(const std::string& chart, const std::string& state)
{
    return chart + ": state " + state;
}

/// Returns `reached` and all states that transitions lead to from there; with `backwards`, all states that
/// lead to it.
std::set<std::string> reachableStates(
    const std::vector<chart_transition>& transitions, std::set<std::string> reached, bool backwards)
{
    bool grew = true;
    while (grew) {
        grew = false;
        for (const chart_transition& transition : transitions) {
            const std::string& from = backwards ? transition.to : transition.from;
            const std::string& to = backwards ? transition.from : transition.to;
            if (reached.contains(from))
                grew = reached.insert(to).second || grew;
        }
    }
    return reached;
}

} // namespace

result<state_chart> state_chart::parse(const std::string& yaml)
{
    state_chart chart;
    try {
        const YAML::Node root = YAML::Load(yaml);
        chart.m_name = root["chart"].as<std::string>();
        chart.m_initial = root["initial"].as<std::string>();
        chart.m_finals = readNames(root["final"]);
        for (const auto& state : root["states"]) {
            const auto from = state.first.as<std::string>();
            chart.m_states.push_back(from);
            for (const auto& transition : state.second) {
                const auto event = transition.first.as<std::string>();
                addOnce(chart.m_events, event);
                chart.m_transitions.push_back({ from, event, transition.second["to"].as<std::string>(),
                    readNames(transition.second["do"]) });
            }
        }
        for (const auto& ignored : root["ignored"])
            chart.m_ignored[ignored.first.as<std::string>()] = readNames(ignored.second);
    } catch (const YAML::Exception& e) {
        return fail(error_kind::InvalidDocument, std::string("state chart: ") + e.what());
    }
    BOOST_LEAF_CHECK(chart.check());
    return chart;
}

result<state_chart> state_chart::load(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(error_kind::InvalidDocument, "state chart: cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str());
}

bool state_chart::isFinal(std::string_view state) const
{
    return contains(m_finals, state);
}

const chart_transition* state_chart::find(std::string_view state, std::string_view event) const
{
    const auto transition = std::ranges::find_if(
        m_transitions, [&](const chart_transition& t) { return t.from == state && t.event == event; });
    return transition == m_transitions.end() ? nullptr : &*transition;
}

result<void> state_chart::check() const
{
    BOOST_LEAF_CHECK(checkReachable());
    BOOST_LEAF_CHECK(checkFinalReachable());
    return checkEventsHandled();
}

result<void> state_chart::checkReachable() const
{
    const std::set<std::string> reached = reachableStates(m_transitions, { m_initial }, false);
    for (const std::string& state : reached) {
        if (!contains(m_states, state))
            return fail(error_kind::InvalidDocument, describe(m_name, state) + " is not defined");
    }
    for (const std::string& state : m_states) {
        if (!reached.contains(state))
            return fail(error_kind::InvalidDocument, describe(m_name, state) + " is unreachable");
    }
    return {};
}

result<void> state_chart::checkFinalReachable() const
{
    if (m_finals.empty())
        return {};
    const std::set<std::string> canFinish
        = reachableStates(m_transitions, { m_finals.begin(), m_finals.end() }, true);
    for (const std::string& state : m_states) {
        if (!canFinish.contains(state))
            return fail(
                error_kind::InvalidDocument, describe(m_name, state) + " has no path to a final state");
    }
    return {};
}

result<void> state_chart::checkEventsHandled() const
{
    for (const std::string& state : m_states) {
        const auto ignored = m_ignored.find(state);
        for (const std::string& event : m_events) {
            const bool isIgnored = ignored != m_ignored.end() && contains(ignored->second, event);
            if (!isIgnored && find(state, event) == nullptr)
                return fail(
                    error_kind::InvalidDocument, describe(m_name, state) + " does not handle event " + event);
        }
    }
    return {};
}

const std::vector<std::string>& chart_position::take(std::string_view event)
{
    static const std::vector<std::string> none;
    const chart_transition* transition = m_chart->find(m_state, event);
    if (transition == nullptr)
        return none;
    m_state = transition->to;
    return transition->actions;
}

} // namespace utils

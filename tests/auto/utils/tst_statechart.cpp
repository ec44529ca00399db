#include "utils/statechart.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

constexpr auto lampChart = R"(
chart: lamp
initial: off
final: [broken]
states:
  off:
    press: {to: on, do: [light, count]}
    drop: {to: broken}
  on:
    press: {to: off}
    drop: {to: broken}
  broken: {}
ignored:
  broken: [press, drop]
)";

std::string errorOf(const std::string& yaml)
{
    return utils::valueOr(
        [&]() -> utils::result<std::string> {
            BOOST_LEAF_CHECK(utils::state_chart::parse(yaml));
            return std::string();
        },
        [](const utils::failure& f) { return f.detail; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(statechart)

BOOST_AUTO_TEST_CASE(position_follows_transitions_and_returns_their_actions)
{
    const utils::state_chart chart = utils::state_chart::parse(lampChart).value();
    utils::chart_position position(chart);
    const std::vector<std::string> expected { "light", "count" };
    BOOST_TEST(position.take("press") == expected, boost::test_tools::per_element());
    BOOST_TEST(position.state() == "on");
    position.take("drop");
    BOOST_TEST(position.isFinal());
    BOOST_TEST(position.take("press").empty());
    BOOST_TEST(position.state() == "broken");
}

BOOST_AUTO_TEST_CASE(chart_with_unhandled_event_is_rejected)
{
    std::string yaml = lampChart;
    yaml.replace(yaml.find("[press, drop]"), 13, "[press]");
    BOOST_TEST(errorOf(yaml) == "lamp: state broken does not handle event drop");
}

BOOST_AUTO_TEST_CASE(chart_with_unreachable_state_is_rejected)
{
    std::string yaml = lampChart;
    yaml.replace(yaml.find("  broken: {}"), 12, "  broken: {}\n  dim: {}");
    BOOST_TEST(errorOf(yaml) == "lamp: state dim is unreachable");
}

BOOST_AUTO_TEST_CASE(chart_with_state_without_path_to_final_is_rejected)
{
    const std::string yaml = "chart: loop\ninitial: a\nfinal: [c]\nstates:\n  a: {x: {to: b}, y: {to: c}}\n"
                             "  b: {x: {to: b}, y: {to: b}}\n  c: {}\nignored: {c: [x, y]}\n";
    BOOST_TEST(errorOf(yaml) == "loop: state b has no path to a final state");
}

BOOST_AUTO_TEST_SUITE_END()

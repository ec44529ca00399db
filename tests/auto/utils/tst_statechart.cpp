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

BOOST_AUTO_TEST_CASE(a_position_follows_the_arrows_and_gives_their_actions)
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

BOOST_AUTO_TEST_CASE(an_event_without_an_answer_in_some_state_is_refused)
{
    std::string yaml = lampChart;
    yaml.replace(yaml.find("[press, drop]"), 13, "[press]");
    BOOST_TEST(errorOf(yaml) == "lamp: state broken has no answer to event drop");
}

BOOST_AUTO_TEST_CASE(a_state_that_cannot_be_reached_is_refused)
{
    std::string yaml = lampChart;
    yaml.replace(yaml.find("  broken: {}"), 12, "  broken: {}\n  dim: {}");
    BOOST_TEST(errorOf(yaml) == "lamp: state dim cannot be reached");
}

BOOST_AUTO_TEST_CASE(a_state_without_a_way_to_an_end_is_refused)
{
    const std::string yaml = "chart: loop\ninitial: a\nfinal: [c]\nstates:\n  a: {x: {to: b}, y: {to: c}}\n"
                             "  b: {x: {to: b}, y: {to: b}}\n  c: {}\nignored: {c: [x, y]}\n";
    BOOST_TEST(errorOf(yaml) == "loop: state b has no way to an end");
}

BOOST_AUTO_TEST_SUITE_END()

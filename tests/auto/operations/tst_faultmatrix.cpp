#include "draftworld.h"
#include "paymentworld.h"
#include "placerworld.h"

#include "utils/statechart.h"

#include <boost/test/unit_test.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

/// The fault matrix: injects every fault and every pair of faults at every transition of every chart. The
/// table tests/scenarios/faultmatrix.yaml has a row for each transition and a column for each fault; a
/// missing entry fails the test, so that a transition added to a chart cannot be left untested.

namespace {

constexpr unsigned maxSeeds = 20000;

using world_maker = std::function<std::unique_ptr<matrix_world>(unsigned seed)>;

/// Run and event in which a transition is taken.
struct transition_site {
    unsigned seed = 0;
    std::uint64_t event = 0;
};

const std::string sourceDirectory = LYCHEEFRONT_SOURCE_DIR;

utils::state_chart loadChart(const std::string& name)
{
    return utils::state_chart::load(sourceDirectory + "/share/lycheefront/charts/" + name + ".yaml").value();
}

const YAML::Node& table()
{
    static const YAML::Node root = YAML::LoadFile(sourceDirectory + "/tests/scenarios/faultmatrix.yaml");
    return root;
}

std::string nameOf(matrix_fault fault)
{
    return std::string(matrixFaultNames.at(static_cast<std::size_t>(fault)));
}

/// The text of a cell: "holds", "cannot meet: <why>", "not covered: <why>" or "see <test>". Empty if the
/// table has no such cell.
std::string expectation(const std::string& chart, const std::string& step, matrix_fault fault)
{
    const YAML::Node rows = table()[chart];
    if (!rows || !rows["transitions"][step])
        return {};
    const YAML::Node own = rows["transitions"][step][nameOf(fault)];
    const YAML::Node column = rows["faults"][nameOf(fault)];
    if (own)
        return own.as<std::string>();
    return column ? column.as<std::string>() : std::string();
}

std::string unreachedReason(const std::string& chart, const std::string& step)
{
    const YAML::Node row = table()[chart]["transitions"][step];
    const YAML::Node own = row ? row["unreached"] : row;
    return own ? own.as<std::string>() : std::string();
}

/// Finds for each transition a run that takes it without an injected fault.
std::map<std::string, transition_site> findRuns(const utils::state_chart& chart, const world_maker& make)
{
    std::set<std::string> wanted;
    for (const utils::chart_transition& arrow : chart.transitions()) {
        const std::string step = arrow.from + ' ' + arrow.event;
        if (unreachedReason(chart.name(), step).empty())
            wanted.insert(step);
    }
    std::map<std::string, transition_site> found;
    for (unsigned seed = 0; seed < maxSeeds && found.size() < wanted.size(); ++seed) {
        const auto world = make(seed);
        const std::vector<std::string> violations = world->play();
        for (const std::string& violation : violations)
            BOOST_ERROR(chart.name() << ", seed " << seed << ", no injected fault: " << violation);
        for (const matrix_step& step : world->steps) {
            if (wanted.contains(step.step))
                found.try_emplace(step.step, transition_site { seed, step.event });
            else
                BOOST_TEST(unreachedReason(chart.name(), step.step).empty(),
                    chart.name() << ": \"" << step.step << "\" is taken by seed " << seed);
        }
    }
    for (const std::string& step : wanted)
        BOOST_TEST(found.contains(step), chart.name() << ": no run takes \"" << step << '"');
    return found;
}

void checkCell(const world_maker& make, const transition_site& at,
    const std::vector<matrix_injection>& injections, const std::string& what)
{
    const auto world = make(at.seed);
    world->injections = injections;
    const std::vector<std::string> violations = world->play();
    for (const std::string& violation : violations)
        BOOST_ERROR(what << " (seed " << at.seed << ", event " << at.event << "): " << violation);
}

/// Plays each pair of faults in both orders if `bothOrders`, otherwise in one order, which alternates between
/// cells.
void checkChart(const std::string& name, const world_maker& make, bool bothOrders)
{
    const utils::state_chart chart = loadChart(name);
    std::size_t single = 0;
    std::size_t pairs = 0;
    const std::map<std::string, transition_site> runs = findRuns(chart, make);
    for (const auto& [step, at] : runs) {
        std::vector<matrix_fault> faults;
        for (std::size_t i = 0; i < matrixFaultNames.size(); ++i) {
            const auto fault = static_cast<matrix_fault>(i);
            if (expectation(name, step, fault) == "holds")
                faults.push_back(fault);
        }
        const std::string cell = step + " with ";
        for (const matrix_fault first : faults) {
            checkCell(make, at, { { at.event, first } }, cell + nameOf(first));
            ++single;
            for (const matrix_fault second : faults) {
                const bool isSecondLater = first < second;
                const bool isOdd
                    = (static_cast<unsigned>(first) + static_cast<unsigned>(second) + at.seed) % 2 != 0;
                if (!bothOrders && first != second && isSecondLater == isOdd)
                    continue;
                std::string both = cell;
                both.append(nameOf(first)).append(" then ").append(nameOf(second));
                checkCell(make, at, { { at.event, first }, { at.event + 1, second } }, both);
                ++pairs;
            }
        }
    }
    std::cout << name << ": " << chart.transitions().size() << " transitions, "
              << chart.transitions().size() - runs.size() << " of them not taken, " << single
              << " cells with one fault, " << pairs << " with two\n";
}

/// Whether tests/auto contains a source file of that name.
bool testExists(const std::string& name)
{
    for (const auto& entry : std::filesystem::recursive_directory_iterator(sourceDirectory + "/tests/auto")) {
        if (entry.path().filename() == name + ".cpp")
            return true;
    }
    return false;
}

void checkRow(const std::string& chart, const std::string& step)
{
    for (std::size_t i = 0; i < matrixFaultNames.size(); ++i) {
        const auto fault = static_cast<matrix_fault>(i);
        const std::string words = expectation(chart, step, fault);
        const bool isKnown
            = words == "holds" || words.starts_with("cannot meet: ") || words.starts_with("not covered: ");
        if (words.starts_with("see "))
            BOOST_TEST(testExists(words.substr(4)), chart << ": no test " << words.substr(4));
        else
            BOOST_TEST(isKnown, chart << ": no expectation for \"" << step << "\" with " << nameOf(fault));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(matrix)

BOOST_AUTO_TEST_CASE(every_transition_has_an_expectation_for_every_fault)
{
    for (const auto& entry :
        std::filesystem::directory_iterator(sourceDirectory + "/share/lycheefront/charts")) {
        const utils::state_chart chart = loadChart(entry.path().stem().string());
        std::set<std::string> steps;
        for (const utils::chart_transition& arrow : chart.transitions()) {
            steps.insert(arrow.from + ' ' + arrow.event);
            checkRow(chart.name(), arrow.from + ' ' + arrow.event);
        }
        for (const auto& row : table()[chart.name()]["transitions"])
            BOOST_TEST(steps.contains(row.first.as<std::string>()),
                chart.name() << ": the chart has no \"" << row.first.as<std::string>() << '"');
    }
}

BOOST_AUTO_TEST_CASE(operation)
{
    const utils::state_chart chart = loadChart("operation");
    checkChart(
        "operation", [&](unsigned seed) { return std::make_unique<payment_world>(chart, seed); }, true);
}

BOOST_AUTO_TEST_CASE(draft)
{
    const utils::state_chart chart = loadChart("draft");
    // Playing all 20,000 pairs takes 90 seconds, so it is done only with LYCHEEFRONT_BOTH_ORDERS set.
    const bool bothOrders = std::getenv("LYCHEEFRONT_BOTH_ORDERS") != nullptr;
    checkChart(
        "draft", [&](unsigned seed) { return std::make_unique<draft_world>(chart, seed); }, bothOrders);
}

BOOST_AUTO_TEST_CASE(order)
{
    const utils::state_chart chart = loadChart("order");
    checkChart(
        "order", [&](unsigned seed) { return std::make_unique<placer_world>(chart, seed); }, true);
}

BOOST_AUTO_TEST_SUITE_END()

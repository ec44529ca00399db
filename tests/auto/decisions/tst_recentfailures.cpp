#include "decisions/recentfailures.h"
#include "decisions/serverchoice.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <random>

using namespace std::chrono_literals;
using decisions::recent_failures;
using decisions::server_candidate;
using decisions::server_choice;
using decisions::server_loads;
using utils::server_id;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

/// How the nodes of a fleet take failures into account.
enum class awareness {
    None,
    Own, ///< each node counts what it has seen itself
    Told ///< nodes tell each other four times a second
};

struct fleet_load {
    std::array<double, 3> failing { 0, 0, 0 }; ///< share of payments that each server loses
    int requests = 2000; ///< one every 50 ms: some 20 a second over seven nodes
};

struct load_result {
    int failed = 0;
    std::map<std::string, int> sent;
};

load_result play(const fleet_load& load, awareness how)
{
    constexpr std::size_t nodes = 7;
    std::array<recent_failures, nodes> failures;
    const server_loads idle;
    const server_choice choice;
    std::mt19937 random(20261203);
    std::uniform_real_distribution<double> chance(0, 1);
    load_result result;
    for (int i = 0; i < load.requests; ++i) {
        const utils::time_point now = at(50ms * i);
        recent_failures& own = failures.at(random() % nodes);
        std::vector<server_candidate> candidates;
        for (int server = 0; server < 3; ++server) {
            const server_id id("press-" + std::to_string(server));
            const double known = how == awareness::None ? 0 : own.countAt(id, now);
            candidates.push_back({ id, "a", 6, 1, 0, 1, known });
        }
        const auto placed = choice.choose(candidates, { {}, 0, "a", random() }, idle, now);
        const auto index = static_cast<std::size_t>(placed->server.str().back() - '0');
        const bool isFailure = chance(random) < load.failing.at(index);
        own.recordOutcome("pay", placed->server, isFailure, now);
        result.failed += isFailure ? 1 : 0;
        ++result.sent[placed->server.str()];
        if (how != awareness::Told || i % 5 != 0)
            continue;
        for (recent_failures& teller : failures) {
            for (const auto& note : teller.takeUpdates()) {
                for (recent_failures& other : failures) {
                    if (&other != &teller)
                        other.applyUpdate(note, now);
                }
            }
        }
    }
    return result;
}

/// What engines got of a load.
struct engine_result {
    double overLimit = 0; ///< share of requests sent to an engine above twice the mean and three
    double atFailing = 0; ///< share sent to engines where requests failed
};

double meanOf(std::size_t running, std::size_t engines)
{
    return static_cast<double>(running) / static_cast<double>(engines);
}

/// A hundred prompts a second of 0.6 s each, about thirty documents, over seven nodes that tell their loads
/// four times a second; at eight of twelve engines so many requests have failed of late, and they get that
/// weight after an ejection.
engine_result playEngines(double failures, double weight)
{
    constexpr std::size_t nodes = 7;
    constexpr std::size_t engines = 12;
    constexpr int requests = 2000;
    constexpr auto gap = 10ms;
    std::array<server_loads, nodes> loads;
    std::array<server_choice, nodes> choices;
    std::vector<server_candidate> candidates;
    for (std::size_t i = 0; i < engines; ++i)
        candidates.push_back({ server_id("engine-" + std::to_string(i)), "a", 128, i < 8 ? weight : 1, 700000,
            1, i < 8 ? failures : 0 });
    std::map<server_id, int> running;
    std::vector<std::pair<std::size_t, server_id>> underWay;
    std::mt19937 random(20261203);
    engine_result result;
    for (int i = 0; i < requests; ++i) {
        const utils::time_point now = at(i * gap);
        const std::size_t node = random() % nodes;
        const std::uint64_t document = random() % 30;
        const std::vector<decisions::prompt_part> parts { { document, 6000 }, { 1000U + i, 500 } };
        const auto placed
            = choices.at(node).choose(candidates, { parts, 6500, "a", random() }, loads.at(node), now);
        const auto chosen = std::ranges::find(candidates, placed->server, &server_candidate::id);
        result.overLimit += running[chosen->id] + 1 > 2 * meanOf(underWay.size(), engines) + 3 ? 1 : 0;
        result.atFailing += chosen - candidates.begin() < 8 ? 1 : 0;
        choices.at(node).recordSent(*chosen, parts);
        for (const auto& note : choices.at(node).takeUpdates()) {
            for (std::size_t other = 0; other < nodes; ++other) {
                if (other != node)
                    choices.at(other).applyUpdate(note, chosen->cacheTokens);
            }
        }
        loads.at(node).started(chosen->id, 0);
        ++running[chosen->id];
        underWay.emplace_back(node, chosen->id);
        if (underWay.size() > 60) {
            const auto [from, server] = underWay.front();
            loads.at(from).finished(server);
            --running[server];
            underWay.erase(underWay.begin());
        }
        const auto teller = static_cast<std::size_t>(i % 25);
        if (teller >= nodes)
            continue;
        for (std::size_t other = 0; other < nodes; ++other) {
            if (other != teller)
                loads.at(other).updatePeer(
                    utils::node_id("n" + std::to_string(teller)), loads.at(teller).ownShares(), now);
        }
    }
    result.overLimit /= requests;
    result.atFailing /= requests;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(recently_failed)

// Eight of twelve engines lose answers, then the fault ends, and for some seconds all nodes still prefer the
// four others. Each sees the loads of its peers a quarter of a second old, so together they overload these
// four: callers there wait behind each other while eight engines idle.
BOOST_AUTO_TEST_CASE(engines_that_do_not_fail_are_not_overrun)
{
    const engine_result calm = playEngines(0, 1);
    const engine_result after = playEngines(8, 0.3);
    BOOST_TEST_MESSAGE("above twice the mean: calm " << calm.overLimit << ", failures known "
                                                     << after.overLimit << "; at failing engines "
                                                     << calm.atFailing << ", " << after.atFailing);
    // Half of what the users allow in calm seconds.
    BOOST_TEST(after.overLimit <= 0.015);
    BOOST_TEST(after.atFailing < calm.atFailing);
}

// Two of three replicas lose the answers of every tenth payment, each of which the caller must be told as
// unknown; their health is good and five in a row never fail. The third has room for all payments. A node
// that knows only its own failures sees one in five seconds; nodes that tell each other go where none fails.
BOOST_AUTO_TEST_CASE(payments_go_where_none_fails)
{
    const fleet_load load { { 0.1, 0.1, 0 }, 2000 };
    const load_result blind = play(load, awareness::None);
    const load_result own = play(load, awareness::Own);
    const load_result told = play(load, awareness::Told);
    BOOST_TEST_MESSAGE("payments lost of " << load.requests << ": " << blind.failed << ", by own failures "
                                           << own.failed << ", told " << told.failed);
    BOOST_TEST(told.failed < own.failed);
    BOOST_TEST(own.failed < blind.failed);
    BOOST_TEST(told.failed * 3 < blind.failed);
}

// All replicas fail alike: no one is preferred for long, and each gets its share.
BOOST_AUTO_TEST_CASE(common_failures_shift_nothing)
{
    const load_result told = play({ { 0.15, 0.15, 0.15 }, 2000 }, awareness::Told);
    for (const auto& [server, count] : told.sent)
        BOOST_TEST(count > 2000 / 5, server);
}

// A route of which every seventh request fails wherever it runs, and its replicas are equal.
BOOST_AUTO_TEST_CASE(what_a_route_fails_by_itself_is_learned)
{
    recent_failures failures;
    const server_id server("press-0");
    for (int i = 0; i < 700; ++i)
        failures.recordOutcome("look", server, i % 7 == 0, at(100ms * i));
    // A seventh of what was seen in some four seconds would be 4 failures.
    BOOST_TEST(failures.countAt(server, at(70s)) < 2);
    for (int i = 0; i < 10; ++i)
        failures.recordOutcome("look", server, true, at(70s));
    BOOST_TEST(failures.countAt(server, at(70s)) > 6);
}

BOOST_AUTO_TEST_CASE(failures_are_told_once_and_forgotten)
{
    recent_failures failures;
    recent_failures peer;
    const server_id server("press-0");
    failures.recordOutcome("pay", server, true, at(0s));
    const auto notes = failures.takeUpdates();
    BOOST_REQUIRE(notes.size() == 1u);
    BOOST_TEST(failures.takeUpdates().empty());
    peer.applyUpdate(notes.front(), at(0s));
    BOOST_TEST(peer.countAt(server, at(0s)) == 1.0);
    BOOST_TEST(peer.countAt(server, at(2s)) == 0.5);
    BOOST_TEST(peer.takeUpdates().empty());
    peer.applyUpdate({ server, std::numeric_limits<float>::quiet_NaN() }, at(2s));
    BOOST_TEST(peer.countAt(server, at(2s)) == 0.5);
    peer.expire(at(16s));
    BOOST_TEST(peer.countAt(server, at(16s)) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

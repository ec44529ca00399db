#include "resthistory.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

namespace {

constexpr unsigned seeds = 12;
constexpr double minServed = 0.98;
constexpr double minServedOfHalf = 0.95; ///< with half of the servers at rest

/// Servers that turn requests away twice.
rest_history twice(rest_history history, double share, double lasts, double rest)
{
    history.turns.push_back({ 3, lasts, rest, history.firstServers(share), 0 });
    history.turns.push_back({ 3 + 2 * lasts, lasts, rest, history.firstServers(share), 0 });
    history.length = 6 + 4 * lasts;
    return history;
}

rest_outcome playAll(rest_history history, unsigned count = seeds)
{
    rest_outcome all;
    for (unsigned seed = 1; seed <= count; ++seed) {
        history.seed = seed;
        all.add(rest_player(history).run());
    }
    BOOST_TEST_MESSAGE("nodes " << history.nodes << ", rule " << static_cast<int>(history.rule) << ": served "
                                << all.share() << ", rejections " << all.rejections << ", windows "
                                << all.windows << ", broken " << all.broken << ", most " << all.most
                                << ", updates " << all.updates / count << " a history");
    return all;
}

rest_history fleetOf(unsigned nodes)
{
    if (nodes == 7)
        return { .nodes = 7, .servers = 9, .requestsPerSecond = 60 };
    if (nodes == 61)
        return { .nodes = 61, .servers = 24, .requestsPerSecond = 240 };
    return { .nodes = 300, .servers = 250, .requestsPerSecond = 1500 };
}

/// A history in which rests of all lengths come alone, in series and overlapping, beside restarts.
rest_history drawn(unsigned nodes, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto draw
        = [&](double from, double to) { return std::uniform_real_distribution<double>(from, to)(random); };
    rest_history history = fleetOf(nodes);
    history.seed = seed;
    history.length = 30;
    const auto turns = static_cast<unsigned>(draw(1, 6));
    for (unsigned i = 0; i < turns; ++i) {
        const double rest = 0.3 * std::pow(200, draw(0, 1)); // to a minute
        const double shares[] = { 1.0 / history.servers, 0.34, 0.5, 1 };
        const double share = shares[static_cast<std::size_t>(draw(0, 4))];
        const unsigned nodesTurnedAway = draw(0, 1) < 0.3 ? static_cast<unsigned>(draw(1, nodes)) : 0;
        history.turns.push_back(
            { draw(1, 20), draw(0.5, 8), rest, history.firstServers(share), nodesTurnedAway });
    }
    if (draw(0, 1) < 0.5)
        history.restarts.push_back({ draw(4, 20), { 0, 1, 2 } });
    if (draw(0, 1) < 0.5)
        history.rebirths.push_back({ draw(6, 20), { 0, 1 } });
    return history;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rest_histories)

// Guards against nodes that go on sending to servers which have asked them for rest, and against requests
// that are refused though other servers have room.
BOOST_AUTO_TEST_CASE(a_third_of_the_servers_rests_and_requests_are_served)
{
    for (const unsigned nodes : { 7U, 61U, 300U }) {
        for (const auto& [lasts, rest] : { std::pair(4.0, 3.0), std::pair(8.0, 8.0), std::pair(1.0, 3.0) }) {
            const rest_outcome all
                = playAll(twice(fleetOf(nodes), 0.34, lasts, rest), nodes == 300 ? 1 : seeds);
            BOOST_TEST(all.broken == 0u);
            BOOST_TEST(all.share() >= minServed);
        }
    }
}

// Guards against fleets of many nodes each of which has to be turned away by each resting server.
BOOST_AUTO_TEST_CASE(half_of_the_servers_rests_before_many_nodes)
{
    for (const unsigned nodes : { 61U, 300U }) {
        const rest_outcome all = playAll(twice(fleetOf(nodes), 0.5, 4, 3), nodes == 300 ? 1 : seeds);
        BOOST_TEST(all.broken == 0u);
        BOOST_TEST(all.share() >= minServedOfHalf);
    }
}

// Shows that these histories find the fault that they guard against.
BOOST_AUTO_TEST_CASE(unheard_wishes_break_the_histories)
{
    rest_history history = twice(fleetOf(7), 0.34, 4, 3);
    history.rule = rest_rule::Unheard;
    const rest_outcome all = playAll(history);
    BOOST_TEST(all.broken > 0u);
    BOOST_TEST(all.share() < minServed);
}

// Guards against rests that are broken by another one, a restart, or a server that is born again.
BOOST_AUTO_TEST_CASE(drawn_histories_break_no_rest)
{
    for (const unsigned nodes : { 7U, 61U, 300U }) {
        rest_outcome all;
        for (std::uint64_t seed = 1; seed <= (nodes == 7 ? 100U : nodes == 61 ? 12U : 1U); ++seed)
            all.add(rest_player(drawn(nodes, seed)).run());
        BOOST_TEST_MESSAGE("nodes " << nodes << ": served " << all.share() << ", windows " << all.windows
                                    << ", most " << all.most << ", rejections " << all.rejections);
        BOOST_TEST(all.broken == 0u);
    }
}

// Guards against a server that all nodes leave idle because it has turned away one of them.
BOOST_AUTO_TEST_CASE(wishes_that_concern_one_node_keep_no_other_away)
{
    rest_history history = fleetOf(61);
    history.turns.push_back({ 3, 10, 3, history.firstServers(0.34), 1 });
    history.length = 14;
    const rest_outcome all = playAll(history);
    history.rule = rest_rule::OwnWord;
    const rest_outcome own = playAll(history);
    BOOST_TEST(all.broken == 0u);
    BOOST_TEST(all.share() >= minServed);
    BOOST_TEST(all.takenWhileTurningAway >= 0.5 * own.takenWhileTurningAway);
}

BOOST_AUTO_TEST_SUITE_END()

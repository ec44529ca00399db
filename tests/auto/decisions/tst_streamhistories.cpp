#include "streamhistory.h"

#include <boost/test/unit_test.hpp>

#include <utility>
#include <vector>

namespace {

constexpr unsigned toleratedMixed = 2; // the platform counts from the third
constexpr unsigned fewestResumed = 12; // so many streams taken up have to be there before their share counts
constexpr double smallestShare = 0.5; // of the streams taken up, while new ones all begin

stream_outcome outcomeOf(const stream_history& history)
{
    return stream_player(history).play();
}

void check(const stream_history& history, const std::string& name)
{
    const stream_outcome outcome = outcomeOf(history);
    BOOST_TEST(outcome.mixed <= toleratedMixed, name << ": " << outcome.mixed << " streams of two versions");
    BOOST_TEST((outcome.resumed < fewestResumed || outcome.share() >= smallestShare),
        name << ": " << outcome.wentOn << " of " << outcome.resumed << " streams went on");
}

/// Two versions side by side from early on.
stream_history twoVersions()
{
    stream_history history;
    history.releases = { { 2, "v1.1", 5, 4 } };
    history.seed = 20261204;
    return history;
}

void checkDrawnHistories(unsigned nodes, std::uint64_t seeds)
{
    unsigned resumed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const stream_history history = drawHistory(seed, nodes);
        check(history, std::to_string(nodes) + " nodes, seed " + std::to_string(seed));
        resumed += outcomeOf(history).resumed;
    }
    BOOST_TEST(resumed > fewestResumed * seeds);
}

} // namespace

// Streams go on at the version that began them, and go on where servers of it are there, whatever happens to
// nodes.
BOOST_AUTO_TEST_SUITE(stream_histories)

// Guards against streams that only their node knows: six nodes in ten are killed in series beside two
// versions.
BOOST_AUTO_TEST_CASE(streams_of_killed_nodes_go_on)
{
    stream_history history = twoVersions();
    for (double at = 8; at < 38; at += 5)
        history.kills.push_back({ at, 0.6, 0.5 });
    const stream_outcome outcome = outcomeOf(history);
    BOOST_TEST(outcome.mixed == 0u);
    BOOST_TEST(outcome.resumed > 100u);
    BOOST_TEST(outcome.share() >= smallestShare);
}

// Guards against a guess by nodes that have all just started, when one of two versions has gone.
BOOST_AUTO_TEST_CASE(no_version_is_guessed_after_all_nodes_were_killed)
{
    stream_history history = twoVersions();
    history.releases.push_back({ 12, "v1.1", 4, 9 });
    for (double at = 8; at < 38; at += 3)
        history.kills.push_back({ at, 1, 0.3 });
    const stream_outcome outcome = outcomeOf(history);
    BOOST_TEST(outcome.resumedAll > 100u);
    BOOST_TEST(outcome.mixed == 0u);
}

// Guards against streams that end although there was a single version: nobody knows them after a kill of all.
BOOST_AUTO_TEST_CASE(streams_of_a_single_version_go_on_after_all_nodes_were_killed)
{
    stream_history history;
    for (double at = 8; at < 38; at += 3)
        history.kills.push_back({ at, 1, 0.3 });
    const stream_outcome outcome = outcomeOf(history);
    BOOST_TEST(outcome.resumedAll > 100u);
    BOOST_TEST(outcome.wentOnAll == outcome.resumedAll);
}

// Guards against a node that is cut off from store and peers and still takes its old view for the truth.
BOOST_AUTO_TEST_CASE(cut_off_nodes_do_not_guess)
{
    stream_history history = twoVersions();
    history.breaksPerSecond = 0.5;
    history.unnamed = 0.3;
    history.cuts = { { 1.5, 12, 0.5, true, true }, { 20, 8, 0.5, true, false }, { 30, 5, 0.5, false, true } };
    const stream_outcome outcome = outcomeOf(history);
    BOOST_TEST(outcome.resumedAll > 100u);
    BOOST_TEST(outcome.mixed == 0u);
}

// Guards against messages and writes on days without a release.
BOOST_AUTO_TEST_CASE(a_single_version_costs_no_messages)
{
    stream_history history;
    history.breaksPerSecond = 0.2;
    const stream_outcome outcome = outcomeOf(history);
    BOOST_TEST(outcome.messages == 0u);
    BOOST_TEST(outcome.writes == 0u);
    BOOST_TEST(outcome.originWrites == 0u);
    BOOST_TEST(outcome.wentOnAll == outcome.resumedAll);
}

// Guards against a fleet that is new to its store and writes its first record, or reports, without end.
BOOST_AUTO_TEST_CASE(a_new_fleet_knows_a_single_version_after_a_while)
{
    stream_history history;
    history.isNewFleet = true;
    history.breaksPerSecond = 0.2;
    history.length = 32;
    const stream_outcome first = outcomeOf(history);
    BOOST_TEST(first.writes == 2u);
    history.length = 60;
    const stream_outcome outcome = outcomeOf(history);
    BOOST_TEST(outcome.writes == 2u);
    BOOST_TEST(outcome.messages == first.messages);
    BOOST_TEST(outcome.wentOnAll == outcome.resumedAll);
}

// Guards against streams that nobody knows after a kill of all nodes beside two versions.
BOOST_AUTO_TEST_CASE(streams_of_two_versions_go_on_after_all_nodes_were_killed)
{
    for (const unsigned nodes : { 1u, 7u, 61u }) {
        stream_history history = twoVersions();
        history.nodes = nodes;
        for (double at = 8; at < 38; at += 6)
            history.kills.push_back({ at, 1, 0.5 });
        const stream_outcome outcome = outcomeOf(history);
        BOOST_TEST(outcome.mixed == 0u);
        BOOST_TEST(outcome.resumedAll > 100u);
        BOOST_TEST(outcome.wentOnAll >= smallestShare * outcome.resumedAll,
            nodes << " nodes: " << outcome.wentOnAll << " of " << outcome.resumedAll << " streams went on");
        BOOST_TEST_MESSAGE(nodes << " nodes: " << outcome.wentOnAll << " of " << outcome.resumedAll
                                 << " streams went on, " << outcome.originWrites << " writes of origins");
    }
}

// Guards against a single version that is taken for the only possible one, though the store has refused to
// record the other one.
BOOST_AUTO_TEST_CASE(versions_that_could_not_be_recorded_are_not_ruled_out)
{
    for (const bool isNewFleet : { true, false }) {
        stream_history history = twoVersions();
        history.isNewFleet = isNewFleet;
        history.writeFaults = { { isNewFleet ? 0 : 1.5, 60, 1 } };
        history.withdrawals = { { 9.8, "v1.1" } };
        history.kills = { { 10, 1, 0.5 } };
        const stream_outcome outcome = outcomeOf(history);
        BOOST_TEST(outcome.resumedAll > 20u);
        BOOST_TEST(outcome.mixed == 0u, (isNewFleet ? "new" : "old") << " fleet: " << outcome.mixed);
    }
}

// Guards against a first record that is taken to tell what was before it.
BOOST_AUTO_TEST_CASE(first_record_tells_nothing_of_the_time_before)
{
    stream_history history;
    history.isNewFleet = true;
    history.servers = 4;
    history.releases = { { 0, "v1.1", 4, 0 } };
    history.withdrawals = { { 3.8, "v1.1" } };
    history.writeFaults = { { 0, 4.1, 1 } };
    history.kills = { { 4, 1, 0.3 } };
    const stream_outcome outcome = outcomeOf(history);
    BOOST_TEST(outcome.resumedAll > 20u);
    BOOST_TEST(outcome.mixed == 0u);
}

// No stream is joined from two versions where the record is refused, late or new.
BOOST_AUTO_TEST_CASE(drawn_histories_of_records)
{
    const std::vector<std::pair<unsigned, unsigned>> fleets { { 1, 60 }, { 7, 300 }, { 61, 20 }, { 300, 3 } };
    for (const auto& [nodes, seeds] : fleets) {
        unsigned broken = 0;
        unsigned mixed = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const stream_outcome outcome = outcomeOf(drawRecordHistory(seed, nodes));
            mixed += outcome.mixed;
            broken += outcome.mixed > 0 ? 1 : 0;
        }
        BOOST_TEST(mixed == 0u,
            nodes << " nodes: " << mixed << " streams of two versions, in " << broken << " of " << seeds
                  << " histories");
    }
}

BOOST_AUTO_TEST_CASE(drawn_histories_of_small_fleets)
{
    checkDrawnHistories(1, 20);
    checkDrawnHistories(7, 150);
}

BOOST_AUTO_TEST_CASE(drawn_histories_of_larger_fleets)
{
    checkDrawnHistories(61, 12);
    checkDrawnHistories(300, 3);
}

BOOST_AUTO_TEST_SUITE_END()

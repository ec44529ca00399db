#include "streamhistory.h"

#include <boost/test/unit_test.hpp>

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

// Guards against messages and writes of the record on days without a release.
BOOST_AUTO_TEST_CASE(a_single_version_costs_no_messages)
{
    stream_history history;
    history.breaksPerSecond = 0.2;
    const stream_outcome outcome = outcomeOf(history);
    BOOST_TEST(outcome.messages == 0u);
    BOOST_TEST(outcome.writes == 1u);
    BOOST_TEST(outcome.wentOnAll == outcome.resumedAll);
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

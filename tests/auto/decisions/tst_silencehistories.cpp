#include "silencehistory.h"

#include <boost/test/unit_test.hpp>

namespace {

constexpr double fewestMoved = 0.9; // of the streams on a dark server that have an attempt left
constexpr double checkTolerance = 0.15; // seconds; attempts are looked at in intervals

struct played_history {
    silence_outcome outcome;
    double excess = 0; ///< of the retries, beyond the fleet's bound
};

played_history play(const silence_history& history, silence_rule rule)
{
    silence_player player(history, rule);
    played_history played { player.play(), 0 };
    played.excess = played.outcome.times.excess(player.limits());
    return played;
}

/// Checks what holds in every history.
silence_outcome check(const silence_history& history, const std::string& name)
{
    const auto [outcome, excess] = play(history, silence_rule::Secure);
    BOOST_TEST(outcome.cut == 0U, name << ": " << outcome.cut << " streams cut whose server went on");
    BOOST_TEST(outcome.cutInVain == 0U, name << ": " << outcome.cutInVain << " streams cut");
    BOOST_TEST(outcome.twoRuns == 0U, name << ": " << outcome.twoRuns << " runs at two servers");
    BOOST_TEST(excess <= 0, name << ": " << excess << " retries beyond the fleet's bound");
    return outcome;
}

/// Checks drawn histories. Returns in how many of them streams are cut whose server goes on, where attempts
/// are ended first.
unsigned checkDrawnHistories(unsigned nodes, silence_extent extent, std::uint64_t seeds)
{
    unsigned broken = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const silence_history history = drawSilenceHistory(seed, nodes, extent);
        check(history, std::to_string(nodes) + " nodes, seed " + std::to_string(seed));
        broken += play(history, silence_rule::EndFirst).outcome.cut > 0 ? 1 : 0;
    }
    return broken;
}

silence_history smallFleet(std::uint64_t seed)
{
    silence_history history;
    history.seed = seed;
    return history;
}

} // namespace

// Silent servers cut no stream that may still become whole, and streams on a dark server go on elsewhere.
BOOST_AUTO_TEST_SUITE(silence_histories)

// Guards against streams that are given up for lack of a retry while all servers are silent for a moment.
BOOST_AUTO_TEST_CASE(streams_outlast_a_silence_of_all_servers)
{
    silence_history history = smallFleet(1);
    history.addSilence(6, 1.5, history.servers);
    const silence_outcome outcome = check(history, "secure");
    BOOST_TEST(outcome.whole == outcome.begun);
    BOOST_TEST(play(history, silence_rule::EndFirst).outcome.cut > 50U);
}

// Guards against retries for attempts whose servers go on at that moment, all of them together.
BOOST_AUTO_TEST_CASE(servers_that_go_on_together_cost_few_retries)
{
    silence_history history = smallFleet(2);
    for (double at = 6; at < history.length; at += 4)
        history.addSilence(at, 1.5, history.servers);
    const silence_outcome outcome = check(history, "secure");
    const silence_outcome unsettled = play(history, silence_rule::SecureUnsettled).outcome;
    BOOST_TEST(outcome.needless <= outcome.begun / 50);
    BOOST_TEST(unsettled.needless > 5 * outcome.needless);
}

// Guards against streams that stay on a dark server though a retry is left and others run.
BOOST_AUTO_TEST_CASE(streams_leave_a_dark_server)
{
    silence_history history = smallFleet(3);
    history.addSilence(6, silence_history::forever, 1);
    const silence_outcome outcome = check(history, "secure");
    BOOST_TEST(outcome.dark > 20U);
    BOOST_TEST(outcome.darkMoved >= fewestMoved * outcome.dark);
    BOOST_TEST(outcome.unusedRetry <= checkTolerance);
}

// Guards against a replacement at a dark server of which the node knows nothing, for streams whose server
// goes on.
BOOST_AUTO_TEST_CASE(streams_do_not_move_to_a_dark_server)
{
    unsigned misplaced = 0;
    unsigned misplacedBefore = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const silence_history history = drawSilenceHistory(seed, 7, silence_extent::Dark);
        misplaced += play(history, silence_rule::Secure).outcome.misplaced;
        misplacedBefore += play(history, silence_rule::SecureSettled).outcome.misplaced;
    }
    BOOST_TEST(misplaced == 0U);
    BOOST_TEST(misplacedBefore > 5U);
}

// Guards against streams on a dark server that wait for others which are silent only for a while.
BOOST_AUTO_TEST_CASE(streams_leave_a_dark_server_beside_other_silences)
{
    unsigned dark = 0;
    unsigned moved = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const silence_outcome outcome
            = play(drawSilenceHistory(seed, 7, silence_extent::Dark), silence_rule::Secure).outcome;
        dark += outcome.dark;
        moved += outcome.darkMoved;
    }
    BOOST_TEST(moved >= fewestMoved * dark);
}

// Guards against a promise that holds for one order of events only.
BOOST_AUTO_TEST_CASE(drawn_histories_of_small_fleets)
{
    constexpr std::uint64_t seeds = 40;
    constexpr unsigned mostOfThem = 30;
    checkDrawnHistories(7, silence_extent::One, seeds);
    checkDrawnHistories(7, silence_extent::Dark, seeds);
    BOOST_TEST(checkDrawnHistories(7, silence_extent::Third, seeds) >= mostOfThem);
    BOOST_TEST(checkDrawnHistories(7, silence_extent::All, seeds) >= mostOfThem);
}

// Guards against parts of the budget that are too small for hundreds of nodes, or add up to too much.
BOOST_AUTO_TEST_CASE(drawn_histories_of_large_fleets)
{
    constexpr std::uint64_t seeds = 3;
    constexpr unsigned mostOfThem = 2;
    checkDrawnHistories(61, silence_extent::Dark, seeds);
    BOOST_TEST(checkDrawnHistories(61, silence_extent::Third, seeds) >= mostOfThem);
    BOOST_TEST(checkDrawnHistories(61, silence_extent::All, seeds) >= mostOfThem);
    BOOST_TEST(checkDrawnHistories(300, silence_extent::All, 1) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

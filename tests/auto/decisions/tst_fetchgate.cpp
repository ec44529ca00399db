#include "decisions/fetchgate.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <utility>
#include <vector>

using namespace std::chrono_literals;
using decisions::fetch_gate;
using decisions::fetch_start;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

/// Followers of the store, some of which are being cut off: their beats still come, their answers don't.
struct cut_followers {
    std::vector<utils::duration> beatAfter; ///< of each follower, from the change to its first beat
    std::vector<bool> isCut;

    static constexpr utils::duration beatPeriod = 250ms;
    static constexpr utils::duration answerTime = 20ms;
    static constexpr utils::duration fetchTime = 500ms; ///< after which nobody waits for an answer
};

cut_followers drawFollowers(std::mt19937& random)
{
    constexpr int all = 8;
    constexpr int cut = 3;
    cut_followers followers;
    for (int i = 0; i < all; ++i) {
        followers.beatAfter.push_back(std::chrono::milliseconds(random() % 250));
        followers.isCut.push_back(i < cut);
    }
    return followers;
}

/// When a resting node knows of a change; nothing for no later than two seconds.
template <class Begin, class Fail>
utils::duration knownAfter(const cut_followers& followers, const Begin& begin, const Fail& fail)
{
    struct fetch {
        std::string peer;
        utils::duration over;
        bool isAnswered = false;
    };
    std::vector<fetch> underWay;
    for (utils::duration since {}; since < 2s; since += 1ms) {
        for (const fetch& each : underWay) {
            if (each.over == since && each.isAnswered)
                return since;
            if (each.over == since)
                fail(each.peer, since);
        }
        for (std::size_t i = 0; i < followers.beatAfter.size(); ++i) {
            const bool beats = since >= followers.beatAfter[i]
                && (since - followers.beatAfter[i]) % cut_followers::beatPeriod == 0ms;
            const std::string peer = "vm-" + std::to_string(i);
            if (!beats || !begin(peer, since))
                continue;
            const bool isCut = followers.isCut[i];
            const utils::duration takes = isCut ? cut_followers::fetchTime : cut_followers::answerTime;
            underWay.push_back({ peer, since + takes, !isCut });
        }
    }
    return 2s;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fetch_gates)

// Callers see their requests go on to a server that has left. A node that rests hears of the leaving from the
// beat of a follower that is cut off in that moment, and waits for its answer while seven others could tell.
// Three followers of eight are cut off; each play draws another order of beats.
BOOST_AUTO_TEST_CASE(a_peer_that_is_cut_off_holds_up_no_news)
{
    std::mt19937 random(20261203);
    utils::duration worstAlone {};
    utils::duration worstJoined {};
    for (int play = 0; play < 500; ++play) {
        const cut_followers followers = drawFollowers(random);
        bool isFetching = false;
        const utils::duration alone = knownAfter(
            followers, [&](const std::string&, utils::duration) { return !std::exchange(isFetching, true); },
            [&](const std::string&, utils::duration) { isFetching = false; });
        fetch_gate gate;
        const utils::duration joined = knownAfter(
            followers,
            [&](const std::string& peer, utils::duration since) {
                return gate.tryBegin(peer, at(since), at(since)) != fetch_start::No;
            },
            [&](const std::string& peer, utils::duration since) { gate.fail(peer, at(since)); });
        worstAlone = std::max(worstAlone, alone);
        worstJoined = std::max(worstJoined, joined);
    }
    BOOST_TEST_MESSAGE("worst, asked one at a time " << worstAlone.count() / 1000 << " ms, with a second "
                                                     << worstJoined.count() / 1000 << " ms");
    BOOST_TEST((worstAlone >= 1500ms));
    BOOST_TEST((worstJoined <= 1200ms));
}

// The first peer is only to be asked if the store has not told by then. No second one is asked before, nor
// while the first has had no time to answer.
BOOST_AUTO_TEST_CASE(a_second_peer_waits_for_a_slow_first)
{
    fetch_gate gate;
    BOOST_TEST((gate.tryBegin("vm-1", at(0ms), at(500ms)) == fetch_start::First));
    BOOST_TEST((gate.tryBegin("vm-2", at(400ms), at(400ms)) == fetch_start::No));
    BOOST_TEST((gate.tryBegin("vm-2", at(699ms), at(699ms)) == fetch_start::No));
    BOOST_TEST((gate.tryBegin("vm-1", at(700ms), at(700ms)) == fetch_start::No));
    BOOST_TEST((gate.tryBegin("vm-2", at(700ms), at(1200ms)) == fetch_start::Second));
    BOOST_TEST((gate.tryBegin("vm-3", at(2s), at(2s)) == fetch_start::No));
    gate.end("vm-1");
    BOOST_TEST((gate.tryBegin("vm-3", at(2s), at(2s)) == fetch_start::Second));
    gate.end("vm-2");
    gate.end("vm-3");
    BOOST_TEST((gate.tryBegin("vm-1", at(3s), at(3s)) == fetch_start::First));
}

// A peer that did not answer goes on to be heard. The others come first, it has its turn again later.
BOOST_AUTO_TEST_CASE(a_silent_peer_is_passed_over)
{
    fetch_gate gate;
    BOOST_TEST((gate.tryBegin("vm-1", at(0ms), at(0ms)) == fetch_start::First));
    gate.fail("vm-1", at(500ms));
    BOOST_TEST((gate.tryBegin("vm-1", at(600ms), at(600ms)) == fetch_start::No));
    BOOST_TEST((gate.tryBegin("vm-2", at(600ms), at(600ms)) == fetch_start::First));
    gate.end("vm-2");
    BOOST_TEST((gate.tryBegin("vm-1", at(999ms), at(999ms)) == fetch_start::No));
    BOOST_TEST((gate.tryBegin("vm-1", at(1000ms), at(1000ms)) == fetch_start::First));
}

BOOST_AUTO_TEST_SUITE_END()

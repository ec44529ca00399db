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

/// Followers of the store, some of which are cut off: their heartbeats still arrive, their answers do not.
struct cut_followers {
    std::vector<utils::duration> firstHeartbeat; ///< per follower, from the change to its first heartbeat
    std::vector<bool> isCut;

    static constexpr utils::duration heartbeatPeriod = 250ms;
    static constexpr utils::duration answerTime = 20ms;
    static constexpr utils::duration fetchTimeout = 500ms;
};

cut_followers drawFollowers(std::mt19937& random)
{
    constexpr int all = 8;
    constexpr int cut = 3;
    cut_followers followers;
    for (int i = 0; i < all; ++i) {
        followers.firstHeartbeat.push_back(std::chrono::milliseconds(random() % 250));
        followers.isCut.push_back(i < cut);
    }
    return followers;
}

/// Time until a node that does not follow the store knows of a change, capped at two seconds.
template <class Begin, class Fail>
utils::duration timeUntilKnown(const cut_followers& followers, const Begin& begin, const Fail& fail)
{
    struct fetch {
        std::string peer;
        utils::duration over;
        bool isAnswered = false;
    };
    std::vector<fetch> inFlight;
    for (utils::duration since {}; since < 2s; since += 1ms) {
        for (const fetch& each : inFlight) {
            if (each.over == since && each.isAnswered)
                return since;
            if (each.over == since)
                fail(each.peer, since);
        }
        for (std::size_t i = 0; i < followers.firstHeartbeat.size(); ++i) {
            const bool isHeartbeat = since >= followers.firstHeartbeat[i]
                && (since - followers.firstHeartbeat[i]) % cut_followers::heartbeatPeriod == 0ms;
            const std::string peer = "vm-" + std::to_string(i);
            if (!isHeartbeat || !begin(peer, since))
                continue;
            const bool isCut = followers.isCut[i];
            const utils::duration takes = isCut ? cut_followers::fetchTimeout : cut_followers::answerTime;
            inFlight.push_back({ peer, since + takes, !isCut });
        }
    }
    return 2s;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fetchgate)

// Guards against requests that still go to a server after it has left. A node that relies on peers learns
// of the leaving server from the heartbeat of a follower that is cut off at that moment, and waits for its
// answer while seven others could answer. Three of eight followers are cut off; each run draws another
// order of heartbeats.
BOOST_AUTO_TEST_CASE(a_cut_off_peer_does_not_delay_changes)
{
    std::mt19937 random(20261203);
    utils::duration worstAlone {};
    utils::duration worstJoined {};
    for (int run = 0; run < 500; ++run) {
        const cut_followers followers = drawFollowers(random);
        bool isFetching = false;
        const utils::duration alone = timeUntilKnown(
            followers, [&](const std::string&, utils::duration) { return !std::exchange(isFetching, true); },
            [&](const std::string&, utils::duration) { isFetching = false; });
        fetch_gate gate;
        const utils::duration joined = timeUntilKnown(
            followers,
            [&](const std::string& peer, utils::duration since) {
                return gate.tryBegin(peer, at(since), at(since)) != fetch_start::No;
            },
            [&](const std::string& peer, utils::duration since) { gate.fail(peer, at(since)); });
        worstAlone = std::max(worstAlone, alone);
        worstJoined = std::max(worstJoined, joined);
    }
    BOOST_TEST_MESSAGE("worst delay, one peer at a time "
        << worstAlone.count() / 1000 << " ms, with a second peer " << worstJoined.count() / 1000 << " ms");
    BOOST_TEST((worstAlone >= 1500ms));
    BOOST_TEST((worstJoined <= 1200ms));
}

// The first peer is to be asked only if the store has not reported the change by then. No second peer is
// asked before that, nor before the first one has had time to answer.
BOOST_AUTO_TEST_CASE(a_second_peer_is_asked_only_beside_a_slow_first)
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

// The heartbeats of a peer that did not answer still arrive. Other peers are asked first; the peer is asked
// again later.
BOOST_AUTO_TEST_CASE(a_failed_peer_is_skipped)
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

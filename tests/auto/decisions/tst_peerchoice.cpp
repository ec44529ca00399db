#include "decisions/peerchoice.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using decisions::choosePeer;
using decisions::peer_candidate;

namespace {

/// Requests that each of `takers` gets when `cutOff` nodes forward `requests` each between two heartbeats.
std::vector<std::uint64_t> forwardBetweenHeartbeats(
    std::size_t cutOff, std::size_t takers, std::size_t requests)
{
    std::vector<std::uint64_t> taken(takers, 0);
    for (std::size_t node = 0; node < cutOff; ++node) {
        std::vector<peer_candidate> known(takers, peer_candidate { "b", 3, 0 });
        for (std::size_t i = 0; i < requests; ++i) {
            const auto peer = choosePeer(known, "a", node * 1000 + i);
            ++known.at(*peer).forwarded;
            ++taken.at(*peer);
        }
    }
    return taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peerchoice)

// Guards against several nodes that are cut off at once all choosing the same peer.
BOOST_AUTO_TEST_CASE(requests_of_several_nodes_are_spread_between_two_heartbeats)
{
    for (const std::size_t takers : { 3U, 30U }) {
        constexpr std::size_t cutOff = 4;
        constexpr std::size_t perTaker = 3;
        const auto taken = forwardBetweenHeartbeats(cutOff, takers, perTaker * takers);
        constexpr std::uint64_t mean = cutOff * perTaker;
        BOOST_TEST(*std::ranges::max_element(taken) <= 2 * mean);
    }
}

BOOST_AUTO_TEST_CASE(peers_of_the_own_data_centre_come_first_until_they_have_more_to_do)
{
    std::vector<peer_candidate> candidates { { "b", 0, 0 }, { "a", 0, 0 } };
    BOOST_TEST(*choosePeer(candidates, "a", 1) == 1u);
    candidates[1].requestsInProgress = 10;
    BOOST_TEST(*choosePeer(candidates, "a", 1) == 0u);
    BOOST_TEST(!choosePeer({}, "a", 1).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

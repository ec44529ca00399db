#include "decisions/servicewindow.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace std::chrono_literals;
using decisions::service_window;
using decisions::stop_phase;
using decisions::window_limits;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

/// Callers of a node whose data centre has no other while it leaves: how many requests it turns away.
struct turned_away {
    unsigned all = 0;
    unsigned shortOnes = 0;
};

turned_away turnedAwayWhileLeaving(bool takesShortOnes)
{
    service_window window({}, at(0s));
    window.beginStop(at(10s));
    std::mt19937 random(20261203);
    turned_away count;
    for (utils::duration since {}; since < 7400ms; since += 10ms) {
        const bool isShort = random() % 3 != 0;
        const utils::duration timeout = isShort ? 800ms : 12s;
        const bool isTaken = takesShortOnes ? window.mayAccept(timeout, at(10s + since)) : since < 2900ms;
        count.all += isTaken ? 0 : 1;
        count.shortOnes += !isTaken && isShort ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(service_windows)

// All nodes come back from a loss of power and a crowd connects. A node answers once it has read the
// configuration, and does not wait for a store that does not answer.
BOOST_AUTO_TEST_CASE(a_starting_node_waits_for_what_it_needs)
{
    const service_window window({}, at(0s));
    BOOST_TEST(!window.isOpen(false, at(0s)));
    BOOST_TEST(window.isOpen(true, at(40ms)));
    BOOST_TEST(!window.isOpen(false, at(299ms)));
    BOOST_TEST(window.isOpen(false, at(300ms)));
    BOOST_TEST((window.opensAt() == at(300ms)));
}

// The caller of a node that leaves connects after its balancer has heard of it, since the data centre has
// nobody else. A payment of 800 ms at most is taken until 6.6 s after the signal, a stream of 12 s only
// as long as the balancer may not know.
BOOST_AUTO_TEST_CASE(a_leaving_node_takes_what_surely_ends)
{
    service_window window({}, at(0s));
    BOOST_TEST(window.mayAccept(12s, at(9s)));
    window.beginStop(at(10s));
    BOOST_TEST(window.mayAccept(12s, at(12899ms)));
    BOOST_TEST(!window.mayAccept(12s, at(12900ms)));
    BOOST_TEST(window.mayAccept(800ms, at(16600ms)));
    BOOST_TEST(!window.mayAccept(800ms, at(16601ms)));
    const turned_away strict = turnedAwayWhileLeaving(false);
    const turned_away chosen = turnedAwayWhileLeaving(true);
    BOOST_TEST_MESSAGE("turned away: " << strict.all << " if nothing is taken, " << chosen.all);
    BOOST_TEST(chosen.shortOnes * 3 < strict.shortOnes);
    // The long ones, a third of all, are turned away either way.
    BOOST_TEST(chosen.all * 3 < strict.all * 2);
}

// Whatever was taken has ended when the process does: its own timeout lies before the end.
BOOST_AUTO_TEST_CASE(nothing_that_is_taken_late_outlives_the_process)
{
    const window_limits limits;
    service_window window(limits, at(0s));
    window.beginStop(at(10s));
    for (utils::duration since = limits.leavingPeriod; since < limits.grace; since += 50ms) {
        for (utils::duration timeout = 100ms; timeout < 9s; timeout += 100ms) {
            if (window.mayAccept(timeout, at(10s + since)))
                BOOST_TEST((window.phase(1, at(10s + since + timeout - 1us)) != stop_phase::Done));
        }
    }
}

BOOST_AUTO_TEST_CASE(phases_follow_each_other)
{
    service_window window({}, at(0s));
    BOOST_TEST((window.phase(0, at(5s)) == stop_phase::None));
    window.beginStop(at(10s));
    window.beginStop(at(12s));
    BOOST_TEST(window.isStopping());
    BOOST_TEST((window.phase(0, at(12899ms)) == stop_phase::Leaving));
    BOOST_TEST((window.phase(0, at(12900ms)) == stop_phase::Closing));
    BOOST_TEST((window.phase(0, at(13149ms)) == stop_phase::Closing));
    BOOST_TEST((window.phase(0, at(13150ms)) == stop_phase::Done));
    BOOST_TEST((window.phase(3, at(17399ms)) == stop_phase::Closing));
    BOOST_TEST((window.phase(3, at(17400ms)) == stop_phase::Done));
}

BOOST_AUTO_TEST_SUITE_END()

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

/// Requests that a node refuses while it shuts down as the only node of its data centre.
struct refused_requests {
    unsigned all = 0;
    unsigned shortRequests = 0;
};

refused_requests refusedDuringShutdown(bool acceptsShort)
{
    service_window window({}, at(0s));
    window.beginStop(at(10s));
    std::mt19937 random(20261203);
    refused_requests count;
    for (utils::duration since {}; since < 7400ms; since += 10ms) {
        const bool isShort = random() % 3 != 0;
        const utils::duration timeout = isShort ? 800ms : 12s;
        const bool isAccepted
            = acceptsShort ? window.mayPassOn(at(10s + since + timeout), at(10s + since)) : since < 2900ms;
        count.all += isAccepted ? 0 : 1;
        count.shortRequests += !isAccepted && isShort ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(service_windows)

// All nodes start after a loss of power and many callers connect. A node answers once it has read the
// configuration; if the store does not answer, it waits no longer than startupWait.
BOOST_AUTO_TEST_CASE(a_starting_node_waits_for_its_configuration)
{
    const service_window window({}, at(0s));
    BOOST_TEST(!window.isOpen(false, at(0s)));
    BOOST_TEST(window.isOpen(true, at(40ms)));
    BOOST_TEST(!window.isOpen(false, at(299ms)));
    BOOST_TEST(window.isOpen(false, at(300ms)));
    BOOST_TEST((window.opensAt() == at(300ms)));
}

// Requests arrive at a node after its balancer was notified of the shutdown, since the data centre has no
// other node. A payment with a timeout of 800 ms is accepted until 6.6 s after the signal, a stream with one
// of 12 s only during the Leaving phase, while the balancer may not know yet.
BOOST_AUTO_TEST_CASE(a_leaving_node_accepts_requests_that_end_in_time)
{
    service_window window({}, at(0s));
    BOOST_TEST(window.mayPassOn(at(21s), at(9s)));
    window.beginStop(at(10s));
    BOOST_TEST(window.mayPassOn(at(24899ms), at(12899ms)));
    BOOST_TEST(!window.mayPassOn(at(24900ms), at(12900ms)));
    BOOST_TEST(window.mayPassOn(at(17400ms), at(16600ms)));
    BOOST_TEST(!window.mayPassOn(at(17401ms), at(16601ms)));
    const refused_requests strict = refusedDuringShutdown(false);
    const refused_requests selective = refusedDuringShutdown(true);
    BOOST_TEST_MESSAGE(
        "refused if nothing is accepted: " << strict.all << ", if short requests are: " << selective.all);
    BOOST_TEST(selective.shortRequests * 3 < strict.shortRequests);
    // The long ones, a third of all, are refused either way.
    BOOST_TEST(selective.all * 3 < strict.all * 2);
}

// Every accepted request ends before the process exits: its timeout elapses before then.
BOOST_AUTO_TEST_CASE(requests_accepted_late_end_before_the_process)
{
    const window_limits limits;
    service_window window(limits, at(0s));
    window.beginStop(at(10s));
    for (utils::duration since = limits.leavingPeriod; since < limits.grace; since += 50ms) {
        for (utils::duration timeout = 100ms; timeout < 9s; timeout += 100ms) {
            if (window.mayPassOn(at(10s + since + timeout), at(10s + since)))
                BOOST_TEST((window.phase(1, at(10s + since + timeout - 1us)) != stop_phase::Done));
        }
    }
}

// Guards against long requests that a node with a short grace period takes right before its process exits.
BOOST_AUTO_TEST_CASE(a_short_grace_period_leaves_time_for_what_was_passed_on)
{
    for (const utils::duration grace : { utils::duration(2s), utils::duration(4s), utils::duration(12s) }) {
        window_limits limits;
        limits.grace = grace;
        service_window window(limits, at(0s));
        window.beginStop(at(10s));
        utils::duration lastTaken {};
        for (utils::duration since {}; since < grace; since += 10ms) {
            if (window.mayPassOn(at(10s + since + 60s), at(10s + since)))
                lastTaken = since;
        }
        BOOST_TEST(utils::toSeconds(lastTaken) <= utils::toSeconds(limits.leavingPeriod));
        BOOST_TEST(utils::toSeconds(lastTaken) <= 0.5 * utils::toSeconds(grace - limits.margin));
        BOOST_TEST(window.mayPassOn(at(10s + grace - limits.margin), at(10s + lastTaken + 20ms)));
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

#include "decisions/viewlag.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using decisions::view_lag;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

} // namespace

BOOST_AUTO_TEST_SUITE(viewlag)

BOOST_AUTO_TEST_CASE(age_counts_from_the_last_report_that_nothing_is_missing)
{
    view_lag lag;
    BOOST_TEST((lag.age(at(5s)) == 0s));
    lag.advance(10);
    lag.observeRevision(10, at(0s));
    BOOST_TEST((lag.age(at(300ms)) == 300ms));
    BOOST_TEST((lag.behindFor(at(300ms)) == 0s));
    lag.observeRevision(9, at(400ms));
    BOOST_TEST((lag.age(at(500ms)) == 100ms));
}

// A change every half second, each reported four times a second, and answers that bring some of them: the
// lag is that of the first change that is still missing, not of the first or the last change that was ever
// missing.
BOOST_AUTO_TEST_CASE(the_first_missing_change_counts)
{
    view_lag lag;
    lag.advance(10);
    for (int i = 0; i < 8; ++i) {
        lag.observeRevision(11 + static_cast<std::uint64_t>(i), at(i * 500ms));
        lag.observeRevision(11 + static_cast<std::uint64_t>(i), at(i * 500ms + 250ms));
    }
    BOOST_TEST((lag.behindFor(at(4s)) == 4s));
    lag.advance(14);
    BOOST_TEST((lag.behindFor(at(4s)) == 2s));
    BOOST_TEST((lag.age(at(4s)) == 2s));
    lag.observeRevision(12, at(4s));
    BOOST_TEST((lag.behindFor(at(4s)) == 2s));
    lag.advance(18);
    BOOST_TEST((lag.behindFor(at(4s)) == 0s));
}

// Guards against a fleet that serves nothing during an outage of the store: the source that reported a
// newer change is gone, and no reachable node has it.
BOOST_AUTO_TEST_CASE(a_change_that_is_no_longer_reported_does_not_count)
{
    view_lag lag;
    lag.advance(10);
    lag.observeRevision(11, at(0s));
    lag.observeRevision(11, at(2s));
    BOOST_TEST((lag.behindFor(at(5s)) == 5s));
    BOOST_TEST((lag.behindFor(at(5001ms)) == 0s));
    lag.observeRevision(10, at(5100ms));
    BOOST_TEST((lag.behindFor(at(5100ms)) == 0s));
    lag.observeRevision(11, at(6s));
    BOOST_TEST((lag.behindFor(at(6s)) == 6s));
}

// No change is applied for minutes while changes are reported all the time: memory is bounded, and the lag
// is never underestimated.
BOOST_AUTO_TEST_CASE(tracked_revisions_are_bounded)
{
    view_lag lag;
    constexpr std::uint64_t changes = 10 * view_lag::maxTrackedRevisions;
    for (std::uint64_t i = 1; i <= changes; ++i)
        lag.observeRevision(i, at(static_cast<int>(i) * 100ms));
    BOOST_TEST((lag.behindFor(at(changes * 100ms)) == (changes - 1) * 100ms));
    lag.advance(changes - 1);
    BOOST_TEST((lag.behindFor(at(changes * 100ms)) >= 0s));
    BOOST_TEST((lag.behindFor(at(changes * 100ms + 1s)) >= 1s));
    lag.advance(changes);
    BOOST_TEST((lag.behindFor(at(changes * 100ms + 1s)) == 0s));
}

BOOST_AUTO_TEST_SUITE_END()

#include "decisions/teamlimiter.h"

#include <boost/test/unit_test.hpp>

using decisions::limit_verdict;

// Guards against a refusal of the first request of a team right after the fleet has started. The team's
// home lends nothing in its first seconds, so the node uses its static share, whose bucket is empty at that
// moment. The caller was refused with 429 although the team was far below its limit. It must wait a few
// milliseconds for the first token of the share.
BOOST_AUTO_TEST_CASE(the_first_caller_after_a_fallback_waits_for_the_shares_first_token)
{
    using namespace std::chrono_literals;
    const utils::node_id self("a");
    const utils::team_id team("t");
    decisions::team_limiter limiter(self);
    limiter.setMembers({ self, utils::node_id("b") });
    limiter.setLimit(team, { 100, 10 });
    utils::time_point now { 1s };
    BOOST_TEST((limiter.admit(team, 1, now).verdict == limit_verdict::AwaitGrant));
    const auto requests = limiter.poll(now);
    BOOST_REQUIRE(requests.size() == 1);
    decisions::quota_lease_grant notHome;
    notHome.team = team;
    notHome.sequence = requests.front().sequence;
    notHome.isHome = false;
    now += 4ms;
    limiter.apply(notHome, now);
    BOOST_TEST((limiter.admit(team, 1, now).verdict == limit_verdict::AwaitGrant));
    now += 25ms;
    BOOST_TEST((limiter.admit(team, 1, now).verdict == limit_verdict::Admitted));
    now += 1s;
    unsigned admitted = 0;
    while (limiter.admit(team, 1, now).verdict == limit_verdict::Admitted)
        ++admitted;
    BOOST_TEST(admitted <= 5);
    BOOST_TEST((limiter.admit(team, 1, now).verdict == limit_verdict::Refused));
}

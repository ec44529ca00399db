#include "loadplay/fairness.h"
#include "loadplay/queueplay.h"
#include "loadplay/workloads.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using decisions::priority_class;
using loadplay::play_outcome;
using loadplay::play_safeguards;
using loadplay::workload;

namespace {

constexpr unsigned seed = 20261202;

play_outcome simulate(const workload& load, const play_safeguards& safeguards = {})
{
    return loadplay::queue_play(load, safeguards).run();
}

const loadplay::class_outcome& of(const play_outcome& outcome, priority_class priority)
{
    return outcome.byClass.at(static_cast<std::size_t>(priority));
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

/// Whether every request has exactly one of the four outcomes.
bool isEveryCallerAccounted(const play_outcome& outcome)
{
    return std::ranges::all_of(outcome.byClass, [](const loadplay::class_outcome& each) {
        return each.offered == each.served + each.later + each.refused + each.gaveUp;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(underload)

// One team sends 300 chats within two seconds to slots with a utilization of 65%. Lookups of all teams are
// unaffected. Most of the burst waits or is served after Retry-After, and almost no caller that was
// admitted gives up without an answer.
BOOST_AUTO_TEST_CASE(burst_of_one_team)
{
    const auto outcome = simulate(loadplay::makeBurst(seed));
    BOOST_TEST(isEveryCallerAccounted(outcome));
    const auto& lookups = of(outcome, priority_class::Interactive);
    BOOST_TEST(lookups.served == lookups.offered);
    BOOST_TEST(quantile(lookups.waits, 0.99) < 0.5);
    const auto& chats = of(outcome, priority_class::Chat);
    BOOST_TEST(chats.gaveUp * 100 <= chats.offered);
    BOOST_TEST((chats.served + chats.later) * 100 >= chats.offered * 90);
}

// Two teams request twice the capacity, eight request little. The eight get all that they request, the two
// share the rest.
BOOST_AUTO_TEST_CASE(two_heavy_teams)
{
    const workload load = loadplay::makeHeavyTeams(seed);
    const auto outcome = simulate(load);
    BOOST_TEST(isEveryCallerAccounted(outcome));
    for (const auto& [team, figures] : outcome.byTeam) {
        if (team.str() >= "team2")
            BOOST_TEST(figures.servedWork >= 0.97 * figures.offeredWork, team);
    }
    const double capacity = load.slots * utils::toSeconds(load.length);
    BOOST_TEST(loadplay::fairnessOf(outcome, capacity).jain > 0.99);
}

// One of four servers becomes 200 times slower for a minute. It is ejected, and lookups that hang there are
// hedged: the effect on callers is small.
BOOST_AUTO_TEST_CASE(one_slow_server)
{
    const auto outcome = simulate(loadplay::makeSlowServer(seed));
    BOOST_TEST(isEveryCallerAccounted(outcome));
    const auto& lookups = of(outcome, priority_class::Interactive);
    BOOST_TEST(lookups.gaveUp * 1000 <= lookups.offered);
    BOOST_TEST(quantile(lookups.waits, 0.99) < 0.5);
    BOOST_TEST(outcome.hedged * 15 <= lookups.offered);
}

// Drafts of 40 seconds would fill all slots. Lookups and chats start at once, and every draft is served.
BOOST_AUTO_TEST_CASE(long_drafts_among_lookups)
{
    const auto outcome = simulate(loadplay::makeLongAmongShort(seed));
    const auto& lookups = of(outcome, priority_class::Interactive);
    BOOST_TEST(lookups.served == lookups.offered);
    BOOST_TEST(quantile(lookups.waits, 0.99) < 0.1);
    const auto& drafts = of(outcome, priority_class::Draft);
    BOOST_TEST(drafts.served + drafts.later == drafts.offered);
}

// All teams together request 180% of the capacity for two minutes. Lookups stay fast, all drafts are served
// in the end, 90% of the refused chats are refused at once, and little work runs for callers that have
// given up.
BOOST_AUTO_TEST_CASE(lasting_saturation)
{
    const workload load = loadplay::makeSaturation(seed);
    const auto outcome = simulate(load);
    BOOST_TEST(isEveryCallerAccounted(outcome));
    const auto& lookups = of(outcome, priority_class::Interactive);
    BOOST_TEST(lookups.served * 100 >= lookups.offered * 99);
    const auto& drafts = of(outcome, priority_class::Draft);
    BOOST_TEST(drafts.served + drafts.later == drafts.offered);
    const auto& chats = of(outcome, priority_class::Chat);
    BOOST_TEST(quantile(chats.refusedAfter, 0.9) == 0.0);
    BOOST_TEST(chats.gaveUp * 100 <= chats.offered);
    BOOST_TEST(outcome.wastedWork < 0.06 * load.slots * utils::toSeconds(load.length));
}

BOOST_AUTO_TEST_SUITE_END()

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

play_outcome play(const workload& load, const play_safeguards& safeguards = {})
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

/// Every caller has got one of the four ends.
bool isEveryoneAnswered(const play_outcome& outcome)
{
    return std::ranges::all_of(outcome.byClass, [](const loadplay::class_outcome& each) {
        return each.offered == each.served + each.later + each.refused + each.gaveUp;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(underload)

// One team sends 300 chats within two seconds to slots that are used to 65%. Lookups of all teams go on as
// if nothing had happened; most of the burst waits or comes back when told, and nearly nobody who was let in
// leaves without an answer.
BOOST_AUTO_TEST_CASE(burst_of_one_team)
{
    const auto outcome = play(loadplay::makeBurst(seed));
    BOOST_TEST(isEveryoneAnswered(outcome));
    const auto& lookups = of(outcome, priority_class::Interactive);
    BOOST_TEST(lookups.served == lookups.offered);
    BOOST_TEST(quantile(lookups.waits, 0.99) < 0.5);
    const auto& chats = of(outcome, priority_class::Chat);
    BOOST_TEST(chats.gaveUp * 100 <= chats.offered);
    BOOST_TEST((chats.served + chats.later) * 100 >= chats.offered * 90);
}

// Two teams ask for twice what there is, eight for little. The eight get all that they ask for, the two
// share the rest.
BOOST_AUTO_TEST_CASE(two_heavy_teams)
{
    const workload load = loadplay::makeHeavyTeams(seed);
    const auto outcome = play(load);
    BOOST_TEST(isEveryoneAnswered(outcome));
    for (const auto& [team, figures] : outcome.byTeam) {
        if (team.str() >= "team2")
            BOOST_TEST(figures.servedWork >= 0.97 * figures.offeredWork, team);
    }
    const double capacity = load.slots * utils::toSeconds(load.length);
    BOOST_TEST(loadplay::fairnessOf(outcome, capacity).jain > 0.99);
}

// One of four servers becomes 200 times slower for a minute. It is ejected and lookups that hang there are
// asked elsewhere: callers hardly notice.
BOOST_AUTO_TEST_CASE(one_slow_server)
{
    const auto outcome = play(loadplay::makeSlowServer(seed));
    BOOST_TEST(isEveryoneAnswered(outcome));
    const auto& lookups = of(outcome, priority_class::Interactive);
    BOOST_TEST(lookups.gaveUp * 1000 <= lookups.offered);
    BOOST_TEST(quantile(lookups.waits, 0.99) < 0.5);
    BOOST_TEST(outcome.hedged * 15 <= lookups.offered);
}

// Drafts of 40 seconds would fill all slots. Lookups and chats start at once; every draft is served.
BOOST_AUTO_TEST_CASE(long_drafts_among_lookups)
{
    const auto outcome = play(loadplay::makeLongAmongShort(seed));
    const auto& lookups = of(outcome, priority_class::Interactive);
    BOOST_TEST(lookups.served == lookups.offered);
    BOOST_TEST(quantile(lookups.waits, 0.99) < 0.1);
    const auto& drafts = of(outcome, priority_class::Draft);
    BOOST_TEST(drafts.served + drafts.later == drafts.offered);
}

// All teams together ask for 180% for two minutes. Lookups stay quick, drafts are served in the end, chats
// that cannot be served hear so at once in nine of ten cases, and hardly any run for callers who left.
BOOST_AUTO_TEST_CASE(lasting_saturation)
{
    const workload load = loadplay::makeSaturation(seed);
    const auto outcome = play(load);
    BOOST_TEST(isEveryoneAnswered(outcome));
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

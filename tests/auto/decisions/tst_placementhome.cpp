#include "decisions/cachetransfer.h"
#include "decisions/candidatewalk.h"
#include "decisions/homeledger.h"
#include "decisions/loadview.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <string>
#include <variant>
#include <vector>

using namespace decisions;
using namespace std::chrono_literals;

namespace {

const utils::time_point start { 1h };
const utils::node_id oldHome("node-1");
const utils::node_id newHome("node-2");
const load_bound wide { .multiple = 4, .newChatShare = 1 };

fleet_state fleetWithMean(double perSlot)
{
    return { { perSlot, 12 * 32.0 }, 7, 7, true };
}

home_ledger heldSince(const utils::node_id& self, utils::time_point when)
{
    home_ledger ledger(self, 32);
    ledger.claim({}, when - 10s);
    ledger.onServerReport({ 0, when - 1s }, when);
    ledger.check(false, wide, fleetWithMean(0), when);
    return ledger;
}

unsigned admitMany(home_ledger& ledger, unsigned count, const fleet_state& fleet, utils::time_point now)
{
    static std::uint64_t ticket = 0;
    unsigned admitted = 0;
    for (unsigned i = 0; i < count; ++i)
        admitted += ledger.admit(++ticket, true, wide, fleet, now) == admit_verdict::Admitted ? 1 : 0;
    return admitted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placementhome)

// Five requests of the old home are running when a VM joins and becomes home. The new home admits requests as
// soon as the handover is done, and counts the old home's five towards its bound until they end.
BOOST_AUTO_TEST_CASE(aNewHomeWaitsForTheHandoverAndCountsWhatIsStillInFlight)
{
    auto before = heldSince(oldHome, start);
    BOOST_TEST(admitMany(before, 5, fleetWithMean(0.2), start) == 5U);
    home_ledger after(newHome, 32);
    after.claim(std::array { oldHome }, start);
    BOOST_TEST(admitMany(after, 1, fleetWithMean(0.2), start + 1s) == 0U);

    const auto answer = before.onClaim(newHome, true);
    BOOST_TEST((answer.verdict == claim_verdict::Released));
    BOOST_TEST(admitMany(before, 1, fleetWithMean(0.2), start + 1s) == 0U);
    after.onClaimAnswer(oldHome, answer, start + 1s);
    BOOST_TEST(after.load(start + 1s) == 5U);
    const double meanOfTwo = 2.0 / 32;
    BOOST_TEST(admitMany(after, 10, fleetWithMean(meanOfTwo), start + 1s) == 3U);
    after.onRemainingInFlight(1);
    BOOST_TEST(after.load(start + 2s) == 4U);
}

// The old home is killed with requests on the engine, so the claim gets no answer. Requests are refused until
// the old home has been dead for longer than T, since until then it could be alive but unreachable.
BOOST_AUTO_TEST_CASE(aDeadHomeIsReplacedAfterTAndItsRequestsCountFromServerReports)
{
    home_ledger after(newHome, 32);
    after.claim(std::array { oldHome }, start);
    BOOST_TEST(admitMany(after, 1, fleetWithMean(0.5), start + 60s) == 0U);
    after.onNodeDead(oldHome, start + 60s);
    BOOST_TEST(admitMany(after, 1, fleetWithMean(0.5), start + 62s) == 0U);
    after.onServerReport({ 7, start + 62s }, start + 63s);
    BOOST_TEST(admitMany(after, 1, fleetWithMean(0.5), start + 64s) == 1U);
    BOOST_TEST(after.load(start + 64s) == 8U);
    after.onServerReport({ 1, start + 66s }, start + 67s);
    BOOST_TEST(after.load(start + 67s) == 1U);
}

// A home is paused for longer than T and resumes; by then its successor dispatches. With a stale view it
// admits nothing, and it has to claim the server like any other node before it admits again.
BOOST_AUTO_TEST_CASE(aPausedHomeAdmitsNothingUntilItHasClaimedAgain)
{
    auto home = heldSince(oldHome, start);
    auto fleet = fleetWithMean(0.5);
    fleet.isCurrent = false;
    BOOST_TEST(admitMany(home, 1, fleet, start + 10s) == 0U);
    home.onViewStale();
    BOOST_TEST(admitMany(home, 1, fleetWithMean(0.5), start + 10s) == 0U);
    home.claim(std::array { newHome }, start + 10s);
    BOOST_TEST(admitMany(home, 1, fleetWithMean(0.5), start + 19s) == 0U);
    home.onClaimAnswer(newHome, { claim_verdict::Released, 3, {} }, start + 20s);
    BOOST_TEST(admitMany(home, 1, fleetWithMean(0.5), start + 20s) == 1U);
    BOOST_TEST(home.load(start + 20s) == 4U);
}

// Two nodes with different views claim from the same home, and answers are lost. The second claimant must not
// mistake the release to the first one for its own.
BOOST_AUTO_TEST_CASE(onlyOneOfTwoClaimantsGetsTheServer)
{
    const utils::node_id third("node-3");
    auto before = heldSince(oldHome, start);
    BOOST_TEST((before.onClaim(newHome, true).verdict == claim_verdict::Released));
    BOOST_TEST((before.onClaim(newHome, true).verdict == claim_verdict::Released));
    const auto second = before.onClaim(third, true);
    BOOST_TEST((second.verdict == claim_verdict::HeldElsewhere));
    home_ledger late(third, 32);
    late.claim(std::array { oldHome }, start);
    late.onClaimAnswer(oldHome, second, start);
    BOOST_TEST(admitMany(late, 1, fleetWithMean(0.5), start + 60s) == 0U);
    auto holder = heldSince(newHome, start);
    BOOST_TEST((holder.onClaim(third, false).verdict == claim_verdict::Keeps));
    late.onClaimAnswer(newHome, holder.onClaim(third, false), start + 60s);
    BOOST_TEST(admitMany(late, 1, fleetWithMean(0.5), start + 90s) == 0U);
}

// The link between data centres is cut and both sides continue. Each side hears only a part of the listed
// VMs; if each used all slots of an engine, the engine would get twice the requests that it can run.
BOOST_AUTO_TEST_CASE(disjointPartitionsTogetherStayWithinTheSlots)
{
    auto left = heldSince(oldHome, start);
    auto right = heldSince(newHome, start);
    auto leftFleet = fleetWithMean(1);
    leftFleet.nodesHeard = 4;
    auto rightFleet = fleetWithMean(1);
    rightFleet.nodesHeard = 3;
    const unsigned both = admitMany(left, 40, leftFleet, start) + admitMany(right, 40, rightFleet, start);
    BOOST_TEST(both == 18U + 13U);
}

// One thousand requests of one calling team arrive within a digest round. The mean that a home knows lags,
// its own count does not: no home exceeds the bound that follows from the known mean.
BOOST_AUTO_TEST_CASE(aSurgeIsCountedAtTheHomeNotAtTheDigest)
{
    auto home = heldSince(oldHome, start);
    const load_bound bound { .multiple = 1.25, .newChatShare = 0 };
    unsigned admitted = 0;
    for (std::uint64_t ticket = 1; ticket <= 1000; ++ticket) {
        if (home.admit(ticket, true, bound, fleetWithMean(0.5), start) == admit_verdict::Admitted)
            ++admitted;
    }
    BOOST_TEST(admitted == 20U);
    BOOST_TEST((home.check(false, bound, fleetWithMean(0.5), start) == admit_verdict::OverBound));
    home.finish(1, start + 1s);
    home.finish(1, start + 1s);
    BOOST_TEST(home.ownInFlight() == 19U);
}

// A chat returns through any node. Its anchor's home names the server that ran it last, which is asked with
// the full bound; only if that server is full, the walk continues with the ranking.
BOOST_AUTO_TEST_CASE(theWalkAsksTheAnchorThenTheRecordedServerThenTheRanking)
{
    const std::vector<utils::server_id> ranking { utils::server_id("a"), utils::server_id("b"),
        utils::server_id("c") };
    candidate_walk walk(ranking);
    BOOST_TEST(std::get<ask_home>(walk.next()).isAnchor);
    const spill_record record { ranking[2], 4000 };
    walk.onAnswer({ .verdict = admit_verdict::OverBound, .remembered = record });
    const auto remembered = std::get<ask_home>(walk.next());
    BOOST_TEST(remembered.server == ranking[2]);
    BOOST_TEST(remembered.holdsCache);
    BOOST_TEST(remembered.prefixTokens == 4000U);
    walk.onAnswer({ .verdict = admit_verdict::OverBound, .load = 30, .slots = 32 });
    BOOST_TEST(std::get<ask_home>(walk.next()).server == ranking[0]);
    walk.onAnswer({ .verdict = admit_verdict::OverBound, .load = 20, .slots = 32 });
    BOOST_TEST(std::get<ask_home>(walk.next()).server == ranking[1]);
    walk.onAnswer({ .verdict = admit_verdict::OverBound, .load = 25, .slots = 32 });
    BOOST_TEST(std::get<queue_at>(walk.next()).server == ranking[0]);
}

// A server joined and became the chat's anchor; its home does not know the chat. The former anchor's home is
// asked before the chat is treated as new and its prefix recomputed.
BOOST_AUTO_TEST_CASE(theWalkAsksTheFormerAnchorBeforeItTreatsAChatAsNew)
{
    const std::vector<utils::server_id> ranking { utils::server_id("joined"), utils::server_id("b") };
    candidate_walk walk(ranking, ranking[1]);
    BOOST_TEST(std::get<ask_home>(walk.next()).onlyIfRemembered);
    walk.onAnswer({ .verdict = admit_verdict::OverBound });
    BOOST_TEST(std::get<ask_former_anchor>(walk.next()).server == ranking[1]);
    walk.onAnswer({ .verdict = admit_verdict::OverBound });
    const auto plain = std::get<ask_home>(walk.next());
    BOOST_TEST(plain.server == ranking[0]);
    BOOST_TEST(!plain.onlyIfRemembered);
    walk.onAnswer({ .verdict = admit_verdict::Admitted });
    BOOST_TEST(walk.isAdmitted());
    BOOST_TEST((walk.anchor() == ranking[0]));
}

BOOST_AUTO_TEST_CASE(aWalkWithoutServersOrHomesEnds)
{
    BOOST_TEST(std::holds_alternative<no_candidate>(candidate_walk({}).next()));
    candidate_walk walk({ utils::server_id("a") });
    walk.onAnswer({ .verdict = admit_verdict::NotHolding });
    BOOST_TEST(std::holds_alternative<no_candidate>(walk.next()));
}

BOOST_AUTO_TEST_CASE(theMeanCountsEachServerOnceWhateverTheAgeOfItsEntry)
{
    load_view view;
    for (int i = 0; i < 30; ++i)
        view.merge({ utils::server_id("quiet-" + std::to_string(i)), 8, 32, start });
    for (int i = 0; i < 10; ++i)
        view.merge({ utils::server_id("busy-" + std::to_string(i)), 24, 32, start + 10s });
    BOOST_TEST(view.mean(start + 10s).perSlot == 12.0 / 32);
    BOOST_TEST(view.mean(start + 10s).totalSlots == 40 * 32.0);
    view.merge({ utils::server_id("busy-1"), 0, 32, start + 9s });
    BOOST_TEST(view.mean(start + 10s).perSlot == 12.0 / 32);
    view.remove(utils::server_id("quiet-1"));
    BOOST_TEST(view.size() == 39U);
    BOOST_TEST(view.mean(start + 31s).totalSlots == 10 * 32.0);
}

// A burst raises the mean for a few seconds. Requests admitted up to c x that mean would still run when the
// burst is over, and would then exceed c x mean. Below the current mean requests are still admitted without
// waiting.
BOOST_AUTO_TEST_CASE(theMultipleAppliesToTheLowestMeanOfTheLastSeconds)
{
    load_view view;
    const utils::server_id only("engine-1");
    view.merge({ only, 16, 32, start });
    BOOST_TEST(boundedLoad(1.25, 32, view.observe(start)) == 21U);
    view.merge({ only, 24, 32, start + 2s });
    BOOST_TEST(boundedLoad(1.25, 32, view.observe(start + 2s)) == 25U);
    BOOST_TEST(boundedLoad(1.25, 32, view.observe(start + 13s)) == 31U);
}

// A server leaves with more cached prefixes than can be moved in time. Those with the most uses per hour are
// moved, each to the server that the ranking now gives for its chat.
BOOST_AUTO_TEST_CASE(aLeavingServerExportsItsHottestPrefixesToTheNextOfTheRanking)
{
    std::vector<placement_server> servers(3);
    for (std::size_t i = 0; i < servers.size(); ++i)
        servers[i].id = utils::server_id("engine-" + std::to_string(i));
    servers[0].isLeaving = true;
    const std::array prefixes { hot_prefix { 1, 5000, 1 }, hot_prefix { 2, 5000, 9 },
        hot_prefix { 3, 4000, 5 } };
    const auto moves = planExports(prefixes, servers, { .tokens = 9000 });
    BOOST_REQUIRE(moves.size() == 2);
    BOOST_TEST(moves[0].chat == 2U);
    BOOST_TEST(moves[1].chat == 3U);
    BOOST_TEST(moves[0].to == servers[rankServers(2, servers, 1).front()].id);
    BOOST_TEST(planExports(prefixes, servers, { .tokens = 9000, .tokensPerSecond = 100 }).empty());

    const export_budget rates;
    BOOST_TEST((chooseCacheAction({ 40'000, 1s, 5s, true }, rates) == cache_action::Import));
    BOOST_TEST((chooseCacheAction({ 40'000, 1s, 5s, false }, rates) == cache_action::Wait));
    BOOST_TEST((chooseCacheAction({ 4000, 1s, 5s, false }, rates) == cache_action::Recompute));
    BOOST_TEST((maxCacheWait(40'000, 3s, rates) == 3s));
}

BOOST_AUTO_TEST_SUITE_END()

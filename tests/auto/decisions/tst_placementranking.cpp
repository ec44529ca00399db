#include "decisions/loadbound.h"
#include "decisions/rampup.h"
#include "decisions/ranking.h"
#include "decisions/spilltable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <string>
#include <vector>

using namespace decisions;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t chatCount = 20'000;

std::vector<placement_server> makeServers(std::size_t count)
{
    std::vector<placement_server> servers(count);
    for (std::size_t i = 0; i < count; ++i) {
        servers[i].id = utils::server_id("engine-" + std::to_string(i));
        servers[i].slots = 32;
    }
    return servers;
}

utils::server_id anchorOf(std::uint64_t chat, const std::vector<placement_server>& servers)
{
    const auto order = rankServers(chat, servers, 1);
    return order.empty() ? utils::server_id() : servers[order.front()].id;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placementranking)

BOOST_AUTO_TEST_CASE(theRankingIsIndependentOfTheOrderOfTheServers)
{
    auto servers = makeServers(12);
    auto reversed = servers;
    std::ranges::reverse(reversed);
    for (std::uint64_t chat = 0; chat < 500; ++chat)
        BOOST_TEST(anchorOf(chat, servers) == anchorOf(chat, reversed));
}

// A backend server is drained while chats keep returning. Callers see no error: from the first request after
// the document's change no ranking includes the leaving server, and only its own chats move.
BOOST_AUTO_TEST_CASE(aLeavingServerIsOutAtOnceAndOnlyItsChatsMove)
{
    const auto before = makeServers(12);
    auto after = before;
    after[3].isLeaving = true;
    for (std::uint64_t chat = 0; chat < chatCount; ++chat) {
        const auto was = anchorOf(chat, before);
        const auto is = anchorOf(chat, after);
        BOOST_REQUIRE(is != before[3].id);
        BOOST_REQUIRE((was == before[3].id || was == is));
        const auto whole = rankServers(chat, after, after.size());
        BOOST_REQUIRE(std::ranges::find(whole, 3U) == whole.end());
    }
}

BOOST_AUTO_TEST_CASE(chatsSpreadByWeight)
{
    auto servers = makeServers(3);
    servers[0].slots = 64;
    servers[1].rampUp = 0.5;
    std::map<std::string, double> share;
    for (std::uint64_t chat = 0; chat < chatCount; ++chat)
        share[anchorOf(chat, servers).str()] += 1.0 / chatCount;
    BOOST_TEST(share["engine-0"] == 64.0 / 112, boost::test_tools::tolerance(0.05));
    BOOST_TEST(share["engine-1"] == 16.0 / 112, boost::test_tools::tolerance(0.08));
    BOOST_TEST(share["engine-2"] == 32.0 / 112, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(aJoiningServerGetsItsShareInStepsAndAFlapRestartsTheRamp)
{
    const utils::time_point joined { 1h };
    BOOST_TEST(rampUpWeight(joined, joined) == 0.1);
    BOOST_TEST(rampUpWeight(joined, joined + 30s) == 0.55);
    BOOST_TEST(rampUpWeight(joined, joined + 60s) == 1.0);
    BOOST_TEST(rampUpWeight(joined + 50s, joined + 60s) < 0.3);
}

// Requests arrive at five idle servers with the bound 1.1. Without rounding up, 1.1 x mean allows no second
// request until the mean is 10, so the fleet would stop at one request per server.
BOOST_AUTO_TEST_CASE(aSmallBoundStillLetsAnIdleFleetFill)
{
    constexpr unsigned servers = 5;
    constexpr unsigned slots = 32;
    constexpr double bound = 1.1;
    std::vector<unsigned> load(servers, 0);
    for (unsigned total = 0; total < servers * slots; ++total) {
        const mean_load mean { static_cast<double>(total) / (servers * slots), servers * slots };
        auto least = std::ranges::min_element(load);
        BOOST_REQUIRE(*least + 1 <= boundedLoad(bound, slots, mean));
        ++*least;
        const double meanAfter = static_cast<double>(total + 1) / servers;
        const unsigned most = *std::ranges::max_element(load);
        BOOST_REQUIRE(most <= std::max(bound * meanAfter, std::ceil(meanAfter)));
    }
}

BOOST_AUTO_TEST_CASE(aBoundIsNeverAboveTheMultipleOrTheNextWholeRequest)
{
    for (unsigned total = 0; total < 400; ++total) {
        for (const double multiple : { 1.05, 1.1, 1.25, 2.0 }) {
            const mean_load mean { total / 384.0, 384 };
            const double expected = (total + 1) / 384.0 * 32;
            BOOST_TEST(
                boundedLoad(multiple, 32, mean) <= std::max(multiple * expected, std::ceil(expected)) + 1e-9);
        }
    }
    BOOST_TEST(boundedLoad(1.25, 32, {}) == 1U);
}

// A chat's anchor was full, so the chat ran on another server. When the chat returns minutes later through
// any node, the anchor's home has to name the server that holds the prefix.
BOOST_AUTO_TEST_CASE(aSpilledChatIsFoundAgainUntilItExpires)
{
    const utils::time_point start { 1h };
    spill_table table({ .capacity = 3, .lifetime = 1h });
    const utils::server_id other("engine-7");
    table.remember(1, { other, 9000 }, start);
    BOOST_REQUIRE(table.find(1, start + 59min).has_value());
    BOOST_TEST(table.find(1, start + 59min)->server == other);
    BOOST_TEST(table.find(1, start + 59min)->prefixTokens == 9000U);
    BOOST_TEST(!table.find(1, start + 61min).has_value());
    table.expire(start + 61min);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(aFullTableEvictsTheLeastRecentlyUsedChat)
{
    const utils::time_point start { 1h };
    spill_table table({ .capacity = 2, .lifetime = 1h });
    table.remember(1, { utils::server_id("a"), 1 }, start);
    table.remember(2, { utils::server_id("b"), 1 }, start + 1s);
    table.remember(1, { utils::server_id("c"), 1 }, start + 2s);
    table.remember(3, { utils::server_id("a"), 1 }, start + 3s);
    BOOST_TEST(!table.find(2, start + 4s).has_value());
    BOOST_TEST(table.find(1, start + 4s)->server == utils::server_id("c"));
    table.forgetServer(utils::server_id("c"));
    BOOST_TEST(!table.find(1, start + 4s).has_value());
    table.moved(3, utils::server_id("d"));
    BOOST_TEST(table.find(3, start + 4s)->server == utils::server_id("d"));
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/peermessages.h"
#include "gateway/peertable.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace std::chrono_literals;
using gateway::peer_heartbeat;
using gateway::peer_table;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

peer_heartbeat beatOf(const std::string& node, std::uint64_t bootId, std::uint64_t sequence)
{
    peer_heartbeat beat;
    beat.node = node;
    beat.address = "10.0.0." + node + ":7340";
    beat.bootId = bootId;
    beat.sequence = sequence;
    return beat;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peers)

BOOST_AUTO_TEST_CASE(beats_survive_the_wire)
{
    peer_heartbeat beat = beatOf("2", 7, 9);
    beat.configurationRevision = 40;
    beat.shares.push_back({ "engine-1", { 3, 1200 } });
    beat.strikes.push_back({ { 1, 2 }, 3, true, false, 5s });
    beat.placements.push_back({ { "engine-1", 11, { { 5, 600 } } } });
    beat.peerAddresses.push_back({ "10.0.0.3:7340" });
    const auto read = gateway::decodeHeartbeat(gateway::encodeHeartbeat(beat));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->configurationRevision == 40u);
    BOOST_TEST(read->shares.front().share.promptTokens == 1200u);
    BOOST_TEST((read->strikes.front().remaining == 5s));
    BOOST_TEST(read->placements.front().note.parts.front().tokens == 600u);
    BOOST_TEST(read->peerAddresses.front().address == "10.0.0.3:7340");
}

// Bytes that are no beat, whole ones that are cut, and ones with a bit turned: none may end the process,
// and a length that is wrong by a bit must not make it take gigabytes for bytes that are not there.
BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_dropped)
{
    peer_heartbeat beat = beatOf("2", 7, 9);
    beat.peerAddresses.assign(3, { "10.0.0.3:7340" });
    const std::string good = gateway::encodeHeartbeat(beat);
    for (std::size_t length = 0; length < good.size(); ++length)
        BOOST_TEST(!gateway::decodeHeartbeat(good.substr(0, length)).has_value());
    std::mt19937 random(20261203);
    for (int i = 0; i < 2000; ++i) {
        std::string bad = good;
        char& byte = bad[random() % bad.size()];
        byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << (random() % 8)));
        gateway::decodeHeartbeat(bad);
        gateway::decodeView(bad);
    }
}

// Datagrams overtake each other, and those of a node's life before its restart may come late.
BOOST_AUTO_TEST_CASE(old_beats_do_not_count)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    BOOST_TEST(table.applyHeartbeat(beatOf("2", 7, 5), at(0s)));
    BOOST_TEST(!table.applyHeartbeat(beatOf("2", 7, 4), at(0s)));
    BOOST_TEST(!table.applyHeartbeat(beatOf("2", 7, 5), at(0s)));
    BOOST_TEST(table.applyHeartbeat(beatOf("2", 8, 1), at(0s)));
    BOOST_TEST(!table.applyHeartbeat(beatOf("2", 7, 6), at(0s)));
    BOOST_TEST(!table.applyHeartbeat(beatOf("1", 9, 1), at(0s)));
}

BOOST_AUTO_TEST_CASE(silent_peers_do_not_count_but_are_still_told)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    table.addAddress("10.0.0.9:7340", at(0s));
    table.addAddress("10.0.0.1:7340", at(0s));
    table.applyHeartbeat(beatOf("2", 7, 5), at(0s));
    BOOST_TEST(table.livePeers(at(1s)).size() == 1u);
    BOOST_TEST(table.livePeers(at(4s)).empty());
    BOOST_TEST(table.targets().size() == 2u);
    table.expire(at(61s));
    BOOST_TEST(table.targets().empty());
}

BOOST_AUTO_TEST_CASE(addresses_spread_and_targets_are_bounded)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    peer_heartbeat beat = beatOf("2", 7, 5);
    for (int i = 3; i < 60; ++i)
        beat.peerAddresses.push_back({ "10.0.0." + std::to_string(i) + ":7340" });
    table.applyHeartbeat(beat, at(0s));
    BOOST_TEST(table.targets().size() == peer_table::fanout);
}

// Followers count while they are heard and say that they hear the store themselves.
BOOST_AUTO_TEST_CASE(followers_count_while_they_are_heard)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    peer_heartbeat follower = beatOf("2", 7, 5);
    follower.followsStore = true;
    table.applyHeartbeat(follower, at(0s));
    table.applyHeartbeat(beatOf("3", 7, 5), at(0s));
    BOOST_TEST(table.followersHeard(at(700ms)) == 1u);
    BOOST_TEST(table.followersHeard(at(701ms)) == 0u);
    follower.sequence = 6;
    follower.followsStore = false;
    table.applyHeartbeat(follower, at(800ms));
    BOOST_TEST(table.followersHeard(at(800ms)) == 0u);
}

// Eight followers tell 79 others four times a second. Full beats of two kilobytes would take 5 of the 10
// Mbit/s that a small node has; short ones tell what is relied on: revisions, and how old the evidence is.
BOOST_AUTO_TEST_CASE(a_short_beat_is_small_and_tells_what_is_relied_on)
{
    peer_heartbeat beat = beatOf("2", 7, 9);
    beat.configurationRevision = 40;
    beat.serversRevision = 41;
    beat.followsStore = true;
    for (int i = 0; i < 24; ++i) {
        beat.shares.push_back({ "i-7f3a91c2" + std::to_string(i), { 3, 1200 } });
        beat.placements.push_back({ { "i-7f3a91c2", 11, { { 5, 600 }, { 6, 9000 } } } });
    }
    const std::string bytes = gateway::encodeHeartbeat(beat.withoutLists());
    BOOST_TEST(gateway::encodeHeartbeat(beat).size() > 1500u);
    BOOST_TEST(bytes.size() < 120u);
    const auto read = gateway::decodeHeartbeat(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->omitsLists);
    BOOST_TEST(read->followsStore);
    BOOST_TEST(read->configurationRevision == 40u);
    BOOST_TEST(read->serversRevision == 41u);
    BOOST_TEST(read->shares.empty());
}

// Nodes rely on followers, so these tell everybody, not a sample.
BOOST_AUTO_TEST_CASE(a_follower_tells_everybody)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    for (int i = 2; i < 90; ++i)
        table.addAddress("10.0.0." + std::to_string(i) + ":7340", at(0s));
    const auto targets = table.targets();
    BOOST_TEST(targets.size() == peer_table::fanout);
    const auto others = table.addressesExcept(targets);
    BOOST_TEST(others.size() == 88u - peer_table::fanout);
    for (const std::string& told : targets)
        BOOST_TEST((std::ranges::find(others, told) == others.end()));
}

BOOST_AUTO_TEST_SUITE_END()

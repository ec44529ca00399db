#include "gateway/peers/peermessages.h"
#include "gateway/peers/peertable.h"

#include "decisions/fleetsize.h"
#include "decisions/followrule.h"

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

peer_heartbeat heartbeatFrom(const std::string& node, std::uint64_t bootId, std::uint64_t sequence)
{
    peer_heartbeat heartbeat;
    heartbeat.node = node;
    heartbeat.address = "10.0.0." + node + ":7340";
    heartbeat.bootId = bootId;
    heartbeat.sequence = sequence;
    return heartbeat;
}

/// A fleet that starts at once and knows three seeds; each node sends full heartbeats to its targets.
class peer_fleet {
public:
    struct member {
        std::string name;
        peer_table table;
        decisions::fleet_size size;
        bool follows = true;
    };

    explicit peer_fleet(unsigned nodes)
    {
        for (unsigned i = 0; i < nodes; ++i) {
            const std::string name = std::to_string(i);
            m_members.push_back({ name, peer_table(name, addressOf(name), i + 1), {} });
            for (const std::string& seed : m_seeds)
                m_members.back().table.addAddress(seed, m_now);
        }
    }

    void run(utils::duration length)
    {
        const utils::time_point until = m_now + length;
        for (; m_now < until; m_now += 250ms) {
            ++m_sequence;
            for (member& sender : m_members)
                beat(sender);
        }
    }

    std::size_t followers() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_members, &member::follows));
    }
    const std::vector<member>& members() const { return m_members; }
    utils::time_point now() const { return m_now; }

private:
    static std::string addressOf(const std::string& name) { return "10.0.0." + name + ":7340"; }

    void beat(member& sender)
    {
        sender.size.observe(static_cast<unsigned>(sender.table.knownNodes()), m_now);
        sender.follows = decisions::shouldFollowStore({ sender.table.ownAddress(),
            sender.table.presumedLive(m_now), m_seeds, sender.table.followersHeard(m_now) });
        peer_heartbeat heartbeat = heartbeatFrom(sender.name, 1, m_sequence);
        heartbeat.followsStore = sender.follows;
        for (std::string& address : sender.table.sampleAddresses(m_now))
            heartbeat.peerAddresses.push_back({ std::move(address) });
        const std::vector<std::string> targets = sender.table.targets();
        send(heartbeat, targets);
        if (sender.follows)
            send(heartbeat.withoutLists(), sender.table.addressesExcept(targets));
    }

    void send(const peer_heartbeat& heartbeat, const std::vector<std::string>& targets)
    {
        for (const std::string& target : targets) {
            const auto isTarget = [&](const member& other) { return other.table.ownAddress() == target; };
            const auto receiver = std::ranges::find_if(m_members, isTarget);
            receiver->table.applyHeartbeat(heartbeat, m_now);
        }
    }

    std::vector<std::string> m_seeds { addressOf("0"), addressOf("100"), addressOf("200") };
    std::vector<member> m_members;
    utils::time_point m_now = at(0s);
    std::uint64_t m_sequence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(peers)

BOOST_AUTO_TEST_CASE(heartbeats_round_trip)
{
    peer_heartbeat heartbeat = heartbeatFrom("2", 7, 9);
    heartbeat.configurationRevision = 40;
    heartbeat.shares.push_back({ "engine-1", { 3, 1200 } });
    heartbeat.strikes.push_back({ { 1, 2 }, 3, true, false, 5s });
    heartbeat.placements.push_back({ { "engine-1", 11, { { 5, 600 } } } });
    heartbeat.peerAddresses.push_back({ "10.0.0.3:7340" });
    const auto read = gateway::decodeHeartbeat(gateway::encodeHeartbeat(heartbeat));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->configurationRevision == 40u);
    BOOST_TEST(read->shares.front().share.promptTokens == 1200u);
    BOOST_TEST((read->strikes.front().remaining == 5s));
    BOOST_TEST(read->placements.front().note.parts.front().tokens == 600u);
    BOOST_TEST(read->peerAddresses.front().address == "10.0.0.3:7340");
}

// Truncated messages, and messages with a flipped bit, must not end the process. A corrupted length must not
// cause an allocation of gigabytes for data that is not there.
BOOST_AUTO_TEST_CASE(invalid_messages_are_dropped)
{
    peer_heartbeat heartbeat = heartbeatFrom("2", 7, 9);
    heartbeat.peerAddresses.assign(3, { "10.0.0.3:7340" });
    const std::string good = gateway::encodeHeartbeat(heartbeat);
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

// Datagrams are reordered, and those sent before a node's restart may arrive late.
BOOST_AUTO_TEST_CASE(outdated_heartbeats_are_ignored)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    BOOST_TEST(table.applyHeartbeat(heartbeatFrom("2", 7, 5), at(0s)));
    BOOST_TEST(!table.applyHeartbeat(heartbeatFrom("2", 7, 4), at(0s)));
    BOOST_TEST(!table.applyHeartbeat(heartbeatFrom("2", 7, 5), at(0s)));
    BOOST_TEST(table.applyHeartbeat(heartbeatFrom("2", 8, 1), at(0s)));
    BOOST_TEST(!table.applyHeartbeat(heartbeatFrom("2", 7, 6), at(0s)));
    BOOST_TEST(!table.applyHeartbeat(heartbeatFrom("1", 9, 1), at(0s)));
}

// Guards against a node that nobody hears for a minute: its VM's time of day jumped back before it restarted,
// so that an id taken from that clock is lower than the one its peers know.
BOOST_AUTO_TEST_CASE(a_restarted_node_is_heard_whatever_its_clock_says)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    BOOST_TEST(table.applyHeartbeat(heartbeatFrom("2", 9000, 500), at(0s)));
    BOOST_TEST(table.applyHeartbeat(heartbeatFrom("2", 7000, 1), at(1s)));
    BOOST_TEST(!table.applyHeartbeat(heartbeatFrom("2", 9000, 501), at(1100ms)));
    BOOST_TEST(table.applyHeartbeat(heartbeatFrom("2", 7000, 2), at(1250ms)));
}

// Guards against a live node that is ignored because a datagram of its previous process came late.
BOOST_AUTO_TEST_CASE(a_late_datagram_of_an_unknown_process_silences_its_successor_only_briefly)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    BOOST_TEST(table.applyHeartbeat(heartbeatFrom("2", 7000, 1), at(0s)));
    BOOST_TEST(table.applyHeartbeat(heartbeatFrom("2", 9000, 501), at(100ms)));
    BOOST_TEST(!table.applyHeartbeat(heartbeatFrom("2", 7000, 2), at(250ms)));
    const utils::duration later = 100ms + peer_table::datagramLifetime + 1ms;
    BOOST_TEST(table.applyHeartbeat(heartbeatFrom("2", 7000, 3), at(later)));
}

BOOST_AUTO_TEST_CASE(silent_peers_are_not_live_but_still_get_heartbeats)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    table.addAddress("10.0.0.9:7340", at(0s));
    table.addAddress("10.0.0.1:7340", at(0s));
    table.applyHeartbeat(heartbeatFrom("2", 7, 5), at(0s));
    BOOST_TEST(table.livePeers(at(1s)).size() == 1u);
    BOOST_TEST(table.livePeers(at(4s)).empty());
    BOOST_TEST(table.targets().size() == 2u);
    table.expire(at(61s));
    BOOST_TEST(table.targets().empty());
}

BOOST_AUTO_TEST_CASE(addresses_spread_and_targets_are_bounded)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    peer_heartbeat heartbeat = heartbeatFrom("2", 7, 5);
    for (int i = 3; i < 60; ++i)
        heartbeat.peerAddresses.push_back({ "10.0.0." + std::to_string(i) + ":7340" });
    table.applyHeartbeat(heartbeat, at(0s));
    BOOST_TEST(table.targets().size() == peer_table::fanout);
}

// Guards against a bound shared out by a third of the fleet: in a fleet of 300 a node hears some 100 others
// within the lifetime of a peer, and all of them together then spent three times the bound.
BOOST_AUTO_TEST_CASE(a_node_knows_the_size_of_a_fleet_of_which_it_hears_a_part)
{
    constexpr unsigned nodes = 300;
    peer_fleet fleet(nodes);
    fleet.run(4s);
    for (const peer_fleet::member& member : fleet.members()) {
        BOOST_TEST(member.size.nodes() >= nodes * 98 / 100);
        BOOST_TEST(member.size.nodes() <= nodes);
    }
    fleet.run(4s);
    for (const peer_fleet::member& member : fleet.members())
        BOOST_TEST(member.table.livePeers(fleet.now()).size() < nodes / 2);
}

// Guards against hundreds of nodes that all ask the store for seconds after they have lost power together:
// those that follow it are known to all within a second.
BOOST_AUTO_TEST_CASE(few_nodes_follow_the_store_soon_after_a_common_start)
{
    peer_fleet fleet(300);
    fleet.run(1250ms);
    BOOST_TEST(fleet.followers() <= 2 * decisions::targetFollowers);
    fleet.run(2s);
    BOOST_TEST(fleet.followers() >= decisions::minFollowers);
    BOOST_TEST(fleet.followers() <= decisions::targetFollowers);
}

// A follower counts while it is heard and reports that it follows the store.
BOOST_AUTO_TEST_CASE(followers_count_while_they_are_heard)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    peer_heartbeat follower = heartbeatFrom("2", 7, 5);
    follower.followsStore = true;
    table.applyHeartbeat(follower, at(0s));
    table.applyHeartbeat(heartbeatFrom("3", 7, 5), at(0s));
    BOOST_TEST(table.followersHeard(at(700ms)) == 1u);
    BOOST_TEST(table.followersHeard(at(701ms)) == 0u);
    follower.sequence = 6;
    follower.followsStore = false;
    table.applyHeartbeat(follower, at(800ms));
    BOOST_TEST(table.followersHeard(at(800ms)) == 0u);
}

// Eight followers send to 79 other nodes four times a second. Full heartbeats of two kilobytes would take 5
// of the 10 Mbit/s of a small node. The short ones carry what other nodes rely on: revisions and the age of
// the evidence.
BOOST_AUTO_TEST_CASE(a_heartbeat_without_lists_is_small_and_keeps_revisions)
{
    peer_heartbeat heartbeat = heartbeatFrom("2", 7, 9);
    heartbeat.configurationRevision = 40;
    heartbeat.serversRevision = 41;
    heartbeat.followsStore = true;
    for (int i = 0; i < 24; ++i) {
        heartbeat.shares.push_back({ "i-7f3a91c2" + std::to_string(i), { 3, 1200 } });
        heartbeat.placements.push_back({ { "i-7f3a91c2", 11, { { 5, 600 }, { 6, 9000 } } } });
    }
    const std::string bytes = gateway::encodeHeartbeat(heartbeat.withoutLists());
    BOOST_TEST(gateway::encodeHeartbeat(heartbeat).size() > 1500u);
    BOOST_TEST(bytes.size() < 120u);
    const auto read = gateway::decodeHeartbeat(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->omitsLists);
    BOOST_TEST(read->followsStore);
    BOOST_TEST(read->configurationRevision == 40u);
    BOOST_TEST(read->serversRevision == 41u);
    BOOST_TEST(read->shares.empty());
}

// What all nodes need to know of placements goes with the short heartbeat, whose other lists mean nothing.
BOOST_AUTO_TEST_CASE(a_heartbeat_without_lists_carries_placements)
{
    peer_heartbeat brief = heartbeatFrom("2", 7, 9).withoutLists();
    brief.placements.push_back({ { "i-7f3a91c2", 11, { { 5, 600 }, { 6, 9000 } } } });
    const auto read = gateway::decodeHeartbeat(gateway::encodeHeartbeat(brief));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->omitsLists);
    BOOST_REQUIRE(read->placements.size() == 1u);
    BOOST_TEST(read->placements.front().note.parts.size() == 2u);
}

// Nodes rely on followers, so a follower reaches every node and not just a sample.
BOOST_AUTO_TEST_CASE(a_follower_sends_to_all_addresses)
{
    peer_table table("1", "10.0.0.1:7340", 1);
    for (int i = 2; i < 90; ++i)
        table.addAddress("10.0.0." + std::to_string(i) + ":7340", at(0s));
    const auto targets = table.targets();
    BOOST_TEST(targets.size() == peer_table::fanout);
    const auto others = table.addressesExcept(targets);
    BOOST_TEST(others.size() == 88u - peer_table::fanout);
    for (const std::string& target : targets)
        BOOST_TEST((std::ranges::find(others, target) == others.end()));
}

BOOST_AUTO_TEST_SUITE_END()

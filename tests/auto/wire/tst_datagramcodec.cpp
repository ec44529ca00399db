#include "wire/datagramcodec.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>

namespace {

const utils::node_id alpha("alpha");
const utils::node_id beta("beta");
const utils::node_id delta("delta");

wire::datagram sample()
{
    wire::datagram message;
    message.kind = wire::datagram_kind::Ack;
    message.nonce = 0x0123456789abcdefULL;
    message.revisionKnown.value = 300;
    message.updates.push_back({ delta, wire::member_state::Alive, 7, "10.0.0.3:7000", "arequipa-1" });
    message.heard.push_back({ wire::tagOf(delta), 12, 0 });
    message.digests.push_back(
        { wire::digest_kind::PoolLoad, wire::tagOf(beta), { 1ULL << 60U }, 2, "theses", "4/8" });
    message.handovers.push_back({ wire::handover_kind::Grant, "engine-1", { 3 }, { 5 } });
    return message;
}

struct node_pair {
    wire::datagram_codec sender { wire::peer_keys("key"), alpha, 10 };
    wire::datagram_codec receiver { wire::peer_keys("key"), beta, 10 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(datagramcodec)

BOOST_AUTO_TEST_CASE(round_trip_preserves_a_datagram)
{
    node_pair nodes;
    const auto message = nodes.receiver.decode(nodes.sender.encode(sample(), beta));
    BOOST_REQUIRE(message.has_value());
    BOOST_TEST(message->sender == alpha);
    BOOST_TEST(message->nonce == sample().nonce);
    BOOST_TEST(message->revisionKnown.value == 300U);
    BOOST_TEST(message->updates.at(0).address == "10.0.0.3:7000");
    BOOST_TEST(message->heard.at(0).age == 12);
    BOOST_TEST(message->digests.at(0).version.value == 1ULL << 60U);
    BOOST_TEST(message->handovers.at(0).inFlight.value == 5U);
}

BOOST_AUTO_TEST_CASE(key_rotation_loses_no_datagrams)
{
    // The key is rotated node by node: for some time one node signs with the new key and another with the
    // old. Each must accept the other's datagrams, or the rotation would partition the fleet.
    wire::datagram_codec rotated(wire::peer_keys("new", "old"), alpha, 10);
    wire::datagram_codec notYet(wire::peer_keys("old", "new"), beta, 10);
    BOOST_TEST(notYet.decode(rotated.encode(sample(), beta)).has_value());
    BOOST_TEST(rotated.decode(notYet.encode(sample(), alpha)).has_value());
    wire::datagram_codec stranger(wire::peer_keys("other"), delta, 10);
    BOOST_TEST(!rotated.decode(stranger.encode(sample(), alpha)).has_value());
    BOOST_TEST(rotated.dropped(wire::drop_reason::BadCode) == 1U);
}

BOOST_AUTO_TEST_CASE(replayed_datagram_is_dropped)
{
    // An attacker records datagrams of alpha and replays them: at once, after a restart of alpha, and to
    // another node. Each one has a valid authentication code and must still be dropped, or a dead node would
    // appear alive.
    node_pair nodes;
    const std::string recorded = nodes.sender.encode(sample(), beta);
    BOOST_TEST(nodes.receiver.decode(recorded).has_value());
    BOOST_TEST(!nodes.receiver.decode(recorded).has_value());

    const std::string unseen = nodes.sender.encode(sample(), beta);
    wire::datagram_codec restarted(wire::peer_keys("key"), alpha, 11);
    BOOST_TEST(nodes.receiver.decode(restarted.encode(sample(), beta)).has_value());
    BOOST_TEST(!nodes.receiver.decode(unseen).has_value());
    BOOST_TEST(nodes.receiver.dropped(wire::drop_reason::Replayed) == 2U);

    wire::datagram_codec third(wire::peer_keys("key"), delta, 10);
    BOOST_TEST(!third.decode(restarted.encode(sample(), beta)).has_value());
    BOOST_TEST(third.dropped(wire::drop_reason::BadCode) == 1U);
}

BOOST_AUTO_TEST_CASE(reordered_datagrams_are_accepted)
{
    node_pair nodes;
    const std::string first = nodes.sender.encode(sample(), beta);
    const std::string second = nodes.sender.encode(sample(), beta);
    BOOST_TEST(nodes.receiver.decode(second).has_value());
    BOOST_TEST(nodes.receiver.decode(first).has_value());
}

BOOST_AUTO_TEST_CASE(oversized_datagram_is_neither_sent_nor_accepted)
{
    node_pair nodes;
    wire::datagram large = sample();
    large.digests.assign(40, { wire::digest_kind::TeamUsage, 1, { 1 }, 0, "team", std::string(40, 'x') });
    BOOST_TEST(nodes.sender.encode(large, beta).empty());
    BOOST_TEST(!nodes.receiver.decode(std::string(wire::datagram_codec::maxSize + 1, 'x')).has_value());
    BOOST_TEST(nodes.receiver.dropped(wire::drop_reason::TooLarge) == 1U);
    BOOST_TEST(!nodes.receiver.decode("short").has_value());
    BOOST_TEST(nodes.receiver.dropped(wire::drop_reason::TooShort) == 1U);
}

BOOST_AUTO_TEST_CASE(decoder_handles_arbitrary_bytes)
{
    // Mutations of a valid payload exercise every field of the decoder: a node that holds the key but runs
    // another version, or is faulty, must not be able to crash its peers.
    node_pair nodes;
    const std::string valid = nodes.sender.encode(sample(), beta).substr(wire::peer_keys::codeSize);
    std::mt19937 random(20261202);
    unsigned decoded = 0;
    constexpr unsigned rounds = 50'000;
    for (unsigned round = 0; round < rounds; ++round) {
        std::string bytes = valid.substr(0, random() % 8 == 0 ? random() % valid.size() : valid.size());
        for (unsigned change = random() % 4; change > 0 && !bytes.empty(); --change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 16 == 0)
            bytes.push_back(static_cast<char>(random()));
        decoded += wire::datagram_codec::decodePayload(bytes).has_value() ? 1 : 0;
    }
    BOOST_TEST(decoded > 0U);
    BOOST_TEST(decoded < rounds);
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/peers/peermessages.h"
#include "gateway/peers/streammessages.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using gateway::stream_message;
using gateway::stream_message_kind;

namespace {

stream_message largestMessage()
{
    stream_message message;
    message.kind = stream_message_kind::Answer;
    message.question = std::numeric_limits<std::uint64_t>::max();
    message.sender = "100.100.100.100:65535";
    message.recordRevision = std::numeric_limits<std::uint64_t>::max();
    for (std::uint64_t i = 0; i < stream_message::maxOrigins; ++i)
        message.origins.push_back({ { i + 1, ~i } });
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(streammessages)

BOOST_AUTO_TEST_CASE(messages_round_trip)
{
    const stream_message message = largestMessage();
    const std::string bytes = gateway::encodeStreamMessage(message);
    BOOST_TEST(gateway::isStreamMessage(bytes));
    const auto read = gateway::decodeStreamMessage(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read->kind == message.kind));
    BOOST_TEST(read->question == message.question);
    BOOST_TEST(read->sender == message.sender);
    BOOST_TEST(read->recordRevision == message.recordRevision);
    BOOST_REQUIRE(read->origins.size() == message.origins.size());
    BOOST_TEST(read->origins.back().origin.version == message.origins.back().origin.version);
}

// Guards against nodes of the build before that take a message about streams for a heartbeat of an unknown
// node.
BOOST_AUTO_TEST_CASE(messages_are_no_heartbeats_and_heartbeats_no_messages)
{
    const std::string bytes = gateway::encodeStreamMessage(largestMessage());
    BOOST_TEST(bytes.size() < wire::detail::maxShortLength);
    BOOST_TEST(!gateway::decodeHeartbeat(bytes).has_value());
    gateway::peer_heartbeat heartbeat;
    heartbeat.node = "vm-1";
    BOOST_TEST(!gateway::isStreamMessage(gateway::encodeHeartbeat(heartbeat)));
}

BOOST_AUTO_TEST_CASE(malformed_messages_are_not_read)
{
    const std::string bytes = gateway::encodeStreamMessage(largestMessage());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!gateway::decodeStreamMessage(bytes.substr(0, size)).has_value());
    std::string unknownKind = bytes;
    unknownKind[2] = 9;
    BOOST_TEST(!gateway::decodeStreamMessage(unknownKind).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

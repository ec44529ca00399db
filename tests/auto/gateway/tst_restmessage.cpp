#include "gateway/peers/crashmessages.h"
#include "gateway/peers/datagramcodec.h"
#include "gateway/peers/peermessages.h"
#include "gateway/peers/restmessage.h"
#include "gateway/peers/streammessages.h"

#include <boost/test/unit_test.hpp>

using gateway::rest_message;
using gateway::detail::decodeMarked;
using gateway::detail::encodeMessage;

BOOST_AUTO_TEST_SUITE(rest_messages)

BOOST_AUTO_TEST_CASE(updates_survive_the_way)
{
    const std::string bytes = encodeMessage(rest_message { { "engine-1", 1'700'000'000'123, 3000 } });
    const auto decoded = decodeMarked<rest_message>(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded->update.server == "engine-1");
    BOOST_TEST(decoded->update.startedAtMs == 1'700'000'000'123u);
    BOOST_TEST(decoded->update.leftMs == 3000u);
}

// Guards against a build that does not know these datagrams and takes one for another message.
BOOST_AUTO_TEST_CASE(the_longest_datagram_is_no_other_message)
{
    const std::string longest(rest_message::maxServerLength, 'x');
    const std::string bytes = encodeMessage(rest_message { { longest, 1, 2 } });
    BOOST_TEST(bytes.size() < std::size_t(rest_message::firstByte));
    BOOST_TEST(!gateway::decodeHeartbeat(bytes).has_value());
    BOOST_TEST(!gateway::isStreamMessage(bytes));
    BOOST_TEST(!gateway::isCrashMessage(bytes));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_dropped)
{
    const std::string bytes = encodeMessage(rest_message { { "engine-1", 1, 2 } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!decodeMarked<rest_message>(bytes.substr(0, length)).has_value());
    BOOST_TEST(!decodeMarked<rest_message>(gateway::encodeHeartbeat({})).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/load/crowdmessage.h"
#include "gateway/load/loadmessage.h"
#include "gateway/load/workmessage.h"
#include "gateway/peers/crashmessages.h"
#include "gateway/peers/datagramcodec.h"
#include "gateway/peers/peermessages.h"
#include "gateway/peers/restmessage.h"
#include "gateway/peers/streammessages.h"

#include <boost/test/unit_test.hpp>

using gateway::crowd_message;
using gateway::crowd_message_kind;
using gateway::load_message;
using gateway::detail::decodeMarked;
using gateway::detail::encodeMessage;

namespace {

crowd_message question()
{
    return { crowd_message_kind::Question, 7, "127.0.0.1:65535", 0x0123456789abcdef, 2.5F, 0 };
}

} // namespace

BOOST_AUTO_TEST_SUITE(crowd_messages)

BOOST_AUTO_TEST_CASE(questions_and_answers_survive_the_way)
{
    const auto asked = decodeMarked<crowd_message>(encodeMessage(question()));
    BOOST_REQUIRE(asked.has_value());
    BOOST_TEST((asked->kind == crowd_message_kind::Question));
    BOOST_TEST(asked->question == 7u);
    BOOST_TEST(asked->sender == "127.0.0.1:65535");
    BOOST_TEST(asked->part == 0x0123456789abcdefu);
    BOOST_TEST(asked->share == 2.5F);
    const auto answered = decodeMarked<crowd_message>(
        encodeMessage(crowd_message { crowd_message_kind::Answer, 7, {}, 0, 0, 12 }));
    BOOST_REQUIRE(answered.has_value());
    BOOST_TEST((answered->kind == crowd_message_kind::Answer));
    BOOST_TEST(answered->question == 7u);
    BOOST_TEST(answered->place == 12u);
}

// Guards against a build that does not know these datagrams and takes one for another message.
BOOST_AUTO_TEST_CASE(the_longest_datagram_is_no_other_message)
{
    crowd_message longest = question();
    longest.sender = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535";
    const std::string bytes = encodeMessage(longest);
    BOOST_TEST(bytes.size() < std::size_t(crowd_message::firstByte));
    BOOST_TEST(!gateway::decodeHeartbeat(bytes).has_value());
    BOOST_TEST(!gateway::isStreamMessage(bytes));
    BOOST_TEST(!gateway::isCrashMessage(bytes));
    BOOST_TEST(!decodeMarked<gateway::rest_message>(bytes).has_value());
    BOOST_TEST(!decodeMarked<gateway::work_message>(bytes).has_value());
}

BOOST_AUTO_TEST_CASE(loads_survive_the_way)
{
    const std::string longest(load_message::maxServerLength, 'x');
    const std::string bytes = encodeMessage(load_message { longest, 0xffffffff });
    BOOST_TEST(bytes.size() < std::size_t(load_message::firstByte));
    const auto told = decodeMarked<load_message>(bytes);
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST(told->server == longest);
    BOOST_TEST(told->requests == 0xffffffffu);
    BOOST_TEST(!decodeMarked<crowd_message>(bytes).has_value());
    BOOST_TEST(!gateway::decodeHeartbeat(bytes).has_value());
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!decodeMarked<load_message>(bytes.substr(0, length)).has_value());
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_dropped)
{
    const std::string bytes = encodeMessage(question());
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!decodeMarked<crowd_message>(bytes.substr(0, length)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

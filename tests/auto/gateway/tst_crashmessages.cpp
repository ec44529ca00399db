#include "gateway/peers/crashmessages.h"
#include "gateway/peers/peermessages.h"
#include "gateway/peers/streammessages.h"

#include <boost/test/unit_test.hpp>

using gateway::crash_message;

BOOST_AUTO_TEST_SUITE(crash_messages)

BOOST_AUTO_TEST_CASE(strikes_survive_the_way)
{
    crash_message message;
    message.strikes.push_back({ 0x123456789abcdef0, 7, 8, 3, 99, true, 1500 });
    const auto decoded = gateway::decodeCrashMessage(gateway::encodeCrashMessage(message));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded->strikes.size() == 1u);
    const decisions::part_strike& strike = decoded->strikes.front();
    BOOST_TEST(strike.part == 0x123456789abcdef0);
    BOOST_TEST(strike.crash == 7u);
    BOOST_TEST(strike.service == 8u);
    BOOST_TEST(unsigned(strike.level) == 3u);
    BOOST_TEST(strike.companion == 99u);
    BOOST_TEST(strike.isCleared);
    BOOST_TEST(strike.ageMs == 1500u);
}

// Guards against a build that does not know these datagrams and takes one for a heartbeat.
BOOST_AUTO_TEST_CASE(a_full_datagram_is_neither_a_heartbeat_nor_about_streams)
{
    crash_message message;
    message.strikes.resize(crash_message::maxStrikes);
    const std::string bytes = gateway::encodeCrashMessage(message);
    BOOST_TEST(bytes.size() < std::size_t(crash_message::firstByte));
    BOOST_TEST(!gateway::decodeHeartbeat(bytes).has_value());
    BOOST_TEST(!gateway::isStreamMessage(bytes));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_dropped)
{
    crash_message message;
    message.strikes.resize(2);
    const std::string bytes = gateway::encodeCrashMessage(message);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!gateway::decodeCrashMessage(bytes.substr(0, length)).has_value());
    BOOST_TEST(!gateway::decodeCrashMessage(gateway::encodeHeartbeat({})).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

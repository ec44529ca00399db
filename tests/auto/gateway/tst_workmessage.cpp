#include "gateway/load/workmessage.h"
#include "gateway/peers/crashmessages.h"
#include "gateway/peers/datagramcodec.h"
#include "gateway/peers/peermessages.h"
#include "gateway/peers/restmessage.h"
#include "gateway/peers/streammessages.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using gateway::work_message;
using gateway::detail::decodeMarked;

namespace {

decisions::offered_work_update fullUpdate()
{
    decisions::offered_work_update update;
    update.byUrgency.fill(1.5);
    for (std::uint32_t i = 0; i < decisions::offered_work::maxHeaviest; ++i)
        update.heaviest.push_back({ 0xfffffff0U + i, 20.0 - i });
    update.otherWorkspaces = 400;
    return update;
}

} // namespace

BOOST_AUTO_TEST_SUITE(work_messages)

BOOST_AUTO_TEST_CASE(updates_survive_the_way)
{
    const decisions::offered_work_update sent = fullUpdate();
    const auto message = decodeMarked<work_message>(gateway::encodeWork("vm-1", "engines", sent));
    BOOST_REQUIRE(message.has_value());
    BOOST_TEST(message->node == "vm-1");
    BOOST_TEST(message->service == "engines");
    const decisions::offered_work_update received = updateOf(*message);
    BOOST_TEST(received.byUrgency == sent.byUrgency, boost::test_tools::per_element());
    BOOST_REQUIRE(!received.heaviest.empty());
    BOOST_TEST(received.heaviest.front().workspace == sent.heaviest.front().workspace);
    BOOST_TEST(received.heaviest.front().work == sent.heaviest.front().work);
    BOOST_TEST(
        received.otherWorkspaces + received.heaviest.size() == sent.otherWorkspaces + sent.heaviest.size());
}

// Guards against a build that does not know these datagrams and takes one for another message.
BOOST_AUTO_TEST_CASE(the_longest_datagram_is_no_other_message)
{
    const std::string name(60, 'x');
    const std::string bytes = gateway::encodeWork(name, name, fullUpdate());
    BOOST_TEST(!bytes.empty());
    BOOST_TEST(bytes.size() < std::size_t(work_message::firstByte));
    BOOST_TEST(!gateway::decodeHeartbeat(bytes).has_value());
    BOOST_TEST(!gateway::isStreamMessage(bytes));
    BOOST_TEST(!gateway::isCrashMessage(bytes));
    BOOST_TEST(!decodeMarked<gateway::rest_message>(bytes).has_value());
}

// Guards against a peer's figures that are no numbers, and poison the sums of all.
BOOST_AUTO_TEST_CASE(work_that_is_no_sensible_figure_counts_as_none)
{
    work_message message;
    message.byUrgency = { { 0, std::numeric_limits<float>::quiet_NaN() }, { 200, 2 }, { 1, -3 } };
    message.heaviest = { { 1, std::numeric_limits<float>::infinity() } };
    const decisions::offered_work_update update = updateOf(message);
    BOOST_TEST(update.byUrgency[0] == 0.0);
    BOOST_TEST(update.byUrgency[1] == 0.0);
    BOOST_TEST(update.byUrgency.back() == 2.0);
    BOOST_TEST(update.heaviest.front().work == 0.0);
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_dropped)
{
    const std::string bytes = gateway::encodeWork("vm-1", "engines", fullUpdate());
    for (std::size_t length = 0; length < bytes.size(); ++length)
        BOOST_TEST(!decodeMarked<work_message>(bytes.substr(0, length)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/requests/eventscanner.h"

#include <boost/test/unit_test.hpp>

#include <string>

using gateway::event_scanner;
using gateway::stream_fault;

BOOST_TEST_DONT_PRINT_LOG_VALUE(gateway::stream_fault)

namespace {

std::string eventText(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(events)

BOOST_AUTO_TEST_CASE(events_are_forwarded_whole_however_their_bytes_arrive)
{
    const std::string bytes = eventText(1) + eventText(2) + eventText(3);
    event_scanner scanner;
    std::string passed;
    for (const char byte : bytes)
        passed += scanner.take(std::string(1, byte));
    BOOST_TEST(passed == bytes);
    BOOST_TEST(scanner.isAtBoundary());
    BOOST_TEST(scanner.lastId().value() == 3u);
    BOOST_TEST(scanner.count() == 3u);
}

// An engine fails in the middle of event 3. The next engine resumes after event 2 and, since its copy is
// older, sends event 2 once more. The caller gets each event once.
BOOST_AUTO_TEST_CASE(a_resumed_stream_has_each_event_once)
{
    event_scanner scanner;
    std::string passed = scanner.take(eventText(1) + eventText(2) + "id: 3\nda");
    BOOST_TEST(!scanner.isAtBoundary());
    scanner.restart();
    passed += scanner.take(eventText(2) + eventText(3));
    BOOST_TEST(passed == eventText(1) + eventText(2) + eventText(3));
    BOOST_TEST(scanner.isAtBoundary());
}

// The second engine resumes too late, so event 3 is missing. The stream must not continue with a gap.
BOOST_AUTO_TEST_CASE(a_gap_ends_the_stream)
{
    event_scanner scanner;
    BOOST_TEST(scanner.take(eventText(1) + eventText(2) + eventText(4)) == eventText(1) + eventText(2));
    BOOST_TEST(scanner.fault() == stream_fault::Gap);
    BOOST_TEST(scanner.take(eventText(5)).empty());
}

// The caller itself resumes a stream after event 7.
BOOST_AUTO_TEST_CASE(a_resuming_caller_gets_the_following_events)
{
    event_scanner scanner(7);
    BOOST_TEST(scanner.take(eventText(8)) == eventText(8));
    BOOST_TEST(scanner.lastId().value() == 8u);
    event_scanner late(7);
    BOOST_TEST(late.take(eventText(9)).empty());
    BOOST_TEST(late.fault() == stream_fault::Gap);
}

// A server sends an event that never ends. Buffered until its end, it would use up the memory of the node.
BOOST_AUTO_TEST_CASE(an_event_that_is_too_long_is_a_fault)
{
    event_scanner scanner;
    const std::string piece(65536, 'x');
    std::size_t taken = 0;
    while (scanner.fault() == stream_fault::None && taken < 2 * event_scanner::maxEventBytes) {
        BOOST_TEST(scanner.take(piece).empty());
        taken += piece.size();
    }
    BOOST_TEST((scanner.fault() == stream_fault::TooLong));
    BOOST_TEST(taken <= event_scanner::maxEventBytes + piece.size());
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/peers/forwardhop.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <limits>
#include <string>

using gateway::decodeHop;
using gateway::encodeHop;
using gateway::forward_hop;

BOOST_AUTO_TEST_SUITE(forwardhop)

BOOST_AUTO_TEST_CASE(hops_round_trip)
{
    constexpr std::uint64_t largest = std::numeric_limits<std::uint64_t>::max();
    for (const forward_hop& hop : { forward_hop { 0x1f2e, 40, 0, 0 }, forward_hop { 0x1f2e, 40, 0, 2 },
             forward_hop { largest, largest, 3, 3 }, forward_hop { 0x1f2e, 40, 1, 1, 0x2a },
             forward_hop { 0x1f2e, 40, 0, 2, largest }, forward_hop { 0x1f2e, 40, 1, 1, {}, true },
             forward_hop { 0x1f2e, 40, 1, 2, 0x2a, true } }) {
        const auto read = decodeHop(encodeHop(hop));
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->receiver == hop.receiver);
        BOOST_TEST(read->configurationVersion == hop.configurationVersion);
        BOOST_TEST(read->earlierRuns == hop.earlierRuns);
        BOOST_TEST(read->earlierSent == hop.earlierSent);
        BOOST_TEST((read->streamVersion == hop.streamVersion));
        BOOST_TEST(read->isRetryPaid == hop.isRetryPaid);
    }
}

// Guards against a node of the build before that goes on with a stream at a server of any version.
BOOST_AUTO_TEST_CASE(hops_with_a_version_have_a_form_that_older_builds_reject)
{
    // These read four numbers at most.
    BOOST_TEST(encodeHop({ 0x1f2e, 40, 1, 1, 0x2a }) == "1f2e-28-1-1-2a");
}

// Guards against a release in which nodes of the build before do not read what the new ones say.
BOOST_AUTO_TEST_CASE(hops_without_rejected_attempts_have_the_older_form)
{
    BOOST_TEST(encodeHop({ 0x1f2e, 40, 1, 1 }) == "1f2e-28-1");
    const auto read = decodeHop("1f2e-28-1");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->earlierSent == 1u);
}

BOOST_AUTO_TEST_CASE(malformed_hops_are_not_read)
{
    for (const std::string text : { "", "-", "1", "1-2", "1-2-", "1-2-x", "1-2-3-", "1-2-3-2", "1-2-3-4-5-6",
             "1-2-3-4-", "1-2-3-4-x", "-p", "1-2-p", "1-2-3-p-p", "1-2-3-pp", "-1-2", "1--2", "1 -2-3",
             "0x1-2-3", "11111111111111111-2-3" })
        BOOST_TEST(!decodeHop(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(processes_round_trip)
{
    for (const std::string id : { "i-7f3a91c2", "a-b-c", "-" }) {
        const auto read
            = gateway::decodeProcess(gateway::encodeProcess({ utils::server_id(id), 1'700'000'000'123 }));
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->id.str() == id);
        BOOST_TEST(read->startedAtMs == 1'700'000'000'123u);
    }
    for (const std::string text : { "", "12", "12-", "-a", "zz-a" })
        BOOST_TEST(!gateway::decodeProcess(text).has_value(), text);
}

BOOST_AUTO_TEST_SUITE_END()

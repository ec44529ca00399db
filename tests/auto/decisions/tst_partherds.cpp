#include "herdhistory.h"

namespace {

/// Plays herds with two seeds, and checks the rule on the load of engines in each of them.
void checkHerds(const herd_shape& shape)
{
    for (const std::uint64_t seed : { 20261206, 20261207 }) {
        for (const herd_outcome& outcome : herd_history(shape, seed).run()) {
            BOOST_TEST_MESSAGE(shape.nodes << " nodes, " << shape.herd << " within " << shape.herdSeconds
                                           << " s: above the limit " << outcome.aboveLimit << " of "
                                           << outcome.sent << ", most at one engine " << outcome.most
                                           << ", engines that read the part " << outcome.enginesOfPart);
            BOOST_TEST(outcome.isWithinRule());
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(part_herds)

// Guards against nodes of a small fleet that each fill the whole headroom of the engine where all of them
// look for a part: requests with a part that no node has seen reach all nodes at once.
BOOST_AUTO_TEST_CASE(a_herd_at_a_small_fleet_keeps_the_load_limit)
{
    for (const double seconds : { 0.03, 0.3, 1.0, 3.0 })
        checkHerds({ .nodes = 7, .herdSeconds = seconds });
}

// The same where heartbeats reach some nodes only, so that most nodes never hear of each other's requests.
BOOST_AUTO_TEST_CASE(a_herd_at_a_fleet_of_dozens_keeps_the_load_limit)
{
    for (const unsigned nodes : { 21U, 61U }) {
        for (const double seconds : { 0.03, 0.3, 1.0, 3.0 })
            checkHerds({ .nodes = nodes, .herdSeconds = seconds });
        checkHerds({ .nodes = nodes, .herd = 60 });
    }
}

// The same where the first request of each node is enough to fill the engine.
BOOST_AUTO_TEST_CASE(a_herd_at_a_fleet_of_hundreds_keeps_the_load_limit)
{
    for (const double seconds : { 0.3, 1.0, 3.0 })
        checkHerds({ .nodes = 300, .engines = 240, .herd = 600, .herdSeconds = seconds, .herds = 1 });
}

// The same where the herd makes up a third of all requests for some seconds, so that what else the engines
// get by chance comes on top of it.
BOOST_AUTO_TEST_CASE(a_lasting_herd_leaves_room_at_its_engines)
{
    for (const double seconds : { 1.5, 3.0 })
        checkHerds({ .nodes = 300,
            .engines = 240,
            .requestsPerEngine = 4.5,
            .herd = 2000,
            .herdSeconds = seconds,
            .herds = 1 });
}

// The same for a part that all nodes know to be held by an engine.
BOOST_AUTO_TEST_CASE(a_herd_with_a_part_that_is_held_keeps_the_load_limit)
{
    for (const unsigned nodes : { 7U, 21U, 61U })
        checkHerds({ .nodes = nodes, .isPartKnown = true });
}

// The same where nothing else is in progress, so that the mean is near zero when the herd begins.
BOOST_AUTO_TEST_CASE(a_herd_at_an_idle_fleet_keeps_the_load_limit)
{
    for (const unsigned nodes : { 7U, 61U })
        checkHerds({ .nodes = nodes, .requestsPerEngine = 0.02 });
}

// The same where engines tell nothing of their load, and one datagram in ten is lost.
BOOST_AUTO_TEST_CASE(a_herd_is_seen_without_reports_and_with_lost_datagrams)
{
    for (const unsigned nodes : { 7U, 61U })
        checkHerds({ .nodes = nodes, .herdSeconds = 0.3, .hasReports = false, .lostDatagrams = 0.1 });
}

BOOST_AUTO_TEST_SUITE_END()

#include "decisions/serverrests.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using decisions::rest_state;
using decisions::server_process;
using decisions::server_rests;
using utils::server_id;

namespace {

const server_process engine { server_id("engine"), 1000 };
const server_process nextEngine { server_id("engine"), 2000 };

utils::time_point at(utils::duration time)
{
    return utils::time_point(1h + time);
}

/// Nodes that hear each other at once.
struct told_nodes {
    explicit told_nodes(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.emplace_back(i + 1);
            nodes.back().setNodes(count);
        }
    }
    void tell(std::size_t from, utils::time_point now)
    {
        for (const decisions::rest_update& update : nodes[from].takeUpdates()) {
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (i != from)
                    nodes[i].told(update, now);
            }
        }
    }
    std::size_t avoiding(utils::time_point now)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(nodes, [&](server_rests& node) { return node.isAvoided(engine, now); }));
    }

    std::vector<server_rests> nodes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_rests_of_a_node)

BOOST_AUTO_TEST_CASE(server_rests_for_as_long_as_it_asks)
{
    server_rests rests(1);
    BOOST_TEST((rests.stateOf(engine, at(0s)) == rest_state::None));
    rests.asked(engine, 2500ms, at(0s));
    BOOST_TEST((rests.stateOf(engine, at(2499ms)) == rest_state::Asked));
    BOOST_TEST((rests.askedUntil(engine, at(1s)) == at(2500ms)));
    BOOST_TEST(rests.askedCount(at(1s)) == 1u);
    BOOST_TEST((rests.stateOf(engine, at(2500ms)) == rest_state::Recovering));
    BOOST_TEST(!rests.askedUntil(engine, at(2500ms)).has_value());
}

// Guards against a wish that ends an earlier, longer one.
BOOST_AUTO_TEST_CASE(shorter_rest_does_not_end_a_longer_one)
{
    server_rests rests(1);
    rests.asked(engine, 5s, at(0s));
    rests.asked(engine, 1s, at(1s));
    BOOST_TEST((rests.askedUntil(engine, at(1s)) == at(5s)));
    rests.asked(engine, 5s, at(2s));
    BOOST_TEST((rests.askedUntil(engine, at(2s)) == at(7s)));
    rests.asked(engine, 0s, at(3s));
    BOOST_TEST((rests.askedUntil(engine, at(3s)) == at(7s)));
}

// Guards against a server that stays out of use for hours because the process before it wanted that.
BOOST_AUTO_TEST_CASE(restarted_server_owes_nothing)
{
    server_rests rests(1);
    rests.asked(engine, 24h, at(0s));
    BOOST_TEST((rests.stateOf(engine, at(23h)) == rest_state::Asked));
    BOOST_TEST((rests.stateOf(nextEngine, at(23h)) == rest_state::None));
}

// Guards against a server that restarts and asks for rest before its new entry is known, and then gets none.
BOOST_AUTO_TEST_CASE(wish_right_before_a_restart_is_known_counts_for_the_new_process)
{
    server_rests rests(1);
    rests.asked(engine, 5s, at(0s));
    BOOST_TEST((rests.stateOf(nextEngine, at(1s)) == rest_state::Asked));
    BOOST_TEST((rests.stateOf(nextEngine, at(4s)) == rest_state::Asked));
}

// Guards against a late answer of the process before that ends the rest of the present one.
BOOST_AUTO_TEST_CASE(late_answers_of_the_process_before_change_nothing)
{
    server_rests rests(1);
    rests.asked(nextEngine, 5s, at(0s));
    rests.asked(engine, 1s, at(1s));
    rests.taken(engine, at(0s), at(1s));
    BOOST_TEST((rests.stateOf(engine, at(3s)) == rest_state::None));
    BOOST_TEST((rests.askedUntil(nextEngine, at(3s)) == at(5s)));
}

BOOST_AUTO_TEST_CASE(a_rest_of_years_is_bounded)
{
    server_rests rests(1);
    rests.asked(engine, std::chrono::hours(24 * 365 * 200), at(0s));
    BOOST_TEST((rests.askedUntil(engine, at(0s)) == at(server_rests::maxRest)));
}

// Guards against all requests of a node that return at once to a server that was full.
BOOST_AUTO_TEST_CASE(after_a_rest_one_request_at_a_time_finds_out)
{
    server_rests rests(1);
    rests.asked(engine, 2s, at(0s));
    BOOST_TEST(!rests.isAvoided(engine, at(2s)));
    rests.sent(engine, at(2s));
    BOOST_TEST(rests.isAvoided(engine, at(2100ms)));
    rests.taken(engine, at(2s), at(2200ms));
    BOOST_TEST(!rests.isAvoided(engine, at(2200ms)));
    BOOST_TEST((rests.stateOf(engine, at(2200ms)) == rest_state::None));
    // One that is not answered holds up the next one for a moment only.
    rests.asked(engine, 2s, at(3s));
    rests.sent(engine, at(5s));
    BOOST_TEST(rests.isAvoided(engine, at(5900ms)));
    BOOST_TEST(!rests.isAvoided(engine, at(6s)));
}

// Guards against an answer to a request from before the wish that ends the rest.
BOOST_AUTO_TEST_CASE(answer_to_an_earlier_request_ends_no_rest)
{
    server_rests rests(1);
    rests.asked(engine, 2s, at(1s));
    rests.taken(engine, at(0s), at(1500ms));
    BOOST_TEST((rests.stateOf(engine, at(1500ms)) == rest_state::Asked));
    BOOST_TEST((rests.stateOf(engine, at(3s)) == rest_state::Recovering));
}

// Guards against nodes that are turned away one after the other by a server that a peer knows to be full.
BOOST_AUTO_TEST_CASE(peers_prefer_other_servers_but_for_one_now_and_then)
{
    told_nodes fleet(61);
    fleet.nodes[0].asked(engine, 3s, at(0s));
    fleet.tell(0, at(0s));
    unsigned trying = 0;
    for (unsigned window = 0; window < 3; ++window) {
        const std::size_t avoiding = fleet.avoiding(at(window * 1s));
        BOOST_TEST(avoiding >= 55u);
        trying += static_cast<unsigned>(61 - avoiding);
    }
    BOOST_TEST(trying >= 1u);
    BOOST_TEST((fleet.nodes[5].stateOf(engine, at(1s)) == rest_state::Told));
    BOOST_TEST(!fleet.nodes[5].askedUntil(engine, at(1s)).has_value());
}

// Guards against a server that all nodes avoid although it has turned away one of them alone.
BOOST_AUTO_TEST_CASE(peers_return_once_a_request_is_taken)
{
    told_nodes fleet(61);
    fleet.nodes[0].asked(engine, 3s, at(0s));
    fleet.tell(0, at(0s));
    fleet.nodes[7].sent(engine, at(500ms));
    fleet.nodes[7].taken(engine, at(500ms), at(600ms));
    fleet.tell(7, at(600ms));
    BOOST_TEST(fleet.avoiding(at(700ms)) == 1u);
    BOOST_TEST((fleet.nodes[0].stateOf(engine, at(700ms)) == rest_state::Asked));
}

// Guards against nodes that all return in the moment in which a rest that they were told of ends.
BOOST_AUTO_TEST_CASE(peers_return_one_after_the_other)
{
    told_nodes fleet(300);
    fleet.nodes[0].asked(engine, 4s, at(0s));
    fleet.tell(0, at(0s));
    const std::size_t atEnd = fleet.avoiding(at(4050ms));
    const std::size_t later = fleet.avoiding(at(4500ms));
    BOOST_TEST(atEnd > 250u);
    BOOST_TEST(later < 200u);
    BOOST_TEST(later > 100u);
    BOOST_TEST(fleet.avoiding(at(5s)) == 0u);
}

// Guards against a message for each rejection while a server turns everybody away.
BOOST_AUTO_TEST_CASE(known_rests_are_not_told_again)
{
    told_nodes fleet(7);
    fleet.nodes[0].asked(engine, 3s, at(0s));
    fleet.tell(0, at(0s));
    fleet.nodes[1].asked(engine, 3s, at(200ms));
    BOOST_TEST(fleet.nodes[1].takeUpdates().empty());
    fleet.nodes[2].asked(engine, 3s, at(2s));
    BOOST_TEST(fleet.nodes[2].takeUpdates().size() == 1u);
}

BOOST_AUTO_TEST_CASE(what_is_over_is_dropped)
{
    server_rests rests(1);
    rests.asked(engine, 2s, at(0s));
    rests.expire(at(1s));
    BOOST_TEST((rests.stateOf(engine, at(1s)) == rest_state::Asked));
    rests.expire(at(2s + server_rests::recoveryLifetime + 1s));
    BOOST_TEST((rests.stateOf(engine, at(2s)) == rest_state::None));
}

BOOST_AUTO_TEST_SUITE_END()

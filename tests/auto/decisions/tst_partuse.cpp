#include "decisions/partuse.h"
#include "decisions/serverchoice.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

using namespace std::chrono_literals;
using decisions::part_use;
using decisions::prompt_part;
using utils::server_id;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

constexpr std::uint64_t document = 7;

/// A node before 60 engines that are loaded alike, and the requests that it sends about a document.
class busy_node {
public:
    /// `peers` are live; every second one was heard lately.
    explicit busy_node(int peers)
    {
        for (int i = 0; i < 60; ++i)
            m_engines.push_back({ server_id("engine-" + std::to_string(i)), "a", 64, 1, 500000, 1 });
        std::map<server_id, decisions::load_share> shares;
        for (const auto& engine : m_engines)
            shares[engine.id].requests = 1;
        for (int peer = 0; peer < peers; ++peer) {
            m_loads.updatePeer(utils::node_id(std::to_string(peer)), shares, at(peer % 2 == 0 ? 0s : 5s));
        }
    }
    /// Sends requests about the document, at most `inProgress` of them at once. Returns the engines used.
    std::set<server_id> send(int requests, std::size_t inProgress)
    {
        std::set<server_id> used;
        for (int i = 0; i < requests; ++i) {
            const utils::time_point now = at(5s + i * 10ms);
            while (m_running.size() >= inProgress)
                finishFirst();
            const std::vector<prompt_part> parts { { document, 10000 }, { 1000 + m_sent, 600 } };
            const auto placed = m_choice.choose(m_engines, { parts, 10600, "a", m_sent++ }, m_loads, now);
            BOOST_REQUIRE(placed.has_value());
            used.insert(placed->server);
            const auto engine
                = std::ranges::find(m_engines, placed->server, &decisions::server_candidate::id);
            m_choice.recordStarted(parts, now);
            m_choice.recordSent(*engine, parts);
            m_loads.started(placed->server, 0);
            m_running.push_back({ placed->server, parts });
        }
        return used;
    }

private:
    struct running_request {
        server_id server;
        std::vector<prompt_part> parts;
    };

    void finishFirst()
    {
        m_choice.recordEnded(m_running.front().parts);
        m_loads.finished(m_running.front().server);
        m_running.erase(m_running.begin());
    }

    std::vector<decisions::server_candidate> m_engines;
    decisions::server_loads m_loads;
    decisions::server_choice m_choice;
    std::vector<running_request> m_running;
    std::uint64_t m_sent = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(parts_in_use)

// Guards against a hot part that all nodes of a large fleet send to the few engines that hold it, since none
// has heard yet of what the others send.
BOOST_AUTO_TEST_CASE(a_hot_part_is_spread_before_the_loads_of_others_are_heard)
{
    busy_node node(40);
    BOOST_TEST(node.send(30, 3).size() > 10U);
}

// Guards against a session in a large fleet whose every request goes to another engine and is read again.
BOOST_AUTO_TEST_CASE(requests_one_after_the_other_stay_on_their_engine)
{
    busy_node node(40);
    BOOST_TEST(node.send(30, 1).size() == 1U);
}

// Guards against parts that a small fleet, whose nodes hear of each other at once, has read in vain.
BOOST_AUTO_TEST_CASE(a_small_fleet_keeps_a_part_in_use_on_its_engine)
{
    busy_node node(8);
    BOOST_TEST(node.send(30, 3).size() == 1U);
}

// Guards against a part that is taken for hot long after it was, or because a node has sent little else.
BOOST_AUTO_TEST_CASE(a_share_counts_recent_requests_that_overlap)
{
    part_use use;
    BOOST_TEST(use.shareWithNext(1, at(0s)) == 0);
    use.started(1, at(0s));
    BOOST_TEST(use.shareWithNext(1, at(0s)) == 2.0 / part_use::minRequests);
    BOOST_TEST(use.shareWithNext(2, at(0s)) == 0);
    use.ended(1);
    BOOST_TEST(use.shareWithNext(1, at(0s)) == 0);
    use.started(1, at(0s));
    use.started(1, at(0s));
    use.ended(1);
    use.ended(1);
    BOOST_TEST(use.shareWithNext(1, at(1s)) > 0);
    BOOST_TEST(use.shareWithNext(1, at(part_use::lifetime + 1s)) == 0);
    for (std::size_t i = 0; i < part_use::maxRequests; ++i)
        use.started(100 + i, at(1s));
    BOOST_TEST(use.shareWithNext(1, at(1s)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

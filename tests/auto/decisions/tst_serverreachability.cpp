#include "decisions/serverreachability.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using decisions::server_reachability;
using utils::server_id;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

/// A service with that many servers, each of which accepts connections or not.
class connecting_node {
public:
    explicit connecting_node(std::size_t servers)
    {
        for (std::size_t i = 0; i < servers; ++i)
            m_servers.emplace_back("press-" + std::to_string(i));
    }

    void connect(std::size_t server, bool isAccepted, utils::time_point now)
    {
        const server_id& id = m_servers.at(server % m_servers.size());
        if (isAccepted)
            m_reachability.connected("press", id, m_servers.size(), now);
        else
            m_reachability.failed("press", id, m_servers.size(), now);
    }
    /// Probes for that long; `isAccepted` tells for a server whether it accepts connections.
    template <class Accepts>
    std::size_t probe(utils::time_point from, utils::duration length, const Accepts& isAccepted)
    {
        std::size_t probes = 0;
        for (utils::time_point now = from; now < from + length; now += 50ms) {
            for (const server_id& server : m_reachability.nextProbes("press", m_servers, now)) {
                ++probes;
                if (isAccepted(server))
                    m_reachability.connected("press", server, m_servers.size(), now);
                else
                    m_reachability.failed("press", server, m_servers.size(), now);
            }
        }
        return probes;
    }
    void suspect(std::size_t server) { m_reachability.suspected("press", m_servers.at(server)); }
    bool isCutOff() const { return m_reachability.isCutOff("press"); }

private:
    std::vector<server_id> m_servers;
    server_reachability m_reachability { 7 };
};

void loseAll(connecting_node& node)
{
    node.connect(1, false, at(-600ms));
    node.probe(at(-500ms), 100ms, [](const server_id&) { return false; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(serverreachability)

// Guards against taking the loss of this node's own path for the failure of one server after the other.
BOOST_AUTO_TEST_CASE(a_node_that_connects_to_no_server_is_cut_off)
{
    connecting_node node(9);
    node.connect(0, false, at(0s));
    BOOST_TEST(!node.isCutOff());
    node.connect(1, false, at(400ms));
    BOOST_TEST(!node.isCutOff());
    node.probe(at(800ms), 100ms, [](const server_id&) { return false; });
    BOOST_TEST(node.isCutOff());
}

// Guards against taking many servers that have crashed at once, and seem idle, for the loss of this node's
// own path.
BOOST_AUTO_TEST_CASE(a_tenth_of_the_servers_down_at_once_does_not_cut_the_node_off)
{
    connecting_node node(140);
    const auto isUp = [](const server_id& server) { return server.str().back() != '0'; };
    bool wasCutOff = false;
    for (std::size_t i = 0; i < 100; ++i) {
        const utils::time_point now = at(100ms * static_cast<int>(i));
        node.connect(10 * (i % 14), false, now);
        node.probe(now, 100ms, isUp);
        wasCutOff = wasCutOff || node.isCutOff();
    }
    BOOST_TEST(!wasCutOff);
}

// Guards against a node with few requests that finds out only by making each of them fail.
BOOST_AUTO_TEST_CASE(probes_find_out_without_further_requests)
{
    connecting_node lost(9);
    lost.connect(0, false, at(0s));
    lost.probe(at(0s), 1s, [](const server_id&) { return false; });
    BOOST_TEST(lost.isCutOff());
    connecting_node silent(9);
    silent.suspect(4);
    silent.probe(at(0s), 2s, [](const server_id&) { return false; });
    BOOST_TEST(silent.isCutOff());
    connecting_node sound(9);
    sound.connect(0, false, at(0s));
    const std::size_t probes
        = sound.probe(at(0s), 5s, [](const server_id& server) { return server != server_id("press-0"); });
    BOOST_TEST(!sound.isCutOff());
    BOOST_TEST(probes <= server_reachability::decisiveServers(9));
}

// Guards against taking a server that is down for the loss of this node's own path.
BOOST_AUTO_TEST_CASE(a_server_that_is_down_beside_others_does_not_cut_the_node_off)
{
    connecting_node node(3);
    for (int i = 0; i < 20; ++i) {
        node.connect(0, false, at(100ms * i));
        node.connect(1 + static_cast<std::size_t>(i % 2), true, at(100ms * i));
    }
    BOOST_TEST(!node.isCutOff());
}

BOOST_AUTO_TEST_CASE(failures_far_apart_do_not_add_up)
{
    connecting_node node(9);
    for (std::size_t i = 0; i < 9; ++i)
        node.connect(i, false, at(4s * static_cast<int>(i)));
    BOOST_TEST(!node.isCutOff());
}

BOOST_AUTO_TEST_CASE(one_server_decides_for_a_service_that_has_no_other)
{
    connecting_node node(1);
    node.connect(0, false, at(0s));
    BOOST_TEST(node.isCutOff());
    node.probe(at(1s), 1s, [](const server_id&) { return true; });
    BOOST_TEST(!node.isCutOff());
}

// Guards against all requests of a node going to the one server that it still reaches.
BOOST_AUTO_TEST_CASE(a_node_that_reaches_one_server_of_nine_stays_cut_off)
{
    connecting_node node(9);
    loseAll(node);
    node.probe(at(1s), 20s, [](const server_id& server) { return server == server_id("press-0"); });
    BOOST_TEST(node.isCutOff());
}

BOOST_AUTO_TEST_CASE(the_path_is_used_again_within_a_second_of_its_return)
{
    connecting_node node(9);
    loseAll(node);
    const std::size_t probes = node.probe(at(0s), 10s, [](const server_id&) { return false; });
    BOOST_TEST(node.isCutOff());
    BOOST_TEST(
        probes <= server_reachability::decisiveServers(9) * (10s / server_reachability::probeInterval));
    node.probe(at(10s), 1s, [](const server_id&) { return true; });
    BOOST_TEST(!node.isCutOff());
}

BOOST_AUTO_TEST_SUITE_END()

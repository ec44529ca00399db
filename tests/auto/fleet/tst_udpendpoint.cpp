#include "fleet/udpendpoint.h"

#include "utils/processclock.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using namespace std::chrono_literals;

/// Returns a loopback endpoint whose port was free when checked.
udp::endpoint freeEndpoint(asio::io_context& context)
{
    const udp::socket probe(context, udp::endpoint(asio::ip::address_v4::loopback(), 0));
    return probe.local_endpoint();
}

std::string textOf(const udp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

fleet::fleet_settings settingsOf(const std::string& name, const std::string& address, const std::string& key)
{
    fleet::fleet_settings settings;
    settings.id = utils::node_id(name);
    settings.address = address;
    settings.dataCentre = utils::data_centre_id("dc");
    settings.currentKey = key;
    settings.bootId = 1'800'000'000'000'000;
    return settings;
}

/// Two nodes on loopback sockets, each with its own key.
struct two_nodes {
    two_nodes(const std::string& firstKey, const std::string& secondKey)
        : chart(
            utils::state_chart::load(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/charts/node.yaml").value())
        , firstAddress(freeEndpoint(context))
        , secondAddress(freeEndpoint(context))
        , first(settingsOf("a", textOf(firstAddress), firstKey), chart, 1)
        , second(settingsOf("b", textOf(secondAddress), secondKey), chart, 2)
        , firstEndpoint(context.get_executor(), firstAddress, first, [](const fleet::fleet_action&) {})
        , secondEndpoint(context.get_executor(), secondAddress, second, [](const fleet::fleet_action&) {})
    {
        const utils::data_centre_id dataCentre("dc");
        const std::vector<fleet::listed_vm> list { { first.members().self().id, textOf(firstAddress),
                                                       dataCentre, false },
            { second.members().self().id, textOf(secondAddress), dataCentre, false } };
        for (fleet::udp_endpoint* endpoint : { &firstEndpoint, &secondEndpoint }) {
            endpoint->start();
            endpoint->with(
                [&](fleet::fleet_node& node, utils::time_point now) { node.setListed(list, now); });
        }
    }

    /// Runs until `condition` holds. Returns false if it does not hold within `limit`.
    template <class Condition> bool runUntil(Condition condition, std::chrono::seconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= end)
                return false;
            context.run_one_for(100ms);
        }
        return true;
    }

    asio::io_context context { 1 };
    utils::state_chart chart;
    udp::endpoint firstAddress;
    udp::endpoint secondAddress;
    fleet::fleet_node first;
    fleet::fleet_node second;
    fleet::udp_endpoint firstEndpoint;
    fleet::udp_endpoint secondEndpoint;
};

} // namespace

BOOST_AUTO_TEST_SUITE(udpendpoint)

BOOST_AUTO_TEST_CASE(two_nodes_find_each_other_over_sockets)
{
    two_nodes nodes("key", "key");
    const auto isMajority = [](const fleet::fleet_node& node) {
        return node.reason(utils::processNow()) == fleet::currency_reason::Majority;
    };
    BOOST_TEST(nodes.runUntil([&] { return isMajority(nodes.first) && isMajority(nodes.second); }, 30s));
    nodes.firstEndpoint.stop();
    nodes.secondEndpoint.stop();
}

BOOST_AUTO_TEST_CASE(a_node_with_a_different_key_is_ignored)
{
    // A VM was set up with a wrong key. Its datagrams are received, dropped and counted, and neither node
    // considers the other a member.
    two_nodes nodes("key", "another key");
    BOOST_TEST(
        nodes.runUntil([&] { return nodes.first.codec().dropped(wire::drop_reason::BadCode) >= 3; }, 30s));
    BOOST_TEST(nodes.first.members().members().liveCount() == 0U);
    BOOST_TEST(!nodes.first.isCurrent(utils::processNow()));
}

BOOST_AUTO_TEST_SUITE_END()

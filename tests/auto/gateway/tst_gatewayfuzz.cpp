#include "gatewayproperty.h"
#include "mutate.h"

#include <boost/test/unit_test.hpp>

namespace {

constexpr unsigned rounds = 4000;
const std::string marks("{}[]:,\"\r\n 0\xff\0", 13);

template <class Property> void checkDamaged(const std::string& sample, unsigned seed, Property holds)
{
    std::mt19937_64 random(seed);
    BOOST_TEST(holds(sample));
    for (unsigned i = 0; i < rounds; ++i) {
        const std::string text = mutate(sample, marks, random);
        if (!holds(text))
            BOOST_ERROR("round " << i << ": " << text);
    }
}

gateway::peer_heartbeat sampleBeat()
{
    gateway::peer_heartbeat beat;
    beat.node = "vm-1";
    beat.address = "127.0.0.1:7340";
    beat.sequence = 5;
    beat.shares.push_back({ "i-1", {} });
    beat.peerAddresses.push_back({ "127.0.0.2:7340" });
    return beat;
}

gateway::view_copy sampleView()
{
    gateway::view_copy view;
    view.configuration.push_back({ { "op/config", "{}", 7 } });
    view.servers.push_back({ { "servers/i-1", "{}", 8 } });
    view.removed.push_back({ "servers/i-2", 9 });
    view.serversAsOf = 9;
    return view;
}

} // namespace

// Input that is damaged in transit or crafted by a third party. A node that reads it must keep running, and
// must accept nothing that it would encode differently.
BOOST_AUTO_TEST_SUITE(gateway_fuzz)

BOOST_AUTO_TEST_CASE(damaged_messages_of_peers)
{
    checkDamaged(gateway::encodeHeartbeat(sampleBeat()), 1, holdsForPeerBytes);
    checkDamaged(gateway::encodeView(sampleView()), 2, holdsForPeerBytes);
}

BOOST_AUTO_TEST_CASE(damaged_items_of_the_store)
{
    checkDamaged(
        R"({"resourceVersion":7,"routes":[{"name":"r1","hostname":"a.example","pathPrefix":"/chat/",)"
        R"("kind":"streaming","timeoutMs":12000,"targetLatencyMs":1000,"priority":0,"backend":"e",)"
        R"("maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":500}],)"
        R"("services":[{"name":"e","healthPath":"/healthz","maxConns":360}],)"
        R"("limits":{"maxHeaderBytes":16384},"tenants":[{"name":"t1","apiKeys":["k1"]}]})",
        3, holdsForStoreBytes);
    checkDamaged(R"({"backend":"e","address":"10.1.0.4:80","zone":"a","slots":8,"state":"ready","born":17})",
        4, holdsForStoreBytes);
    checkDamaged(R"({"items":[{"key":"op/config","value":"e30=","revision":3,"createRev":3,"lease":0}],)"
                 R"("hasMore":false,"asOf":3,"events":[{"key":"servers/i","revision":4,"removed":true}]})",
        5, holdsForStoreBytes);
}

BOOST_AUTO_TEST_CASE(damaged_streams)
{
    checkDamaged("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", 6, holdsForEventBytes);
}

BOOST_AUTO_TEST_CASE(damaged_heads)
{
    checkDamaged(
        "POST /pay/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 5\r\nX: y\r\n\r\n", 7, holdsForHead);
}

BOOST_AUTO_TEST_SUITE_END()

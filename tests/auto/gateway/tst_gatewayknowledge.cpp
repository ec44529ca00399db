#include "gatewaytestbed.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <sstream>
#include <string>
#include <vector>

using platform_standin::store_mode;

// How configuration and backend servers reach the nodes, from the store and from peers.
BOOST_AUTO_TEST_SUITE(gateway_knowledge)

// A draining replica, and one whose entry was removed, get no new requests.
BOOST_FIXTURE_TEST_CASE(leaving_replicas_get_no_new_requests, ready_testbed)
{
    announce(press(0), "press", "draining");
    BOOST_TEST(waitUntil([&] {
        const std::size_t before = press(0).requestCount();
        for (int i = 0; i < 4; ++i)
            ask(node(0), question("GET", "/look/1"));
        return press(0).requestCount() == before;
    }));
    withdraw(press(1));
    BOOST_TEST(waitUntil([&] { return ask(node(0), question("GET", "/look/1")).status == 503; }));
}

// An engine that holds the shared part of a prompt drains, so the next request with that part goes to another
// engine, which would have to prefill it again. While the old engine is still there, the new one is told to
// copy the part from it.
BOOST_FIXTURE_TEST_CASE(a_prompt_is_copied_from_an_engine_that_drains, ready_testbed)
{
    auto question = this->question("POST", "/chat/1", "hi");
    question.headers["Lycheefront-Model"] = "m";
    question.headers["Lycheefront-Token-Usage"] = "9000,80";
    question.headers["Lycheefront-Prompt-Prefix"] = "a1:8000,b1:1000";
    BOOST_TEST(ask(node(0), question).status == 200);
    auto& holder = engine(0).requestCount() == 1 ? engine(0) : engine(1);
    auto& other = engine(0).requestCount() == 1 ? engine(1) : engine(0);
    BOOST_TEST(!holder.requests().front().headers.contains("kv-fetch"));
    announce(holder, "engines", "draining");
    question.headers["Lycheefront-Prompt-Prefix"] = "a1:8000,b2:1000";
    unsigned next = 0;
    BOOST_TEST(waitUntil([&] {
        question.headers["Lycheefront-Attempt-Id"] = "again-" + std::to_string(++next);
        ask(node(0), question);
        return other.requestCount() > 0;
    }));
    BOOST_TEST(other.requests().front().headers.at("kv-fetch") == holder.address());
    BOOST_TEST(waitUntil([&] {
        return node(0).process->log().find("\"copied_from\":\"" + holder.id()) != std::string::npos;
    }));
}

// An unreadable entry makes its replica unusable and leaves the others usable.
BOOST_FIXTURE_TEST_CASE(an_unreadable_entry_makes_its_replica_unusable, ready_testbed)
{
    store().put("servers/" + press(0).id(), "{\"backend\":7}");
    store().put("servers/stranger", "\xff\xfe");
    BOOST_TEST(waitUntil(
        [&] { return node(0).process->log().find("server_entry_unreadable") != std::string::npos; }));
    BOOST_TEST(waitUntil([&] {
        const std::size_t before = press(0).requestCount();
        const bool isServed = ask(node(0), question("GET", "/look/1")).status == 200;
        return isServed && press(0).requestCount() == before;
    }));
}

// Guards against entries of another writer that end the node, keep it from following the list, or are chosen
// for requests although nothing can be called there.
BOOST_FIXTURE_TEST_CASE(odd_entries_name_no_replica, ready_testbed)
{
    const auto entry = [](const std::string& address, const std::string& slots, const std::string& coldMs) {
        return R"({"backend":"press","address":")" + address
            + R"(","zone":"a","resourceVersion":"v1","state":"ready","slots":)" + slots
            + R"(,"coldRemainingMs":)" + coldMs + "}";
    };
    std::vector<std::string> entries { "{}", "[]", "null", std::string(100'000, '['),
        R"({"backend":)" + std::string(100'000, '[') };
    for (const std::string address : { "", ":80", "localhost:80", "127.0.0.1", "127.0.0.1: 80", "127.0.0.1:0",
             "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1", "0.0.0.0:80" })
        entries.push_back(entry(address, "8", "0"));
    entries.push_back(entry(std::string(100'000, '1'), "8", "0"));
    for (const std::string slots : { "1180591620717411303424", "4611686018427387904", "-1", "9e400" })
        entries.push_back(entry("127.0.0.1:1", slots, "0"));
    for (const std::string coldMs : { "4611686018427387904", "-9223372036854775808", "1e400", "1e300" })
        entries.push_back(entry("127.0.0.1:1", "8", coldMs));
    for (std::size_t i = 0; i < entries.size(); ++i)
        store().put("servers/odd-" + std::to_string(i), entries[i]);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const std::string line = "\"server\":\"odd-" + std::to_string(i) + "\"";
        BOOST_TEST(waitUntil([&] { return node(0).process->log().find(line) != std::string::npos; }), line);
    }
    for (int i = 0; i < 40; ++i)
        BOOST_TEST(ask(node(0), question("GET", "/look/" + std::to_string(i))).status == 200);
    std::istringstream log(node(0).process->log());
    for (std::string line; std::getline(log, line);) {
        const bool isOdd = line.find("\"odd-") != std::string::npos;
        const bool isUnused = line.find("server_entry_unreadable") != std::string::npos
            || line.find("\"state\":\"gone\"") != std::string::npos;
        BOOST_TEST((!isOdd || isUnused), line);
    }
    BOOST_TEST(node(0).process->isRunning());
    // The node still follows the list.
    withdraw(press(0));
    withdraw(press(1));
    BOOST_TEST(waitUntil([&] { return ask(node(0), question("GET", "/look/1")).status == 503; }));
}

// A configuration removes a key, which is refused from then on. Neither an older version nor an unreadable
// one brings it back.
BOOST_FIXTURE_TEST_CASE(a_configuration_never_goes_back, gateway_testbed)
{
    configure(5, true);
    startNode();
    awaitReady(node(0));
    auto question = this->question("GET", "/look/1");
    question.headers["Authorization"] = "Token key-2";
    BOOST_TEST(ask(node(0), question).status == 200);
    configure(7, false);
    BOOST_TEST(waitUntil([&] { return ask(node(0), question).status == 401; }));
    configure(6, true);
    store().put("op/config", "no configuration at all");
    configure(8, false);
    BOOST_TEST(
        waitUntil([&] { return node(0).process->log().find("\"version\":\"8\"") != std::string::npos; }));
    BOOST_TEST(node(0).process->log().find("\"version\":\"6\"") == std::string::npos);
    BOOST_TEST(ask(node(0), question).status == 401);
    BOOST_TEST(ask(node(0), this->question("GET", "/look/1")).status == 200);
}

// The store discards its history while the node's watch receives no changes. The next watch reports this, and
// the node reads everything again.
BOOST_FIXTURE_TEST_CASE(a_lost_history_causes_a_full_read, ready_testbed)
{
    store().setDeaf(node(0).storePort, true);
    announce(press(0), "press", "draining");
    withdraw(press(1));
    store().forgetHistory();
    store().setDeaf(node(0).storePort, false);
    BOOST_TEST(waitUntil([&] { return ask(node(0), question("GET", "/look/1")).status == 503; }));
}

// The store refuses one node and serves the other while a key is removed. The first node has to learn of it
// from its peer; otherwise it keeps serving a caller whose key was revoked.
BOOST_FIXTURE_TEST_CASE(a_node_refused_by_the_store_learns_from_its_peer, gateway_testbed)
{
    configure(1, true);
    startNode();
    startNode();
    awaitReady(node(0));
    awaitReady(node(1));
    store().setMode(node(0).storePort, store_mode::Refuse);
    BOOST_TEST(waitUntil([&] { return node(0).process->log().find("store_lost") != std::string::npos; }));
    configure(2, false);
    auto question = this->question("GET", "/look/1");
    question.headers["Authorization"] = "Token key-2";
    BOOST_TEST(waitUntil([&] { return ask(node(0), question).status == 401; }));
    withdraw(press(0));
    withdraw(press(1));
    BOOST_TEST(waitUntil([&] { return ask(node(0), this->question("GET", "/look/1")).status == 503; }));
}

// Of eleven nodes, eight follow the store and the others rely on them. A key is removed and a replica leaves:
// the nodes that do not follow must learn of both. When all other nodes are killed, a remaining node must
// start to follow the store itself.
BOOST_FIXTURE_TEST_CASE(nodes_not_following_the_store_learn_of_changes, gateway_testbed)
{
    constexpr std::size_t nodes = 11;
    configure(1, true);
    for (std::size_t i = 0; i < nodes; ++i)
        startNode();
    const auto isPassive = [&](std::size_t index) {
        const std::string log = node(index).process->log();
        const std::size_t passiveAt = log.rfind("\"follows\":\"no\"");
        const std::size_t followingAt = log.rfind("\"follows\":\"yes\"");
        return passiveAt != std::string::npos
            && (followingAt == std::string::npos || followingAt < passiveAt);
    };
    std::size_t passive = nodes;
    BOOST_REQUIRE(waitUntil([&] {
        for (std::size_t i = 0; i < nodes; ++i)
            passive = isPassive(i) ? i : passive;
        return passive < nodes;
    }));
    configure(2, false);
    withdraw(press(0));
    auto question = this->question("GET", "/look/1");
    question.headers["Authorization"] = "Token key-2";
    BOOST_TEST(waitUntil([&] { return ask(node(passive), question).status == 401; }));
    BOOST_TEST(waitUntil([&] {
        const std::size_t before = press(0).requestCount();
        const bool isServed = ask(node(passive), this->question("GET", "/look/1")).status == 200;
        return isServed && press(0).requestCount() == before;
    }));
    for (std::size_t i = 0; i < nodes; ++i) {
        if (i != passive)
            node(i).process->sendSignal(SIGKILL);
    }
    BOOST_TEST(waitUntil([&] { return !isPassive(passive); }));
    configure(3, true);
    BOOST_TEST(waitUntil([&] { return ask(node(passive), question).status == 200; }));
}

// A node starts while the store is unavailable. Alone it is not ready, and a caller that reaches it is told
// to retry later, not that its route or key is unknown. With a peer it serves.
BOOST_FIXTURE_TEST_CASE(a_node_started_without_the_store_asks_its_peers, gateway_testbed)
{
    configure(1);
    startNode(store_mode::Refuse);
    BOOST_TEST(waitUntil([&] { return node(0).process->log().find("store_lost") != std::string::npos; }));
    BOOST_TEST(!isReady(node(0)));
    const http_reply early = ask(node(0), question("GET", "/look/1"));
    BOOST_TEST(early.status == 503);
    BOOST_TEST(early.headers.contains("Retry-After"));
    startNode();
    awaitReady(node(1));
    awaitReady(node(0));
    BOOST_TEST(ask(node(0), question("GET", "/look/1")).status == 200);
}

// The store is unavailable to all nodes: the last configuration and the known replicas stay in use.
BOOST_FIXTURE_TEST_CASE(a_store_outage_does_not_stop_service, ready_testbed)
{
    store().setMode(node(0).storePort, store_mode::Silent);
    BOOST_TEST(waitUntil([&] { return node(0).process->log().find("store_lost") != std::string::npos; }));
    BOOST_TEST(ask(node(0), question("GET", "/look/1")).status == 200);
    store().setMode(node(0).storePort, store_mode::Serve);
    configure(2, true);
    auto question = this->question("GET", "/look/1");
    question.headers["Authorization"] = "Token key-2";
    BOOST_TEST(waitUntil([&] { return ask(node(0), question).status == 200; }));
}

// Operators evacuate a data centre. Guards against requests to it, also by a node that relies on the peer,
// and against its never being used again. Where nothing is left, a request is refused at once and told when
// to return.
BOOST_FIXTURE_TEST_CASE(an_evacuated_data_centre_gets_no_requests, gateway_testbed)
{
    announce(press(1), "press", replica_entry { "ready", "b" });
    configure(1);
    startNode();
    startNode();
    awaitReady(node(0));
    awaitReady(node(1));
    store().setMode(node(1).storePort, store_mode::Refuse);
    const auto isLeftAlone = [&](std::size_t index, std::size_t asked) {
        const std::size_t before = press(index).requestCount();
        bool isServed = true;
        for (int i = 0; i < 6; ++i)
            isServed = ask(node(asked), question("GET", "/look/1")).status == 200 && isServed;
        return isServed && press(index).requestCount() == before;
    };
    store().put("op/evacuate/a", "{}");
    BOOST_TEST(waitUntil([&] { return isLeftAlone(0, 0) && isLeftAlone(0, 1); }));
    store().put("op/evacuate/b", "{}");
    for (const std::size_t asked : { 0U, 1U }) {
        BOOST_TEST(waitUntil([&] {
            const http_reply reply = ask(node(asked), question("POST", "/pay/1", "5"));
            return reply.status == 503 && reply.headers.contains("Retry-After");
        }));
    }
    const std::size_t before = press(1).requestCount();
    store().remove("op/evacuate/b");
    for (const std::size_t asked : { 0U, 1U })
        BOOST_TEST(waitUntil([&] { return ask(node(asked), question("GET", "/look/1")).status == 200; }));
    BOOST_TEST(press(1).requestCount() > before);
    store().remove("op/evacuate/a");
    BOOST_TEST(waitUntil([&] { return !isLeftAlone(0, 0); }));
}

// A server that says it is cold takes two requests a second. Guards against its being sent whatever comes.
BOOST_FIXTURE_TEST_CASE(a_cold_replica_gets_few_requests, gateway_testbed)
{
    announce(press(0), "press", replica_entry { "ready", "a", 600000 });
    withdraw(press(1));
    configuration_content content;
    content.coldRequestsPerSecond = 2;
    configure(1, content);
    startNode();
    awaitReady(node(0));
    BOOST_TEST(waitUntil([&] { return ask(node(0), question("GET", "/look/1")).status == 200; }));
    unsigned refused = 0;
    for (int i = 0; i < 40; ++i)
        refused += ask(node(0), question("GET", "/look/1")).status == 503 ? 1 : 0;
    BOOST_TEST(refused > 0u);
    const auto arrivals = press(0).requests();
    for (std::size_t i = 2; i < arrivals.size(); ++i) {
        const auto gap = arrivals[i].arrivedAt - arrivals[i - 2].arrivedAt;
        BOOST_TEST((gap >= std::chrono::seconds(1)));
    }
    announce(press(0), "press");
    BOOST_TEST(waitUntil([&] {
        unsigned served = 0;
        for (int i = 0; i < 10; ++i)
            served += ask(node(0), question("GET", "/look/1")).status == 200 ? 1 : 0;
        return served == 10;
    }));
}

// Route and workspace allow regions. Guards against a request that runs elsewhere, and against a wait where
// none fits.
BOOST_FIXTURE_TEST_CASE(requests_stay_in_the_regions_allowed, gateway_testbed)
{
    announce(press(0), "press", replica_entry { "ready", "c" });
    announce(press(1), "press", replica_entry { "ready", "b" });
    configuration_content content;
    content.routeRegions = { "north", "south" };
    content.workspaceRegions = { "south", "west" };
    configure(1, content);
    startNode();
    awaitReady(node(0));
    for (int i = 0; i < 8; ++i)
        BOOST_TEST(ask(node(0), question("GET", "/look/1")).status == 200);
    BOOST_TEST(press(0).requestCount() == 8u);
    BOOST_TEST(press(1).requestCount() == 0u);
    content.workspaceRegions = { "west" };
    configure(2, content);
    BOOST_TEST(waitUntil([&] { return ask(node(0), question("GET", "/look/1")).status == 503; }));
    const std::size_t before = press(0).requestCount();
    BOOST_TEST(ask(node(0), question("POST", "/pay/1", "5")).status == 503);
    BOOST_TEST(press(0).requestCount() == before);
    BOOST_TEST(press(1).requestCount() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

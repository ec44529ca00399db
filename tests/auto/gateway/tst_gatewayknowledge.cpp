#include "gatewaytestbed.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using platform_standin::store_mode;

// What nodes know of the configuration and the backend servers, from the store and from each other.
BOOST_AUTO_TEST_SUITE(gateway_knowledge)

// A replica that drains, and one whose entry is gone, get nothing new.
BOOST_FIXTURE_TEST_CASE(leaving_replicas_get_nothing_new, ready_testbed)
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

// An engine that holds the shared part of a prompt drains. The next request about it runs elsewhere, where
// the part would be read anew; while the old engine is still there, the new one is told to copy it.
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

// Bytes that are no entry name no replica to use; the others hold.
BOOST_FIXTURE_TEST_CASE(an_unreadable_entry_names_no_replica, ready_testbed)
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

// A configuration takes a key away. From then on it is refused, and an older version that comes back, or
// one that cannot be read, does not bring it back.
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

// The store forgets its history while nothing is heard of a change: the next watch is told so, and the
// node reads everything anew.
BOOST_FIXTURE_TEST_CASE(a_forgotten_history_is_read_anew, ready_testbed)
{
    store().setDeaf(node(0).storePort, true);
    announce(press(0), "press", "draining");
    withdraw(press(1));
    store().forgetHistory();
    store().setDeaf(node(0).storePort, false);
    BOOST_TEST(waitUntil([&] { return ask(node(0), question("GET", "/look/1")).status == 503; }));
}

// The store turns one node away and serves the other while a key is taken away. The first node must hear of
// it from its peer; without that it goes on serving a caller whose owner no longer wants it.
BOOST_FIXTURE_TEST_CASE(a_node_that_the_store_turns_away_learns_from_its_peer, gateway_testbed)
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

// Of eleven nodes eight follow the store, the others rely on them. A key is taken away and a replica leaves:
// the resting nodes must hear of both. Then all others are killed: what was left resting follows by itself.
BOOST_FIXTURE_TEST_CASE(nodes_that_rest_hear_of_changes, gateway_testbed)
{
    constexpr std::size_t nodes = 11;
    configure(1, true);
    for (std::size_t i = 0; i < nodes; ++i)
        startNode();
    const auto isResting = [&](std::size_t index) {
        const std::string log = node(index).process->log();
        const std::size_t rested = log.rfind("\"follows\":\"no\"");
        const std::size_t followed = log.rfind("\"follows\":\"yes\"");
        return rested != std::string::npos && (followed == std::string::npos || followed < rested);
    };
    std::size_t resting = nodes;
    BOOST_REQUIRE(waitUntil([&] {
        for (std::size_t i = 0; i < nodes; ++i)
            resting = isResting(i) ? i : resting;
        return resting < nodes;
    }));
    configure(2, false);
    withdraw(press(0));
    auto question = this->question("GET", "/look/1");
    question.headers["Authorization"] = "Token key-2";
    BOOST_TEST(waitUntil([&] { return ask(node(resting), question).status == 401; }));
    BOOST_TEST(waitUntil([&] {
        const std::size_t before = press(0).requestCount();
        const bool isServed = ask(node(resting), this->question("GET", "/look/1")).status == 200;
        return isServed && press(0).requestCount() == before;
    }));
    for (std::size_t i = 0; i < nodes; ++i) {
        if (i != resting)
            node(i).process->sendSignal(SIGKILL);
    }
    BOOST_TEST(waitUntil([&] { return !isResting(resting); }));
    configure(3, true);
    BOOST_TEST(waitUntil([&] { return ask(node(resting), question).status == 200; }));
}

// A node starts while the store is away. Alone it knows nothing: it is not ready, and whoever reaches it
// all the same is told to come back, not that a route or key is unknown. With a peer it serves.
BOOST_FIXTURE_TEST_CASE(a_node_that_starts_without_the_store_asks_its_peers, gateway_testbed)
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

// The store is away for all: the last configuration and the known replicas serve on.
BOOST_FIXTURE_TEST_CASE(an_outage_of_the_store_stops_nothing, ready_testbed)
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

BOOST_AUTO_TEST_SUITE_END()

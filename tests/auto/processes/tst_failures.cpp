#include "processfleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

BOOST_AUTO_TEST_SUITE(failures)

// What the caller sees: may_have_run, once the service has taken the payment and closed without an answer;
// and the same again on every other node, never a second run. Nobody can know whether the first run paid.
BOOST_AUTO_TEST_CASE(a_payment_whose_answer_is_lost_is_never_run_again)
{
    process_fleet fleet;
    fleet.control(fleet.serviceControl(), R"({"lose_answers": 1})");
    const http_reply lost = fleet.pay(0, "lost-1");
    BOOST_TEST(lost.contains("may_have_run"));
    for (std::size_t node = 0; node < 3; ++node) {
        const http_reply again = fleet.pay(node, "lost-1");
        BOOST_TEST(again.status != 200);
        BOOST_TEST(!again.contains("\"not_run\""));
    }
    BOOST_TEST(fleet.runsOf("lost-1") == 1U);
}

// What the caller sees: not_run at once while the platform is down, and its payment works when the platform
// is back. Chats and lookups need no record and go on meanwhile.
BOOST_AUTO_TEST_CASE(payments_wait_for_the_platform_and_chats_do_not)
{
    process_fleet fleet;
    BOOST_TEST(fleet.pay(0, "before").status == 200);
    fleet.keyValueFault("/down");
    const http_reply refused = fleet.pay(1, "during");
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.contains("\"not_run\""));
    BOOST_TEST(fleet.runsOf("during") == 0U);
    BOOST_TEST(fleet.chat(2, "meanwhile").status == 200);
    BOOST_TEST(fleet.askAs(process_fleet::team, 0, { "GET", "/press/status/1", {}, {} }).status == 200);
    fleet.keyValueFault("/up");
    BOOST_TEST(waitUntil([&] { return fleet.pay(1, "during").status == 200; }));
    BOOST_TEST(fleet.runsOf("during") == 1U);
}

// What the caller sees: 503 with not_run from a node that has no configuration yet, as often as it asks. The
// node once died of its own refusal.
BOOST_AUTO_TEST_CASE(a_node_without_configuration_refuses_and_lives)
{
    process_fleet fleet({ 1, 1, {}, false });
    BOOST_TEST(waitUntil([&] { return fleet.chat(0, "early").status == 503; }));
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(fleet.chat(0, "early").contains("node_not_current"));
    BOOST_TEST(fleet.node(0).isRunning());
}

// What the caller sees: not_run while the plain service is down, from nodes that go on: no byte of the
// payment has left, and its record is closed first, so that the next sending may run.
BOOST_AUTO_TEST_CASE(payments_to_a_dead_service_are_not_run)
{
    process_fleet fleet({ 2, 1, {} });
    fleet.service().kill();
    for (std::size_t i = 0; i < 6; ++i)
        BOOST_TEST(fleet.pay(i % 2, "dead-" + std::to_string(i / 2)).contains("\"not_run\""));
    BOOST_TEST(fleet.node(0).isRunning());
    BOOST_TEST(fleet.node(1).isRunning());
}

// What the callers see: payments sent through all nodes while two of three nodes are killed and come back,
// each sent again elsewhere until it has a final answer. Each key runs once at most, and one that was
// answered with 200 ran exactly once.
BOOST_AUTO_TEST_CASE(killed_nodes_run_no_payment_twice)
{
    process_fleet fleet;
    constexpr int payments = 60;
    int answered = 0;
    for (int i = 0; i < payments; ++i) {
        const std::string key = "kill-" + std::to_string(i);
        const std::size_t victim = static_cast<std::size_t>(i / 20) % 3;
        http_reply reply;
        std::thread sender([&] { reply = fleet.pay(static_cast<std::size_t>(i) % 3, key); });
        if (i % 20 == 10)
            fleet.node(victim).kill();
        sender.join();
        if (i % 20 == 15)
            fleet.startNode(victim);
        for (std::size_t node = 0; node < 3 && reply.status != 200; ++node)
            reply = fleet.pay(node, key);
        const unsigned runs = fleet.runsOf(key);
        BOOST_TEST(runs <= 1U);
        if (reply.status == 200) {
            ++answered;
            BOOST_TEST(runs == 1U);
        }
    }
    BOOST_TEST_MESSAGE("answered " << answered << " of " << payments);
    BOOST_TEST(answered > 0);
}

// What the caller sees: a node that was stopped for longer than its evidence holds refuses with not_run when
// it goes on, or serves only after it has heard the others again; a payment through it never runs beside its
// repetition.
BOOST_AUTO_TEST_CASE(a_paused_node_does_not_act_on_old_evidence)
{
    process_fleet fleet;
    http_reply paused;
    fleet.node(0).sendSignal(SIGSTOP);
    std::thread sender([&] { paused = fleet.pay(0, "pause-1"); });
    BOOST_TEST(waitUntil([&] { return fleet.pay(1, "pause-1").status == 200; }));
    BOOST_TEST(waitUntil([&] {
        return fleet.askOperator(1, { "GET", "/v1/status", {}, {} }).contains(R"("state":"dead")");
    }));
    fleet.node(0).sendSignal(SIGCONT);
    sender.join();
    BOOST_TEST(fleet.runsOf("pause-1") == 1U);
    BOOST_TEST_INFO(paused.status << " " << paused.body << "\n" << fleet.node(0).log());
    BOOST_TEST((paused.status == 200 || paused.contains("\"not_run\"")));
    BOOST_TEST(waitUntil([&] { return fleet.chat(0, "back again").status == 200; }));
}

// What the callers see: the request that crashes the engines gets its final answer after two engines at most,
// through any node, and chats that were beside it are served by the engines left.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_engines_is_stopped_after_two)
{
    process_fleet fleet({ 3, 4, { "--crash_on=POISON" } });
    int crashes = 0;
    for (std::size_t i = 0; i < 4; ++i)
        BOOST_TEST(fleet.engine(i).isRunning());
    for (std::size_t i = 0; i < 8; ++i) {
        const http_reply reply = fleet.chat(i % 3, "POISON in a thesis");
        BOOST_TEST(reply.status != 200);
        // Strikes travel with the probes; the caller comes back a moment later.
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    }
    for (std::size_t i = 0; i < 4; ++i)
        crashes += fleet.engine(i).isRunning() ? 0 : 1;
    for (std::size_t i = 0; i < 4; ++i)
        BOOST_TEST_INFO("engine " << i << ": " << fleet.engine(i).log());
    BOOST_TEST(crashes <= 2);
    BOOST_TEST(fleet.chat(0, "POISON in a thesis").contains("poison_request"));
    BOOST_TEST(waitUntil([&] { return fleet.chat(1, "an innocent chat").status == 200; }));
}

// What the caller sees: its draft, accepted with 202, is done in the end, although the node that took it is
// killed while it runs. The claim ends with the dead node's lease, and another node adopts the draft.
BOOST_AUTO_TEST_CASE(a_draft_outlives_its_node)
{
    process_fleet fleet({ 3, 2, { "--token_us=5000" } });
    const std::string body
        = R"({"model":"thesis-large","max_tokens":600,"messages":[{"role":"user","content":"a long draft"}]})";
    const http_reply accepted = fleet.askAs(
        process_fleet::team, 0, { "POST", "/v1/chat/completions", body, { { "Prefer", "respond-async" } } });
    BOOST_REQUIRE(accepted.status == 202);
    const std::string location = accepted.headers.at("Location");
    fleet.node(0).kill();
    const bool isDone = waitUntil([&] {
        return fleet.askAs(process_fleet::team, 1, { "GET", location, {}, {} }).contains(R"("state":"done")");
    });
    BOOST_TEST(isDone);
    BOOST_TEST(fleet.askAs(process_fleet::team, 2, { "GET", location, {}, {} }).contains(":599/600 "));
    BOOST_TEST(fleet.askAs(process_fleet::unapprovedTeam, 2, { "GET", location, {}, {} }).status == 404);
}

BOOST_AUTO_TEST_SUITE_END()

#include "processfleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

BOOST_AUTO_TEST_SUITE(callers)

BOOST_AUTO_TEST_CASE(the_thin_whole_path)
{
    process_fleet fleet;
    for (std::size_t node = 0; node < 3; ++node) {
        const http_reply whole = fleet.chat(node, "hola", 5);
        BOOST_TEST(whole.status == 200);
        BOOST_TEST(whole.contains(":4/5 "));
        const http_reply streamed = fleet.chat(node, "hola", 5, true);
        BOOST_TEST(streamed.isWhole);
        BOOST_TEST(streamed.contains("data: [DONE]"));
    }

    const std::size_t before = fleet.engineRuns();
    const http_reply refused = fleet.askAs(process_fleet::unapprovedTeam, 1,
        { "POST", "/v1/chat/completions",
            R"({"model":"thesis-large","messages":[{"role":"user","content":"x"}]})", {} });
    BOOST_TEST(refused.status == 403);
    BOOST_TEST(refused.contains("not_approved"));
    BOOST_TEST(fleet.engineRuns() == before);

    const http_reply first = fleet.pay(0, "pay-1", R"({"amount":5})");
    const http_reply again = fleet.pay(1, "pay-1", R"({"amount":5})");
    BOOST_TEST(first.status == 200);
    BOOST_TEST(again.body == first.body);
    BOOST_TEST(again.headers.at("Idempotent-Replayed") == "true");
    BOOST_TEST(fleet.runsOf("pay-1") == 1U);
    BOOST_TEST(fleet.pay(2, "pay-1", R"({"amount":6})").contains("key_reused"));
    BOOST_TEST(fleet.runsOf("pay-1") == 1U);
}

BOOST_AUTO_TEST_CASE(bad_requests_get_a_clear_problem)
{
    process_fleet fleet({ 1, 1, {} });
    const auto post = [&](const std::string& body) {
        return fleet.askAs(process_fleet::team, 0, { "POST", "/v1/chat/completions", body, {} });
    };
    BOOST_TEST(post("{").contains("malformed_request"));
    BOOST_TEST(
        post(R"({"model":"none","messages":[{"role":"user","content":"x"}]})").contains("unknown_model"));
    BOOST_TEST(post(std::string(9U << 20U, 'x')).status == 413);
    BOOST_TEST(fleet.askAs("nobody", 0, { "GET", "/press/status/1", {}, {} }).status == 401);
    BOOST_TEST(fleet.askAs(process_fleet::team, 0, { "GET", "/nowhere", {}, {} }).status == 404);
    BOOST_TEST(fleet.askAs(process_fleet::team, 0, { "DELETE", "/press/status/1", {}, {} }).status == 405);
    BOOST_TEST(fleet.askAs(process_fleet::team, 0, { "GET", "/v1/models", {}, {} }).contains("thesis-large"));
}

// What the caller sees: a stream that ends with an error event and without the end that HTTP asks for. The
// engine closes its connection in the middle; the node has already passed tokens on, so it can neither answer
// with a status nor try elsewhere, and a clean end would make half an answer look whole.
BOOST_AUTO_TEST_CASE(a_stream_cut_by_the_engine_never_looks_whole)
{
    process_fleet fleet({ 2, 1, {} });
    for (std::size_t node = 0; node < 2; ++node) {
        fleet.control(fleet.engineControl(0), R"({"cut_answers": 1})");
        const http_reply cut = fleet.chat(node, "cut me", 10, true);
        BOOST_TEST(cut.status == 200);
        BOOST_TEST(!cut.isWhole);
        BOOST_TEST(cut.contains("event: error"));
        BOOST_TEST(cut.contains("answer_cut"));
        BOOST_TEST(!cut.contains("[DONE]"));
        BOOST_TEST(fleet.chat(node, "and on", 3).status == 200);
    }
}

// What the caller sees: its stream goes on to the end although its node is told to leave in the middle. The
// node turns unready first, so that the balancer sends nobody new, lets the stream end, and then leaves with
// 0.
BOOST_AUTO_TEST_CASE(a_graceful_shutdown_cuts_off_no_stream)
{
    process_fleet fleet({ 2, 1, { "--token_us=20000" } });
    http_reply streamed;
    std::thread caller([&] { streamed = fleet.chat(0, "long stream", 100, true); });
    const std::size_t before = fleet.engineRuns();
    waitUntil([&] { return fleet.engineRuns() > before; });
    fleet.node(0).sendSignal(SIGTERM);
    const int code = fleet.node(0).wait();
    caller.join();
    BOOST_TEST(streamed.isWhole);
    BOOST_TEST(streamed.contains("[DONE]"));
    BOOST_TEST(code == 0);
    BOOST_TEST(waitUntil([&] { return fleet.chat(1, "after", 2).status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

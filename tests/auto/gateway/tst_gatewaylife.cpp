#include "gatewaytestbed.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <thread>

using platform_standin::eventsUpTo;

// Signals to a node, and what it tells of itself.
BOOST_AUTO_TEST_SUITE(gateway_life)

// A node is stopped while a request runs: the balancer is told at once, the request ends whole, its
// connection is ended with it, and the process leaves by itself.
BOOST_FIXTURE_TEST_CASE(a_stop_lets_requests_end, ready_testbed)
{
    engine(0).setEvents(100, 0);
    engine(1).setEvents(100, 0);
    auto running
        = std::async(std::launch::async, [&] { return ask(node(0), question("POST", "/chat/1", "hi")); });
    BOOST_TEST(waitUntil([&] { return engine(0).requestCount() + engine(1).requestCount() > 0; }));
    node(0).process->sendSignal(SIGTERM);
    BOOST_TEST(waitUntil([&] { return !isReady(node(0)); }));
    const http_reply reply = running.get();
    BOOST_TEST(reply.isWhole);
    BOOST_TEST(reply.body == eventsUpTo(100));
    const http_reply late = ask(node(0), question("GET", "/look/1"));
    if (late.status != 0)
        BOOST_TEST(late.headers.at("Connection") == "close");
    BOOST_TEST(node(0).process->wait() == 0);
    BOOST_TEST(node(0).process->log().find("\"name\":\"stopped\"") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_reload_signal_ends_nothing, ready_testbed)
{
    node(0).process->sendSignal(SIGHUP);
    BOOST_TEST(waitUntil([&] { return node(0).process->log().find("settings_read") != std::string::npos; }));
    BOOST_TEST(ask(node(0), question("GET", "/look/1")).status == 200);
}

// Callers see answers that all come late. The node has more work than its processor time allows, or stood
// still; its lines must say so, since each request's line counts only from when the request was read.
BOOST_FIXTURE_TEST_CASE(a_node_tells_that_it_is_late, ready_testbed)
{
    const auto isToldLate
        = [&] { return node(0).process->log().find("\"name\":\"work_late\"") != std::string::npos; };
    // How long it stands still is not measured: it is stopped again until it has missed a beat.
    BOOST_TEST(waitUntil([&] {
        node(0).process->sendSignal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        node(0).process->sendSignal(SIGCONT);
        return isToldLate();
    }));
}

BOOST_FIXTURE_TEST_CASE(metrics_tell_how_requests_ended, ready_testbed)
{
    ask(node(0), question("GET", "/look/1"));
    http_question question;
    question.target = "/metrics";
    question.address = node(0).address;
    const http_reply reply = askHttp(node(0).metricsPort, question);
    BOOST_TEST(reply.contains("lycheefront_requests_total{outcome=\"answered\",service=\"press\"} 1"));
    BOOST_TEST(reply.contains("lycheefront_store_reachable 1"));
    BOOST_TEST(reply.contains("lycheefront_configuration_version 1"));
}

BOOST_AUTO_TEST_SUITE_END()

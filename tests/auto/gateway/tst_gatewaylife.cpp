#include "gatewaytestbed.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <thread>

using platform_standin::eventsUpTo;

// Signals to a node, and its logs and metrics.
BOOST_AUTO_TEST_SUITE(gateway_life)

// A node is stopped while a request is in progress: the readiness check fails at once, the request completes,
// its connection is closed with it, and the process exits.
BOOST_FIXTURE_TEST_CASE(a_stop_lets_requests_complete, ready_testbed)
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
    const http_reply lateReply = ask(node(0), question("GET", "/look/1"));
    if (lateReply.status != 0)
        BOOST_TEST(lateReply.headers.at("Connection") == "close");
    BOOST_TEST(node(0).process->wait() == 0);
    BOOST_TEST(node(0).process->log().find("\"name\":\"stopped\"") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_reload_signal_does_not_stop_service, ready_testbed)
{
    node(0).process->sendSignal(SIGHUP);
    BOOST_TEST(waitUntil([&] { return node(0).process->log().find("settings_read") != std::string::npos; }));
    BOOST_TEST(ask(node(0), question("GET", "/look/1")).status == 200);
}

// All answers are late because the node has more work than its CPU time allows, or was stalled. The log must
// show this, since the times logged for a request start only when the request is read.
BOOST_FIXTURE_TEST_CASE(a_node_logs_its_timer_lag, ready_testbed)
{
    const auto isLagLogged
        = [&] { return node(0).process->log().find("\"name\":\"work_late\"") != std::string::npos; };
    // The length of the stall is not exact: the node is stopped again until it logs a missed heartbeat.
    BOOST_TEST(waitUntil([&] {
        node(0).process->sendSignal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        node(0).process->sendSignal(SIGCONT);
        return isLagLogged();
    }));
}

BOOST_FIXTURE_TEST_CASE(metrics_count_requests_by_outcome, ready_testbed)
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

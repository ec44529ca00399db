#include "gatewaytestbed.h"
#include "rawcaller.h"

#include <boost/test/unit_test.hpp>

using platform_standin::eventsUpTo;
using platform_standin::replica_act;

namespace {

std::size_t runsOf(gateway_testbed& world)
{
    return world.press(0).requestCount() + world.press(1).requestCount();
}

/// Returns the resident memory that the node reports in its metrics.
std::size_t residentBytes(const gateway_node& node)
{
    http_question question;
    question.target = "/metrics";
    question.address = node.address;
    const std::string text = askHttp(node.metricsPort, question).body;
    const std::string name = "\nprocess_resident_memory_bytes ";
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0 : static_cast<std::size_t>(std::stod(text.substr(at + name.size())));
}

} // namespace

// The behaviour of one node towards callers and backend servers, for single requests.
BOOST_AUTO_TEST_SUITE(gateway_requests)

// A payment reaches one replica, once, with the name of the workspace that owns its API key. The replica must
// not get the key, must be the instance that was addressed, and gets no more time than the caller has.
BOOST_FIXTURE_TEST_CASE(a_request_reaches_its_replica_and_its_response_the_caller, ready_testbed)
{
    auto question = this->question("POST", "/pay/order", "amount=5");
    question.headers["Lycheefront-Tenant"] = "somebody-else";
    question.headers["Lycheefront-Kv-Backup"] = "10.0.0.1:1";
    question.headers["X-Trace"] = "kept";
    const http_reply reply = ask(node(0), question);
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.isWhole);
    BOOST_TEST(reply.headers.at("Lycheefront-Attempt-Id") == question.headers["Lycheefront-Attempt-Id"]);
    BOOST_TEST(reply.headers.contains("Lycheefront-Response-Signature"));
    BOOST_REQUIRE(runsOf(*this) == 1u);
    auto& replica = press(0).requestCount() == 1 ? press(0) : press(1);
    const auto got = replica.requests().front();
    BOOST_TEST(got.body == "amount=5");
    BOOST_TEST(got.headers.at("lycheefront-tenant") == "print-shop");
    BOOST_TEST(got.headers.at("lycheefront-expect-instance") == replica.id());
    BOOST_TEST(got.headers.at("x-trace") == "kept");
    BOOST_TEST(!got.headers.contains("authorization"));
    BOOST_TEST(!got.headers.contains("lycheefront-kv-backup"));
    BOOST_TEST(std::stoi(got.headers.at("lycheefront-deadline-ms")) <= 30000);
}

BOOST_FIXTURE_TEST_CASE(unknown_keys_and_routes_are_refused, ready_testbed)
{
    auto question = this->question("GET", "/look/1");
    question.headers["Authorization"] = "Token nobody's";
    BOOST_TEST(ask(node(0), question).status == 401);
    BOOST_TEST(ask(node(0), this->question("GET", "/nowhere/1")).status == 404);
    BOOST_TEST(ask(node(0), this->question("GET", "/lookout/1")).status == 404);
    BOOST_TEST(runsOf(*this) == 0u);
}

// The replica receives a payment and its connection breaks. Whether the payment was made is unknown, so it is
// not sent again, and the caller is not told that it has not run.
BOOST_FIXTURE_TEST_CASE(a_payment_whose_connection_broke_is_not_sent_again, ready_testbed)
{
    press(0).act(replica_act::Cut);
    press(1).act(replica_act::Cut);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(runsOf(*this) == 1u);
}

// A replica with a full queue reports that it has not run a payment: the other replica runs it, and the
// caller sees no failure.
BOOST_FIXTURE_TEST_CASE(a_payment_that_was_not_run_is_retried_on_the_other_replica, ready_testbed)
{
    press(0).act(replica_act::Shed);
    for (int i = 0; i < 4; ++i) {
        const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(reply.body == press(1).id());
    }
}

// All replicas report that they have not run the payment: the caller gets "not run" and a time to retry.
BOOST_FIXTURE_TEST_CASE(a_payment_that_no_replica_ran_is_refused_with_retry_after, ready_testbed)
{
    press(0).act(replica_act::Shed);
    press(1).act(replica_act::Shed);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 503);
    BOOST_TEST(reply.headers.contains("Retry-After"));
}

// A replica returns 503 without the header for "not executed". Forwarded unchanged, the status would tell the
// caller that the payment has not run, and the caller would pay again.
BOOST_FIXTURE_TEST_CASE(a_503_without_not_executed_header_is_not_forwarded, ready_testbed)
{
    press(0).act(replica_act::ShedUnmarked);
    press(1).act(replica_act::ShedUnmarked);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(!reply.headers.contains("Lycheefront-Response-Signature"));
    BOOST_TEST(runsOf(*this) == 1u);
}

// A lookup fails on one replica. It may run again, so the other replica serves it.
BOOST_FIXTURE_TEST_CASE(a_failed_lookup_is_retried, ready_testbed)
{
    press(0).act(replica_act::Fail);
    for (int i = 0; i < 2; ++i) {
        const http_reply reply = ask(node(0), question("GET", "/look/1"));
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(reply.body == press(1).id());
    }
}

// Both replicas fail a lookup: the caller gets the error response of one of them, with its signature,
// unchanged.
BOOST_FIXTURE_TEST_CASE(an_error_of_all_replicas_is_forwarded_unchanged, ready_testbed)
{
    press(0).act(replica_act::Fail);
    press(1).act(replica_act::Fail);
    const http_reply reply = ask(node(0), question("GET", "/look/1"));
    BOOST_TEST(reply.status == 500);
    BOOST_TEST(reply.headers.contains("Lycheefront-Response-Signature"));
    BOOST_TEST(reply.body.starts_with("failed at press-"));
}

// One replica fails a lookup, the other one hangs until the deadline of the caller. The caller must get the
// error response with its signature, not a timeout.
BOOST_FIXTURE_TEST_CASE(an_error_is_forwarded_when_the_second_attempt_hangs, ready_testbed)
{
    auto question = this->question("GET", "/look/1");
    question.headers["Lycheefront-Deadline-Ms"] = "400";
    // Both orders: whichever replica is tried first, one of the two lookups fails before it hangs.
    unsigned failures = 0;
    for (std::size_t failing = 0; failing < 2; ++failing) {
        press(failing).act(replica_act::Fail);
        press(1 - failing).act(replica_act::Hang);
        for (int i = 0; i < 4; ++i) {
            question.headers["Lycheefront-Attempt-Id"] = "late-" + std::to_string(failing * 10 + i);
            const std::size_t hungBefore = press(1 - failing).requestCount();
            const std::size_t failedBefore = press(failing).requestCount();
            const http_reply reply = ask(node(0), question);
            const bool hasReachedBoth = press(1 - failing).requestCount() > hungBefore
                && press(failing).requestCount() > failedBefore;
            if (!hasReachedBoth)
                continue;
            ++failures;
            BOOST_TEST(reply.status == 500);
            BOOST_TEST(reply.headers.contains("Lycheefront-Response-Signature"));
        }
    }
    BOOST_TEST(failures > 0u);
}

// The response to another request comes first on the connection, then the right one.
BOOST_FIXTURE_TEST_CASE(a_response_to_another_request_is_skipped, ready_testbed)
{
    press(0).act(replica_act::ExtraAnswer);
    press(1).act(replica_act::ExtraAnswer);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body.starts_with("press-"));
}

BOOST_FIXTURE_TEST_CASE(a_success_without_signature_is_rejected, ready_testbed)
{
    press(0).act(replica_act::Unsigned);
    press(1).act(replica_act::Unsigned);
    BOOST_TEST(ask(node(0), question("POST", "/pay/order", "amount=5")).status == 502);
}

BOOST_FIXTURE_TEST_CASE(a_response_that_ends_with_its_connection_is_complete, ready_testbed)
{
    press(0).act(replica_act::Unframed);
    press(1).act(replica_act::Unframed);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.isWhole);
    BOOST_TEST(reply.body.starts_with("press-"));
}

BOOST_FIXTURE_TEST_CASE(a_stream_that_ends_with_its_connection_is_complete, ready_testbed)
{
    engine(0).act(replica_act::StreamUnframed);
    engine(1).act(replica_act::StreamUnframed);
    for (const std::string path : { "/chat/1", "/draft/1" }) {
        const http_reply reply = ask(node(0), question("POST", path, "hi"));
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(reply.isWhole);
        BOOST_TEST(reply.body == eventsUpTo(5));
    }
}

// Guards against a stream without length that ends inside an event and looks complete.
BOOST_FIXTURE_TEST_CASE(a_stream_that_ends_inside_an_event_is_broken_off, ready_testbed)
{
    engine(0).act(replica_act::StreamUnframedCut);
    engine(1).act(replica_act::StreamUnframedCut);
    const http_reply reply = ask(node(0), question("POST", "/draft/1", "hi"));
    BOOST_TEST(!reply.isWhole);
    BOOST_TEST(!reply.contains("piece 3"));
}

// Guards against a connection that ends right behind the head and passes for a whole stream without events.
BOOST_FIXTURE_TEST_CASE(a_stream_that_ends_before_its_first_event_is_no_answer, ready_testbed)
{
    engine(0).act(replica_act::HeadOnly);
    engine(1).act(replica_act::HeadOnly);
    BOOST_TEST(ask(node(0), question("POST", "/draft/1", "hi")).status == 502);
    engine(1).act(replica_act::Stream);
    const http_reply reply = ask(node(0), question("POST", "/chat/1", "hi"));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body == eventsUpTo(5));
}

// An engine fails in the middle of the third event. The partial event must not reach the caller, and the
// other engine resumes after the second event: five events, each once, in one complete response.
BOOST_FIXTURE_TEST_CASE(a_stream_resumes_on_another_engine_without_gap_or_repeat, ready_testbed)
{
    engine(0).act(replica_act::StreamCutOnce);
    engine(1).act(replica_act::StreamCutOnce);
    const http_reply reply = ask(node(0), question("POST", "/chat/1", "hi"));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.isWhole);
    BOOST_TEST(reply.body == eventsUpTo(5));
    BOOST_REQUIRE(engine(0).requestCount() == 1u);
    BOOST_REQUIRE(engine(1).requestCount() == 1u);
    const bool isFirstResumed = engine(0).requests().front().headers.contains("last-event-id");
    auto& resumed = isFirstResumed ? engine(0) : engine(1);
    BOOST_TEST(resumed.requests().front().headers.at("last-event-id") == "2");
}

// A stream that cannot be resumed breaks: the caller must see that it is incomplete.
BOOST_FIXTURE_TEST_CASE(a_broken_stream_does_not_look_complete, ready_testbed)
{
    engine(0).act(replica_act::StreamCut);
    engine(1).act(replica_act::StreamCut);
    const http_reply reply = ask(node(0), question("POST", "/draft/1", "hi"));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(!reply.isWhole);
    BOOST_TEST(reply.body == eventsUpTo(2));
    BOOST_TEST(engine(0).requestCount() + engine(1).requestCount() == 1u);
}

// A caller leaves while its request runs: the node closes the connection to the replica at once.
BOOST_FIXTURE_TEST_CASE(the_replica_is_disconnected_when_the_caller_leaves, ready_testbed)
{
    press(0).act(replica_act::Hang);
    press(1).act(replica_act::Hang);
    raw_caller caller(node(0));
    caller.write("POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                 "Lycheefront-Attempt-Id: left-1\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(waitUntil([&] { return runsOf(*this) == 1; }));
    caller.close();
    BOOST_TEST(waitUntil([&] { return press(0).abandoned() + press(1).abandoned() == 1; }));
}

// A request with both Content-Length and Transfer-Encoding is one request for this node and maybe two for a
// replica: nothing of it is forwarded, and the connection is closed.
BOOST_FIXTURE_TEST_CASE(a_request_with_two_lengths_is_not_forwarded, ready_testbed)
{
    raw_caller caller(node(0));
    caller.write("POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                 "Lycheefront-Attempt-Id: two-1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n\r\nPOST /pay/2 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n");
    const std::string answer = caller.readToEnd();
    BOOST_TEST(answer.starts_with("HTTP/1.1 400"));
    BOOST_TEST(answer.find("HTTP/1.1", 1) == std::string::npos);
    BOOST_TEST(runsOf(*this) == 0u);
}

BOOST_FIXTURE_TEST_CASE(bodies_and_heads_over_the_limit_are_refused, ready_testbed)
{
    BOOST_TEST(ask(node(0), question("POST", "/pay/1", std::string(70000, 'x'))).status == 413);
    auto question = this->question("POST", "/pay/1", "x");
    question.headers["X-Long"] = std::string(5000, 'x');
    BOOST_TEST(ask(node(0), question).status == 431);
    BOOST_TEST(runsOf(*this) == 0u);
}

// Guards against a response body that never ends: buffered until its end, it used up the memory of the node,
// and the platform ended the process with the requests of all other callers. A response that is too large to
// buffer is forwarded as it arrives, at the speed of the caller, and the memory of the node stays small.
BOOST_FIXTURE_TEST_CASE(a_response_too_large_to_buffer_is_forwarded_as_it_arrives, ready_testbed)
{
    constexpr std::size_t readBytes = 64U << 20U;
    constexpr std::size_t maxResidentBytes = 48U << 20U;
    press(0).act(replica_act::Endless);
    press(1).act(replica_act::Endless);
    raw_caller caller(node(0));
    caller.write("GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                 "Lycheefront-Attempt-Id: long\r\nLycheefront-Deadline-Ms: 60000\r\n\r\n");
    BOOST_TEST(caller.readSome(readBytes) == readBytes);
    BOOST_TEST(residentBytes(node(0)) > 0u);
    BOOST_TEST(residentBytes(node(0)) < maxResidentBytes);
    caller.close();
    BOOST_TEST(ask(node(0), question("POST", "/chat/1", "hi")).status == 200);
}

// Guards against answers without end that together take the node over its memory limit, and requests of other
// callers that end with it: in a head, in a discarded body, in an extra answer, at 300 connections at once.
BOOST_FIXTURE_TEST_CASE(answers_without_end_at_many_connections_leave_room_for_others, ready_testbed)
{
    constexpr std::size_t memoryLimit = 160'000'000; // of the smallest VM on the users' sheets
    constexpr std::size_t connections = 300;
    for (const replica_act act :
        { replica_act::HeadEndless, replica_act::ShedEndless, replica_act::ForeignEndless }) {
        press(0).act(act);
        press(1).act(act);
        std::vector<std::unique_ptr<raw_caller>> callers;
        for (std::size_t i = 0; i < connections; ++i) {
            callers.push_back(std::make_unique<raw_caller>(node(0)));
            callers.back()->write(
                "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                "Connection: close\r\nLycheefront-Attempt-Id: end-"
                + std::to_string(static_cast<int>(act)) + "-" + std::to_string(i)
                + "\r\nLycheefront-Deadline-Ms: 3000\r\n\r\n");
        }
        std::size_t mostBytes = 0;
        for (unsigned sample = 0; sample < 10; ++sample) {
            mostBytes = std::max(mostBytes, residentBytes(node(0)));
            BOOST_TEST(
                ask(node(0), question("POST", "/chat/1", "hi " + std::to_string(sample))).status == 200);
        }
        for (const std::unique_ptr<raw_caller>& caller : callers)
            BOOST_TEST(caller->readToEnd().starts_with("HTTP/1.1 50"));
        mostBytes = std::max(mostBytes, residentBytes(node(0)));
        BOOST_TEST_MESSAGE("resident bytes at most: " << mostBytes);
        BOOST_TEST(mostBytes > 0u);
        BOOST_TEST(mostBytes < memoryLimit);
        callers.clear();
    }
    BOOST_TEST(node(0).starts == 1u);
}

// Guards against an event that never ends. None of it can be forwarded, since the caller must get whole
// events; buffered until the timeout of the route, it used up the memory of the node. The attempt ends when
// the event exceeds the size limit, and the caller gets an error at once.
BOOST_FIXTURE_TEST_CASE(an_endless_event_ends_the_attempt, ready_testbed)
{
    engine(0).act(replica_act::Endless);
    engine(1).act(replica_act::Endless);
    BOOST_TEST(ask(node(0), question("POST", "/chat/1", "hi")).status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

#include "gatewaytestbed.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using platform_standin::eventsUpTo;
using platform_standin::replica_act;

namespace {

std::size_t runsOf(gateway_testbed& world)
{
    return world.press(0).requestCount() + world.press(1).requestCount();
}

/// What the node says of its memory.
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

/// A caller's connection of which the test writes every byte.
class raw_caller {
public:
    explicit raw_caller(const gateway_node& node)
        : m_socket(m_io)
    {
        m_socket.connect({ boost::asio::ip::make_address(node.address), node.callerPort });
    }

    void write(const std::string& bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }
    std::string readToEnd()
    {
        std::string bytes;
        boost::system::error_code ended;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), ended);
        return bytes;
    }
    /// Reads so many bytes, or fewer if the connection ends.
    std::size_t readSome(std::size_t count)
    {
        std::string bytes(count, '\0');
        boost::system::error_code ended;
        return boost::asio::read(m_socket, boost::asio::buffer(bytes), ended);
    }
    void close() { m_socket.close(); }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace

// What callers and backend servers see of single requests through one node.
BOOST_AUTO_TEST_SUITE(gateway_requests)

// A payment reaches one replica, once, under the name of the workspace that holds its key. The replica must
// not learn the key, must be the one that was meant, and gets no more time than the caller has.
BOOST_FIXTURE_TEST_CASE(a_request_reaches_its_replica_and_comes_back, ready_testbed)
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

// The replica takes a payment and its connection breaks. Whether it was charged is not known, so it is not
// sent again, and the caller is not told that it has not run.
BOOST_FIXTURE_TEST_CASE(a_payment_that_was_cut_is_not_sent_again, ready_testbed)
{
    press(0).act(replica_act::Cut);
    press(1).act(replica_act::Cut);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(runsOf(*this) == 1u);
}

// A full replica says that it has not run a payment: the other one runs it, and the caller sees no failure.
BOOST_FIXTURE_TEST_CASE(a_payment_that_was_not_run_goes_to_the_other_replica, ready_testbed)
{
    press(0).act(replica_act::Shed);
    for (int i = 0; i < 4; ++i) {
        const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(reply.body == press(1).id());
    }
}

// Every replica says that it has not run the payment: "not run" is true, and the caller learns when to
// come back.
BOOST_FIXTURE_TEST_CASE(a_payment_that_nobody_ran_is_refused_with_a_time, ready_testbed)
{
    press(0).act(replica_act::Shed);
    press(1).act(replica_act::Shed);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 503);
    BOOST_TEST(reply.headers.contains("Retry-After"));
}

// A replica says 503 without saying that the payment has not run. Passed on as it is, the status would
// promise the caller that it has not, and the caller would pay again.
BOOST_FIXTURE_TEST_CASE(a_503_without_the_mark_is_no_promise, ready_testbed)
{
    press(0).act(replica_act::ShedUnmarked);
    press(1).act(replica_act::ShedUnmarked);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(!reply.headers.contains("Lycheefront-Response-Signature"));
    BOOST_TEST(runsOf(*this) == 1u);
}

// A lookup fails at one replica: it may run again, so the other one answers.
BOOST_FIXTURE_TEST_CASE(a_lookup_that_failed_is_repeated, ready_testbed)
{
    press(0).act(replica_act::Fail);
    for (int i = 0; i < 2; ++i) {
        const http_reply reply = ask(node(0), question("GET", "/look/1"));
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(reply.body == press(1).id());
    }
}

// Both replicas fail a lookup: the caller gets the failure of one of them, with its mark, unchanged.
BOOST_FIXTURE_TEST_CASE(a_failure_of_all_is_passed_on_unchanged, ready_testbed)
{
    press(0).act(replica_act::Fail);
    press(1).act(replica_act::Fail);
    const http_reply reply = ask(node(0), question("GET", "/look/1"));
    BOOST_TEST(reply.status == 500);
    BOOST_TEST(reply.headers.contains("Lycheefront-Response-Signature"));
    BOOST_TEST(reply.body.starts_with("failed at press-"));
}

// One replica fails a lookup, the other hangs until the caller's time is over. The failure is a ready answer:
// the caller must get it, with its mark, and not be told that the time was over.
BOOST_FIXTURE_TEST_CASE(a_failure_is_delivered_though_the_second_attempt_hangs, ready_testbed)
{
    auto question = this->question("GET", "/look/1");
    question.headers["Lycheefront-Deadline-Ms"] = "400";
    // The two orders: whichever replica is asked first, one of the two lookups fails before it hangs.
    unsigned failures = 0;
    for (std::size_t failing = 0; failing < 2; ++failing) {
        press(failing).act(replica_act::Fail);
        press(1 - failing).act(replica_act::Hang);
        for (int i = 0; i < 4; ++i) {
            question.headers["Lycheefront-Attempt-Id"] = "late-" + std::to_string(failing * 10 + i);
            const std::size_t hungBefore = press(1 - failing).requestCount();
            const std::size_t failedBefore = press(failing).requestCount();
            const http_reply reply = ask(node(0), question);
            const bool isBoth = press(1 - failing).requestCount() > hungBefore
                && press(failing).requestCount() > failedBefore;
            if (!isBoth)
                continue;
            ++failures;
            BOOST_TEST(reply.status == 500);
            BOOST_TEST(reply.headers.contains("Lycheefront-Response-Signature"));
        }
    }
    BOOST_TEST(failures > 0u);
}

// The answer to somebody else's request comes first on the connection; then the own one.
BOOST_FIXTURE_TEST_CASE(an_answer_to_another_request_is_skipped, ready_testbed)
{
    press(0).act(replica_act::ExtraAnswer);
    press(1).act(replica_act::ExtraAnswer);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body.starts_with("press-"));
}

BOOST_FIXTURE_TEST_CASE(a_success_without_the_mark_is_none, ready_testbed)
{
    press(0).act(replica_act::Unsigned);
    press(1).act(replica_act::Unsigned);
    BOOST_TEST(ask(node(0), question("POST", "/pay/order", "amount=5")).status == 502);
}

BOOST_FIXTURE_TEST_CASE(an_answer_that_ends_with_its_connection_is_whole, ready_testbed)
{
    press(0).act(replica_act::Unframed);
    press(1).act(replica_act::Unframed);
    const http_reply reply = ask(node(0), question("POST", "/pay/order", "amount=5"));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.isWhole);
    BOOST_TEST(reply.body.starts_with("press-"));
}

// An engine dies in the middle of the third event. The half event must not reach the caller, and the other
// engine goes on after the second: five events, each once, in one whole answer.
BOOST_FIXTURE_TEST_CASE(a_stream_goes_on_elsewhere_without_gap_or_repeat, ready_testbed)
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

// A stream that may not be resumed breaks off: the caller must see that it is not whole.
BOOST_FIXTURE_TEST_CASE(a_broken_stream_does_not_look_whole, ready_testbed)
{
    engine(0).act(replica_act::StreamCut);
    engine(1).act(replica_act::StreamCut);
    const http_reply reply = ask(node(0), question("POST", "/draft/1", "hi"));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(!reply.isWhole);
    BOOST_TEST(reply.body == eventsUpTo(2));
    BOOST_TEST(engine(0).requestCount() + engine(1).requestCount() == 1u);
}

// A caller leaves while its request runs: the replica is told at once by the end of its connection.
BOOST_FIXTURE_TEST_CASE(the_replica_learns_that_the_caller_left, ready_testbed)
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

// A request with a length and a transfer coding is one request for this node and perhaps two for a
// replica: nothing of it goes on, and the connection ends.
BOOST_FIXTURE_TEST_CASE(a_request_with_two_lengths_goes_nowhere, ready_testbed)
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

// A server answers a lookup with a body that never ends. Held until it was whole, it took all memory of the
// node, which the platform then ended, with the requests of all other callers. What is too long to be held
// goes on as it comes, as fast as the caller reads, and the node stays small.
BOOST_FIXTURE_TEST_CASE(an_answer_that_is_too_long_to_hold_goes_on_as_it_comes, ready_testbed)
{
    constexpr std::size_t much = 64U << 20U;
    constexpr std::size_t most = 48U << 20U;
    press(0).act(replica_act::Endless);
    press(1).act(replica_act::Endless);
    raw_caller caller(node(0));
    caller.write("GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                 "Lycheefront-Attempt-Id: long\r\nLycheefront-Deadline-Ms: 60000\r\n\r\n");
    BOOST_TEST(caller.readSome(much) == much);
    BOOST_TEST(residentBytes(node(0)) > 0u);
    BOOST_TEST(residentBytes(node(0)) < most);
    caller.close();
    BOOST_TEST(ask(node(0), question("POST", "/chat/1", "hi")).status == 200);
}

// An engine sends an event that never ends. Nothing of it can go on, since the caller must get whole events;
// kept for as long as the route allows, it took all memory of the node. The attempt ends when the event is
// longer than any, and the caller is told at once.
BOOST_FIXTURE_TEST_CASE(an_event_without_end_is_given_up, ready_testbed)
{
    engine(0).act(replica_act::Endless);
    engine(1).act(replica_act::Endless);
    BOOST_TEST(ask(node(0), question("POST", "/chat/1", "hi")).status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

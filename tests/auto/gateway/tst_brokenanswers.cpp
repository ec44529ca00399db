#include "gatewaytestbed.h"
#include "joinedtext.h"

#include "processtools/freeport.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using platform_standin::eventsUpTo;
using platform_standin::raw_answer;
using platform_standin::raw_end;
using platform_standin::raw_replica;

namespace {

constexpr std::size_t replicas = 2; ///< of each service
constexpr std::size_t longUpload = 12'000'000; ///< bytes; far more than the kernel buffers of a connection
constexpr unsigned eventCount = 5;

const std::string signature = "Lycheefront-Attempt-Id: {id}\r\nLycheefront-Response-Signature: s.1\r\n";

std::string sized(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A whole answer to any kind of request.
raw_answer wholeAnswer()
{
    return { "HTTP/1.1 200 OK\r\n" + signature + sized(eventsUpTo(eventCount)) };
}

/// A whole answer that comes before the end of the upload and ends with its connection.
raw_answer earlyAnswer(raw_end end)
{
    return { "HTTP/1.1 200 OK\r\n" + signature + "\r\n" + eventsUpTo(eventCount), true, end, 150ms };
}

/// Two nodes before raw replicas; the first node reaches no replica and forwards to the second one.
class broken_answer_testbed : public gateway_testbed {
public:
    broken_answer_testbed()
        : gateway_testbed(0)
    {
        setRetryLimits(4, 54);
        configuration_content content;
        content.latencyMs = 200; // requests wait for another server in proportion
        content.timeoutMs = 8000;
        content.maxBodyBytes = 2 * longUpload;
        configure(1, content);
        std::map<std::string, std::string> substitutions;
        for (const std::string service : { "press", "engines" }) {
            for (std::size_t i = 0; i < replicas; ++i) {
                m_replicas.push_back(
                    std::make_unique<raw_replica>(thread(), service + "-" + std::to_string(i)));
                m_replicas.back()->setAnswer(wholeAnswer());
                announce(*m_replicas.back(), service, {});
                substitutions[m_replicas.back()->address()]
                    = "127.0.0.1:" + std::to_string(freePort("127.0.0.1"));
            }
        }
        awaitReady(startNode(platform_standin::store_mode::Serve, std::move(substitutions)));
        awaitReady(startNode());
        awaitPeers();
        for (const http_question& asked : questions())
            BOOST_REQUIRE(waitUntil([&] { return isSuccess(ask(node(0), asked)); }));
    }

    void setAnswer(const raw_answer& answer)
    {
        for (const auto& replica : m_replicas)
            replica->setAnswer(answer);
    }
    /// The replicas answer some requests, so that no node avoids them.
    void answerWhole()
    {
        setAnswer(wholeAnswer());
        for (unsigned i = 0; i < 2 * replicas; ++i) {
            const std::string number = std::to_string(++m_asked);
            BOOST_TEST(isSuccess(ask(node(1), question("GET", "/look/" + number))));
            BOOST_TEST(isSuccess(ask(node(1), question("POST", "/draft/" + number, "well " + number))));
        }
    }
    /// One request of each kind, all different: equal ones would count as one that crashes servers.
    std::vector<http_question> questions(std::size_t bodySize = 1)
    {
        const std::string number = std::to_string(++m_asked);
        const std::string body = number + std::string(bodySize, 'x');
        return { question("POST", "/look/" + number, body), question("POST", "/pay/" + number, body),
            question("POST", "/draft/" + number, body) };
    }
    static bool isSuccess(const http_reply& reply)
    {
        return reply.status >= 200 && reply.status < 300 && reply.isWhole;
    }
    std::size_t requestCount() const
    {
        std::size_t requests = 0;
        for (const auto& replica : m_replicas)
            requests += replica->requestCount();
        return requests;
    }
    /// Asks one request of each kind at each node while the replicas answer so. Each must be a failure of the
    /// node.
    void checkIsNoAnswer(const raw_answer& answer, const std::string& what)
    {
        play(answer, 1, [&](const std::string& asked, const http_reply& reply, std::size_t sent) {
            BOOST_TEST(
                (reply.status == 502 || reply.status == 503), what << ": " << asked << ": " << reply.status);
            BOOST_TEST(!reply.headers.contains("Lycheefront-Response-Signature"), what);
            BOOST_TEST((sent == 1U || asked.starts_with("/look")), what << ": " << asked);
        });
    }
    /// Asks one request with a body of that size of each kind at each node while the replicas answer so, and
    /// returns how many callers got a whole success.
    unsigned successes(const raw_answer& answer, std::size_t bodySize)
    {
        unsigned count = 0;
        play(answer, bodySize, [&](const std::string&, const http_reply& reply, std::size_t) {
            count += isSuccess(reply) ? 1 : 0;
        });
        return count;
    }

private:
    /// Asks one request of each kind at each node while the replicas answer so, and passes its target, its
    /// reply and the number of replicas that it has reached to `check`.
    template <class Check> void play(const raw_answer& answer, std::size_t bodySize, Check check)
    {
        for (std::size_t nodeIndex = 0; nodeIndex < 2; ++nodeIndex) {
            for (const http_question& asked : questions(bodySize)) {
                answerWhole();
                setAnswer(answer);
                const std::size_t before = requestCount();
                const http_reply reply = ask(node(nodeIndex), asked);
                const std::size_t sent = requestCount() - before;
                BOOST_TEST(sent >= 1U, asked.target << " at node " << nodeIndex << ": " << reply.status);
                check(asked.target, reply, sent);
            }
        }
    }

    std::vector<std::unique_ptr<raw_replica>> m_replicas;
    unsigned m_asked = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(broken_answers)

// Guards against an answer with a status that HTTP does not define, which callers get as an answer.
BOOST_FIXTURE_TEST_CASE(status_out_of_range_is_no_answer, broken_answer_testbed)
{
    for (const std::string status : { "000", "099", "600", "999" })
        checkIsNoAnswer(
            { joined({ "HTTP/1.1 ", status, " X\r\n", signature, sized(eventsUpTo(eventCount)) }) }, status);
}

// Guards against a body that is not the replica's: one with the heads of its chunks in it, or still encoded.
BOOST_FIXTURE_TEST_CASE(unknown_transfer_coding_is_no_answer, broken_answer_testbed)
{
    const std::string events = eventsUpTo(2);
    for (const std::string codings : { "chunked, identity", "gzip, chunked", "gzip" }) {
        const std::string bytes = joined({ "HTTP/1.1 200 OK\r\n", signature, "Transfer-Encoding: ", codings,
            "\r\n\r\n2a\r\n", events, "\r\n0\r\n\r\n" });
        const raw_answer answer { bytes, false, raw_end::Finish };
        checkIsNoAnswer(answer, codings);
    }
}

// Guards against an answer with a malformed header line, which is passed on or hides where the body begins.
BOOST_FIXTURE_TEST_CASE(malformed_header_name_is_no_answer, broken_answer_testbed)
{
    for (const std::string line : { "X Name: v", "X-Name : v", "X\x01Name: v", "X\tName: v" })
        checkIsNoAnswer(
            { joined({ "HTTP/1.1 200 OK\r\n", signature, line, "\r\n", sized(eventsUpTo(eventCount)) }) },
            line);
}

// Guards against the same in a trailer, which the node reads behind the body.
BOOST_FIXTURE_TEST_CASE(malformed_trailer_is_no_answer, broken_answer_testbed)
{
    for (const std::string line : { "X Name: v", "X-Name : v", "X\x01Name: v", "X\tName: v" }) {
        const std::string bytes = joined({ "HTTP/1.1 200 OK\r\n", signature,
            "Transfer-Encoding: chunked\r\n\r\n2a\r\n", eventsUpTo(2), "\r\n0\r\n", line, "\r\n\r\n" });
        BOOST_TEST(successes({ bytes }, 1) == 0U, line);
    }
}

// Guards against a part of an answer that callers get as whole: the replica answers a long upload at once,
// without a length, and resets the connection while the upload is still being written.
BOOST_FIXTURE_TEST_CASE(reset_during_an_upload_is_no_end_of_the_answer, broken_answer_testbed)
{
    const std::string part = eventsUpTo(2);
    for (const std::string line :
        { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n" }) {
        for (const raw_end end : { raw_end::Reset, raw_end::FinishThenReset }) {
            const raw_answer answer { joined({ line, signature, "\r\n", part }), true, end, 150ms };
            BOOST_TEST(successes(answer, longUpload) == 0U, line << static_cast<int>(end));
        }
    }
}

// Guards against the same in an answer of which the caller has a part already, since it is too large to be
// buffered.
BOOST_FIXTURE_TEST_CASE(reset_during_an_upload_cuts_a_large_answer, broken_answer_testbed)
{
    constexpr std::size_t size = 600'000; // bytes; above what a node buffers
    const raw_answer answer { joined({ "HTTP/1.1 200 OK\r\n", signature, "\r\n", std::string(size, 'x') }),
        true, raw_end::Reset, 150ms };
    BOOST_TEST(successes(answer, longUpload) == 0U);
}

// Guards against a whole answer that is dropped because it came before the end of the upload.
BOOST_FIXTURE_TEST_CASE(early_answer_that_ends_with_its_connection_is_whole, broken_answer_testbed)
{
    BOOST_TEST(successes(earlyAnswer(raw_end::Finish), longUpload) == 6U);
}

// Guards against a stream that ends with the part that came before such a reset: its events stay, and another
// engine goes on behind them.
BOOST_AUTO_TEST_CASE(stream_that_is_reset_during_its_upload_is_resumed)
{
    gateway_testbed world(1);
    world.setRetryLimits(4, 54);
    configuration_content content;
    content.maxBodyBytes = 2 * longUpload;
    world.configure(1, content);
    world.startNode();
    world.awaitReady(world.node(0));
    world.engine(0).setEvents(eventCount, eventCount);
    raw_replica broken(world.thread(), "broken");
    broken.setAnswer(
        { "HTTP/1.1 200 OK\r\n" + signature + "Content-Type: text/event-stream\r\n\r\n" + eventsUpTo(2), true,
            raw_end::Reset, 150ms });
    world.announce(broken, "engines", {});
    unsigned asked = 0;
    const bool hasMet = waitUntil([&] {
        const std::string number = std::to_string(++asked);
        const auto question
            = world.question("POST", "/chat/" + number, number + std::string(longUpload, 'x'));
        const http_reply reply = world.ask(world.node(0), question);
        BOOST_TEST(reply.status == 200);
        BOOST_TEST(reply.isWhole);
        BOOST_TEST(reply.body == eventsUpTo(eventCount));
        return broken.requestCount() >= 2;
    });
    BOOST_TEST(hasMet);
}

BOOST_AUTO_TEST_SUITE_END()

// Run as tst_heldanswers, apart from the other cases.
BOOST_AUTO_TEST_SUITE(held_answers, *boost::unit_test::disabled())

// Guards against a sound replica that counts as silent while the node waits whether its connection is reset:
// it ends its side after a whole answer and reads no more of the upload.
BOOST_FIXTURE_TEST_CASE(early_answer_of_a_replica_that_reads_no_more_is_whole, broken_answer_testbed)
{
    BOOST_TEST(successes(earlyAnswer(raw_end::Hold), longUpload) == 6U);
}

BOOST_AUTO_TEST_SUITE_END()

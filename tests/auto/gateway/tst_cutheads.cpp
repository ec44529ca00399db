#include "gatewaytestbed.h"

#include "processtools/freeport.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using platform_standin::replica_act;

namespace {

constexpr std::size_t replicas = 2; ///< of each service
constexpr std::size_t longestHead = 160; ///< bytes; all heads of the replicas are shorter
constexpr std::size_t step = 5; ///< bytes from one cut to the next
constexpr std::size_t resumableEvery = 45; ///< bytes

/// Two nodes; the first one reaches no replica and forwards to the second one.
class cut_head_testbed : public gateway_testbed {
public:
    cut_head_testbed()
        : gateway_testbed(replicas)
    {
        setRetryLimits(4, 54);
        configuration_content content;
        content.latencyMs = 200; // requests wait for another server in proportion
        configure(1, content);
        std::map<std::string, std::string> substitutions;
        for (std::size_t i = 0; i < replicas; ++i) {
            substitutions[press(i).address()] = "127.0.0.1:" + std::to_string(freePort("127.0.0.1"));
            substitutions[engine(i).address()] = "127.0.0.1:" + std::to_string(freePort("127.0.0.1"));
        }
        awaitReady(startNode(platform_standin::store_mode::Serve, std::move(substitutions)));
        awaitReady(startNode());
        awaitPeers();
        for (const http_question& asked : questions(true))
            BOOST_REQUIRE(asked.method == "HEAD" || waitUntil([&] { return isWhole(0, asked); }));
    }

    void cutHeads(std::size_t cutAt, bool isInterim)
    {
        for (std::size_t i = 0; i < replicas; ++i) {
            press(i).setHeadCut(cutAt, isInterim);
            press(i).act(replica_act::HeadCut);
            engine(i).setHeadCut(cutAt, isInterim);
            engine(i).act(replica_act::HeadCut);
        }
    }
    /// The replicas answer some requests, so that no node avoids them.
    void answerWhole()
    {
        for (std::size_t i = 0; i < replicas; ++i) {
            press(i).act(replica_act::Answer);
            engine(i).act(replica_act::Stream);
        }
        for (unsigned i = 0; i < 2 * replicas; ++i) {
            BOOST_TEST(isWhole(1, question("GET", "/look/1")));
            BOOST_TEST(isWhole(1, question("POST", "/chat/1", "well " + std::to_string(++m_asked))));
        }
    }
    /// One request of each kind, all different: equal ones would count as one that crashes servers. A stream
    /// that may be resumed waits long for another server, so only some have one.
    std::vector<http_question> questions(bool hasResumable)
    {
        const std::string number = std::to_string(++m_asked);
        std::vector<http_question> asked { question("GET", "/look/" + number),
            question("HEAD", "/look/h" + number), question("POST", "/pay/" + number, "5"),
            question("POST", "/draft/1", "hi " + number) };
        if (hasResumable)
            asked.push_back(question("POST", "/chat/1", "hi " + number));
        return asked;
    }
    bool isWhole(std::size_t nodeIndex, const http_question& asked)
    {
        const http_reply reply = ask(node(nodeIndex), asked);
        return reply.status >= 200 && reply.status < 300 && reply.isWhole;
    }
    std::size_t requestCount()
    {
        std::size_t requests = 0;
        for (std::size_t i = 0; i < replicas; ++i)
            requests += press(i).requestCount() + engine(i).requestCount();
        return requests;
    }

private:
    unsigned m_asked = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(cut_heads)

// Guards against a 200 without a body, framed as whole, after a server has closed in the middle of its head:
// at a server's node and by way of a peer, for each kind of request.
BOOST_FIXTURE_TEST_CASE(head_that_stops_half_way_is_no_answer, cut_head_testbed)
{
    const std::size_t before = requestCount();
    std::size_t asked = 0;
    for (const bool isInterim : { false, true }) {
        for (std::size_t cutAt = 1; cutAt < longestHead; cutAt += step) {
            const std::size_t nodeIndex = cutAt % 2;
            for (const http_question& question : questions(cutAt % resumableEvery == 1)) {
                ++asked;
                answerWhole();
                cutHeads(cutAt, isInterim);
                const http_reply reply = ask(node(nodeIndex), question);
                BOOST_TEST((reply.status == 502 || reply.status == 503),
                    question.method << ' ' << question.target << " at node " << nodeIndex << ", cut at "
                                    << cutAt << ": " << reply.status);
            }
        }
    }
    BOOST_TEST(requestCount() - before >= asked);
}

BOOST_AUTO_TEST_SUITE_END()

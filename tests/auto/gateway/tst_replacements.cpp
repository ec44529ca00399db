#include "rawcaller.h"
#include "stalltestbed.h"

#include "platformstandin/faultproxy.h"
#include "processtools/freeport.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <thread>

using platform_standin::fault_proxy;
using platform_standin::largeSize;
using platform_standin::link_state;
using platform_standin::replica_act;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t replicas = stall_testbed::replicas;
constexpr unsigned streams = 18;
constexpr unsigned lookups = 8;
constexpr std::size_t pathAddress = 240; ///< index of the proxies' address, behind those of the nodes
const std::string repeatablePath = "/chat/"; // two attempts

class replacement_testbed : public stall_testbed {
public:
    /// Waits until that many servers of both services may get requests.
    void awaitUsable(std::size_t servers)
    {
        BOOST_REQUIRE(waitUntil([&] {
            return metrics(node(0)).find("\nlycheefront_servers_usable " + std::to_string(servers) + '\n')
                != std::string::npos;
        }));
    }
    bool hasLogged(const std::string& text) { return log().find(text) != std::string::npos; }
    /// Waits until the fixed part of the retries is there, which a process has only after a window.
    void awaitExtraRetries()
    {
        BOOST_REQUIRE(waitUntil([&] {
            const std::string text = metrics(node(0));
            const std::string name = "\nlycheefront_uptime_seconds ";
            const std::size_t at = text.find(name);
            return at != std::string::npos && std::stod(text.substr(at + name.size())) > 10.5;
        }));
    }
};

/// Two nodes; the first one reaches the engines by proxies.
class proxied_testbed : public replacement_testbed {
public:
    /// `isForBoth`: the other node, too, by the same ones.
    explicit proxied_testbed(bool isForBoth)
    {
        configure(1, shortTargets());
        std::map<std::string, std::string> substitutions;
        for (std::size_t i = 0; i < replicas; ++i) {
            m_proxies.push_back(
                std::make_unique<fault_proxy>(m_proxyThread, engine(i).port(), nodeAddress(pathAddress)));
            substitutions[engine(i).address()] = m_proxies.back()->address();
        }
        // Before its peer, of which it could copy the addresses of the replicas behind the proxies.
        awaitReady(startNode(platform_standin::store_mode::Serve, substitutions));
        if (!isForBoth)
            substitutions.clear();
        awaitReady(startNode(platform_standin::store_mode::Serve, std::move(substitutions)));
        awaitPeers();
    }
    ~proxied_testbed() { m_proxyThread.stop(); }
    proxied_testbed(const proxied_testbed&) = delete;
    proxied_testbed& operator=(const proxied_testbed&) = delete;

    void setPaths(link_state state)
    {
        for (const auto& proxy : m_proxies)
            proxy->set(state);
    }

private:
    platform_standin::standin_thread m_proxyThread;
    std::vector<std::unique_ptr<fault_proxy>> m_proxies;
};

struct both_proxied : proxied_testbed {
    both_proxied()
        : proxied_testbed(true)
    {
    }
};

struct first_proxied : proxied_testbed {
    first_proxied()
        : proxied_testbed(false)
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(replacements)

// Guards against ending a large answer for silence once its first part is with the caller.
BOOST_FIXTURE_TEST_CASE(large_answers_outlast_a_silence, replacement_testbed)
{
    setRetryLimits(4, 54);
    configure(1, shortTargets());
    startOne();
    for (std::size_t i = 0; i < replicas; ++i) {
        press(i).act(replica_act::Large);
        press(i).setEventInterval(2500ms);
    }
    const http_reply reply = ask(node(0), question("GET", "/look/1"));
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.isWhole);
    BOOST_TEST(reply.body.size() == largeSize);
}

// Guards against taking a caller that reads late for a server that is silent.
BOOST_FIXTURE_TEST_CASE(large_answers_reach_callers_that_read_late, replacement_testbed)
{
    setRetryLimits(4, 54);
    configure(1, shortTargets());
    startOne();
    for (std::size_t i = 0; i < replicas; ++i) {
        press(i).act(replica_act::Large);
        press(i).setEventInterval(0ms);
    }
    raw_caller caller(node(0));
    caller.write("GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                 "Lycheefront-Attempt-Id: late\r\nLycheefront-Deadline-Ms: 30000\r\n\r\n");
    std::this_thread::sleep_for(2500ms);
    BOOST_TEST(caller.readSome(largeSize) == largeSize);
    BOOST_TEST(!hasLogged("\"name\":\"answer_cut\""));
}

// Guards against streams that wait for a retry behind others that no server can take.
BOOST_FIXTURE_TEST_CASE(streams_that_nothing_can_replace_do_not_hold_up_others, replacement_testbed)
{
    constexpr unsigned ofOneEngine = 8; // more than the node's part of the fixed retries
    constexpr unsigned longEvents = 60;
    setRetryLimits(0, 54);
    configure(1, shortTargets());
    for (std::size_t i = 0; i < replicas; ++i)
        engine(i).setEvents(longEvents, 0);
    withdraw(engine(1));
    withdraw(engine(2));
    replica_entry other;
    other.softwareVersion = "v2";
    announce(engine(0), "engines", other);
    startOne();
    awaitExtraRetries();
    auto irreplaceable = begin("POST", repeatablePath, ofOneEngine);
    awaitFirstEvents(ofOneEngine);
    other.state = "draining";
    announce(engine(0), "engines", other);
    awaitUsable(replicas);
    announce(engine(1), "engines");
    awaitUsable(replicas + 1);
    auto replaceable = begin("POST", repeatablePath, ofOneEngine);
    awaitFirstEvents(2 * ofOneEngine);
    BOOST_REQUIRE(engine(1).requestCount() == ofOneEngine);
    announce(engine(2), "engines");
    awaitUsable(replicas + 2);
    // One that is known to run, by a stream that stays there.
    auto running = begin("POST", "/draft/", 1);
    awaitFirstEvents(2 * ofOneEngine + 1);
    BOOST_REQUIRE(engine(2).requestCount() == 1u);
    engine(0).stall();
    std::this_thread::sleep_for(300ms);
    engine(1).stall();
    std::this_thread::sleep_for(3000ms);
    const std::size_t replaced = engine(2).requestCount();
    resumeAll();
    BOOST_TEST(wholeStreams(irreplaceable, longEvents) == ofOneEngine);
    BOOST_TEST(wholeStreams(replaceable, longEvents) == ofOneEngine);
    BOOST_TEST(wholeStreams(running, longEvents) == 1u);
    BOOST_TEST(replaced > 1u);
}

// Guards against requests that stop waiting for a retry and find that another has taken it meanwhile.
BOOST_FIXTURE_TEST_CASE(requests_cut_together_wait_for_their_retries, replacement_testbed)
{
    configuration_content content;
    content.latencyMs = 4000;
    configure(1, content);
    withdraw(press(1));
    withdraw(press(2));
    startOne();
    stallAll();
    press(0).act(replica_act::Cut);
    auto replies = begin("GET", "/look/", lookups);
    BOOST_REQUIRE(waitUntil([&] { return press(0).requestCount() == lookups; }));
    announce(press(1), "press");
    announce(press(2), "press");
    awaitUsable(2 * replicas);
    press(0).resume();
    // The crash check of the server holds all of them for a moment, and they go on in the same instant.
    std::this_thread::sleep_for(300ms);
    press(0).act(replica_act::Answer);
    unsigned givenUp = 0;
    for (auto& reply : replies)
        givenUp += reply.wait_for(0ms) == std::future_status::ready ? 1 : 0;
    BOOST_TEST(givenUp == 0);
    auto others = begin("GET", "/look/", 8 * lookups); // these earn the retries
    std::this_thread::sleep_for(200ms);
    resumeAll();
    unsigned served = 0;
    for (auto& reply : replies)
        served += reply.get().status == 200 ? 1 : 0;
    for (auto& reply : others)
        reply.get();
    BOOST_TEST(served == lookups);
}

// Guards against a crash at the end of a process with attempts that receive no data.
BOOST_FIXTURE_TEST_CASE(a_process_with_stalled_attempts_ends_in_order, replacement_testbed)
{
    configure(1, shortTargets());
    startOne();
    auto replies = begin("POST", repeatablePath, streams);
    awaitFirstEvents(streams);
    stallAll();
    BOOST_REQUIRE(waitUntil([&] { return hasLogged("attempt_stalled"); }));
    node(0).process->sendSignal(SIGTERM);
    BOOST_TEST(wholeStreams(replies) == 0);
    BOOST_TEST(node(0).process->wait() == 0);
    BOOST_TEST(hasLogged("\"name\":\"stopped\""));
    BOOST_TEST(!hasLogged("process_failed"));
}

// Guards against handing streams of servers that are out of reach for all nodes to a peer, which can only
// refuse them.
BOOST_FIXTURE_TEST_CASE(streams_outlast_servers_that_no_node_reaches, both_proxied)
{
    auto replies = begin("POST", repeatablePath, streams);
    awaitFirstEvents(streams);
    stallAll();
    setPaths(link_state::ClosedToNew);
    std::this_thread::sleep_for(3000ms);
    setPaths(link_state::Open);
    resumeAll();
    BOOST_TEST(wholeStreams(replies) == streams);
}

// Guards against handing streams to a peer that has no retries for them, where the path of this node is
// interrupted for a moment.
BOOST_FIXTURE_TEST_CASE(streams_outlast_an_interrupted_path_of_their_node, first_proxied)
{
    auto replies = begin("POST", repeatablePath, streams);
    awaitFirstEvents(streams);
    stallAll();
    setPaths(link_state::ClosedToNew);
    std::this_thread::sleep_for(3000ms);
    setPaths(link_state::Open);
    resumeAll();
    BOOST_TEST(wholeStreams(replies) == streams);
}

BOOST_AUTO_TEST_SUITE_END()

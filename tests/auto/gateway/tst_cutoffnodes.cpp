#include "gatewaytestbed.h"
#include "rawcaller.h"

#include "platformstandin/faultproxy.h"
#include "processtools/freeport.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <vector>

using platform_standin::eventsUpTo;
using platform_standin::fault_proxy;
using platform_standin::link_state;

namespace {

constexpr std::size_t replicas = 3; ///< of each service
constexpr unsigned events = 20; ///< of a stream
constexpr unsigned rounds = 12;
constexpr unsigned streams = 6; ///< under way at a node that is cut off
constexpr std::size_t pathAddress = 240; ///< index of the proxies' address, behind those of the nodes

/// Three nodes; the first one reaches the replicas by proxies of its own.
class cut_testbed : public gateway_testbed {
public:
    /// `retriesPerRequest`: as on the platform's sheets, unless servers have to fail right after the start.
    explicit cut_testbed(double retriesPerRequest = 0.2)
        : gateway_testbed(replicas)
    {
        constexpr double extraRetries = 54;
        setRetryLimits(retriesPerRequest, extraRetries);
        configure(1);
        std::map<std::string, std::string> substitutions;
        for (std::size_t i = 0; i < replicas; ++i) {
            addProxy(press(i), substitutions);
            addProxy(engine(i), substitutions);
            engine(i).setEvents(events, 0);
        }
        // Before its peers, of which it could copy the addresses of the replicas behind the proxies.
        awaitReady(startNode(platform_standin::store_mode::Serve, std::move(substitutions)));
        startNode();
        startNode();
        for (std::size_t i = 0; i < nodeCount(); ++i)
            awaitReady(node(i));
        BOOST_REQUIRE(node(0).process->log().find("view_copy_taken") == std::string::npos);
    }
    ~cut_testbed() { m_proxyThread.stop(); }
    cut_testbed(const cut_testbed&) = delete;
    cut_testbed& operator=(const cut_testbed&) = delete;

    /// Sets the state of all paths from the first node to the replicas.
    void setPaths(link_state state)
    {
        for (const auto& proxy : m_proxies)
            proxy->set(state);
    }
    /// Sets the state of the paths from the first node to all replicas of both services but the first ones.
    void setPathsButFirst(link_state state)
    {
        for (std::size_t i = 2; i < m_proxies.size(); ++i)
            m_proxies[i]->set(state);
    }
    /// Whether a call of each kind is served at the first node.
    bool servesEachKind()
    {
        const http_reply chat = ask(node(0), question("POST", "/chat/1", "hi"));
        return isServed(question("GET", "/look/1")) && isServed(question("POST", "/pay/1", "5"))
            && chat.status == 200 && chat.isWhole && chat.body == eventsUpTo(events);
    }
    /// Rounds of calls at the first node in which not all were served.
    unsigned failedRounds()
    {
        unsigned failed = 0;
        for (unsigned i = 0; i < rounds; ++i)
            failed += servesEachKind() ? 0 : 1;
        return failed;
    }
    /// Cuts the first node off and waits until its callers are served by way of its peers.
    void cutOff()
    {
        setPaths(link_state::Refusing);
        setPaths(link_state::ClosedToNew);
        BOOST_REQUIRE(waitUntil([&] {
            servesEachKind();
            return node(0).process->log().find("\"service\":\"press\",\"server\"") != std::string::npos
                && node(0).process->log().find("forwarded_to") != std::string::npos && servesEachKind();
        }));
    }
    /// Requests that have reached the plain service.
    std::size_t pressRequests()
    {
        std::size_t requests = 0;
        for (std::size_t i = 0; i < replicas; ++i)
            requests += press(i).requestCount();
        return requests;
    }
    bool isServed(const http_question& question)
    {
        const http_reply reply = ask(node(0), question);
        return reply.status == 200 && reply.isWhole;
    }
    /// Whether a payment has reached more than one replica.
    bool hasRepeatedPayment()
    {
        std::map<std::string, unsigned> runs;
        for (std::size_t i = 0; i < replicas; ++i) {
            for (const auto& request : press(i).requests()) {
                if (request.target.starts_with("/pay/"))
                    ++runs[request.id];
            }
        }
        return std::ranges::any_of(runs, [](const auto& entry) { return entry.second > 1; });
    }

private:
    void addProxy(const platform_standin::replica_standin& replica, std::map<std::string, std::string>& texts)
    {
        m_proxies.push_back(
            std::make_unique<fault_proxy>(m_proxyThread, replica.port(), nodeAddress(pathAddress)));
        texts[replica.address()] = m_proxies.back()->address();
    }

    platform_standin::standin_thread m_proxyThread;
    std::vector<std::unique_ptr<fault_proxy>> m_proxies;
};

/// Cuts the first node off, by these states one after the other, and requires that its callers are served
/// like all others once it has found out.
void checkCut(cut_testbed& world, const std::vector<link_state>& states)
{
    BOOST_REQUIRE(world.failedRounds() == 0u);
    for (const link_state state : states)
        world.setPaths(state);
    // The calls during which the node finds out may fail.
    BOOST_REQUIRE(waitUntil([&] { return world.servesEachKind(); }));
    BOOST_TEST(world.failedRounds() == 0u);
    BOOST_TEST(!world.hasRepeatedPayment());
    world.setPaths(link_state::Open);
    BOOST_TEST(waitUntil([&] {
        world.servesEachKind();
        return world.node(0).process->log().find("service_reached") != std::string::npos;
    }));
    BOOST_TEST(world.failedRounds() == 0u);
    BOOST_TEST(!world.hasRepeatedPayment());
}

/// Cuts the first node off in the middle of its streams and returns how many are whole. Only the nodes in
/// `earning` have retries left.
unsigned streamsThatGoOn(const std::vector<std::size_t>& earning)
{
    constexpr double retriesPerRequest = 4;
    constexpr auto eventInterval = std::chrono::milliseconds(100);
    cut_testbed world(retriesPerRequest);
    world.awaitPeers();
    for (std::size_t i = 0; i < replicas; ++i)
        world.engine(i).setEventInterval(eventInterval);
    const auto begin = [&world](std::size_t at, const std::string& target) {
        std::vector<std::future<bool>> replies;
        replies.reserve(streams);
        for (unsigned i = 0; i < streams; ++i) {
            const http_question asked = world.question("POST", target, "prompt " + std::to_string(i));
            replies.push_back(std::async(std::launch::async, [&world, at, asked] {
                const http_reply reply = world.ask(world.node(at), asked);
                return reply.status == 200 && reply.isWhole && reply.body == eventsUpTo(events);
            }));
        }
        const std::string line
            = "lycheefront_first_event_seconds_count{service=\"engines\"} " + std::to_string(streams);
        BOOST_REQUIRE(
            waitUntil([&] { return world.metrics(world.node(at)).find(line) != std::string::npos; }));
        return replies;
    };
    std::vector<std::vector<std::future<bool>>> others;
    others.reserve(earning.size());
    for (const std::size_t at : earning)
        others.push_back(begin(at, "/draft/1"));
    auto replies = begin(0, "/chat/1");
    world.setPaths(link_state::Refusing);
    world.setPaths(link_state::ClosedToNew);
    const auto whole = [](auto& all) {
        return std::ranges::count_if(all, [](std::future<bool>& reply) { return reply.get(); });
    };
    for (auto& ofNode : others)
        BOOST_TEST(whole(ofNode) == streams);
    return static_cast<unsigned>(whole(replies));
}

} // namespace

// A node loses its paths to all backend servers, while callers, the store and its peers still reach it.
BOOST_AUTO_TEST_SUITE(cut_off_nodes)

// Guards against refusing the callers of a node whose connections to all backend servers went silent.
BOOST_FIXTURE_TEST_CASE(callers_are_served_while_connections_to_all_servers_are_silent, cut_testbed)
{
    checkCut(*this, { link_state::Lost });
}

// Guards against refusing the callers of a node whose new connections to all backend servers hang.
BOOST_FIXTURE_TEST_CASE(callers_are_served_while_connections_to_all_servers_hang, cut_testbed)
{
    checkCut(*this, { link_state::Refusing, link_state::Lost });
}

// Guards against refusing the callers of a node whose connections to all backend servers are refused.
BOOST_FIXTURE_TEST_CASE(callers_are_served_while_connections_to_all_servers_are_refused, cut_testbed)
{
    checkCut(*this, { link_state::Refusing, link_state::ClosedToNew });
}

// Guards against callers of a node who wait for servers, one after the other, that only this node has lost.
BOOST_FIXTURE_TEST_CASE(callers_are_served_while_some_servers_are_out_of_reach, cut_testbed)
{
    for (const link_state state : { link_state::Lost, link_state::ClosedToNew }) {
        setPathsButFirst(link_state::Refusing);
        setPathsButFirst(state);
        BOOST_REQUIRE(waitUntil([&] { return servesEachKind(); }));
        BOOST_TEST(failedRounds() == 0u);
        setPathsButFirst(link_state::Open);
        BOOST_REQUIRE(waitUntil([&] { return servesEachKind(); }));
    }
    BOOST_TEST(!hasRepeatedPayment());
}

// Guards against calls that hang or fail for want of a new connection while the open ones still live.
BOOST_FIXTURE_TEST_CASE(parallel_callers_are_served_while_only_open_connections_live_on, cut_testbed)
{
    BOOST_REQUIRE(failedRounds() == 0u);
    setPaths(link_state::ClosedToNew);
    BOOST_REQUIRE(waitUntil([&] { return servesEachKind(); }));
    constexpr std::size_t callers = 6;
    std::vector<std::future<bool>> calls;
    for (std::size_t i = 0; i < callers; ++i) {
        const http_question chat = question("POST", "/chat/1", "hi");
        calls.push_back(std::async(std::launch::async, [this, chat] {
            const http_reply reply = ask(node(0), chat);
            return reply.status == 200 && reply.isWhole;
        }));
    }
    for (auto& call : calls)
        BOOST_TEST(call.get());
    BOOST_TEST(!hasRepeatedPayment());
}

// Guards against cutting the streams of a node that loses its paths, before it knows that its peers still
// reach the servers.
BOOST_AUTO_TEST_CASE(streams_outlast_the_loss_of_their_nodes_paths)
{
    BOOST_TEST(streamsThatGoOn({ 1, 2 }) == streams);
}

// Guards against cutting streams that were sent to a peer without a retry left, while another peer has some.
BOOST_AUTO_TEST_CASE(streams_go_on_by_way_of_a_second_peer)
{
    BOOST_TEST(streamsThatGoOn({ 2 }) == streams);
}

// Guards against a second run of a payment whose peer dies, and against a "not run" that is not true.
BOOST_FIXTURE_TEST_CASE(a_payment_whose_peer_dies_is_not_sent_again, cut_testbed)
{
    cutOff();
    for (std::size_t i = 0; i < replicas; ++i)
        press(i).act(platform_standin::replica_act::Hang);
    const std::size_t before = pressRequests();
    auto running
        = std::async(std::launch::async, [&] { return ask(node(0), question("POST", "/pay/1", "5")); });
    BOOST_REQUIRE(waitUntil([&] { return pressRequests() > before; }));
    node(1).process->kill();
    node(2).process->kill();
    const http_reply reply = running.get();
    BOOST_TEST((reply.status == 502 || reply.status == 504));
    BOOST_TEST(pressRequests() == before + 1);
}

// Guards against requests of a node to a server that has said that it leaves in an answer by way of a peer.
BOOST_FIXTURE_TEST_CASE(leaving_server_is_known_from_a_peers_answer, cut_testbed)
{
    cutOff();
    press(0).announceLeaving(true);
    // Each peer hears of it by its first answer of that server, and passes that answer on.
    const auto isHeard
        = [&] { return node(0).process->log().find("\"name\":\"server_leaves\"") != std::string::npos; };
    BOOST_REQUIRE(waitUntil([&] {
        isServed(question("GET", "/look/1"));
        return isHeard();
    }));
    setPaths(link_state::Open);
    BOOST_REQUIRE(
        waitUntil([&] { return node(0).process->log().find("service_reached") != std::string::npos; }));
    const std::size_t before = press(0).requestCount();
    BOOST_TEST(failedRounds() == 0u);
    BOOST_TEST(press(0).requestCount() == before);
}

// Guards against work that goes on for a caller who has left the forwarding node.
BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_ends_its_forwarded_request, cut_testbed)
{
    cutOff();
    for (std::size_t i = 0; i < replicas; ++i)
        press(i).act(platform_standin::replica_act::Hang);
    const std::size_t before = pressRequests();
    raw_caller caller(node(0));
    caller.write("POST /pay/1 HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
                 "Lycheefront-Attempt-Id: left-1\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(waitUntil([&] { return pressRequests() > before; }));
    caller.close();
    BOOST_TEST(waitUntil([&] {
        unsigned abandoned = 0;
        for (std::size_t i = 0; i < replicas; ++i)
            abandoned += press(i).abandoned();
        return abandoned > 0;
    }));
}

// Guards against callers who reach the listener for forwarded requests.
BOOST_FIXTURE_TEST_CASE(requests_that_no_peer_has_forwarded_are_not_served, cut_testbed)
{
    const std::size_t before = pressRequests();
    for (const std::string hop : { "", "1-1-0", "no hop" }) {
        http_question forged = question("GET", "/look/1");
        forged.address = node(1).address;
        if (!hop.empty())
            forged.headers["Forward-Hop"] = hop;
        BOOST_TEST(askHttp(static_cast<unsigned short>(peerPort() + 1), forged).status == 0);
        // At the listener for callers the header means nothing, and it goes no further.
        BOOST_TEST(ask(node(1), forged).status == 200);
    }
    BOOST_TEST(pressRequests() == before + 3);
    for (std::size_t i = 0; i < replicas; ++i) {
        for (const auto& request : press(i).requests())
            BOOST_TEST(!request.headers.contains("forward-hop"));
    }
}

// Guards against streams that go on at another software version by way of a peer, within an answer and over
// tries.
BOOST_AUTO_TEST_CASE(forwarded_streams_stay_at_the_version_that_began_them)
{
    constexpr double retriesPerRequest = 4;
    cut_testbed world(retriesPerRequest);
    constexpr unsigned had = 8; // events
    constexpr unsigned streams = 12;
    std::map<std::string, std::string> versions;
    for (std::size_t i = 0; i < replicas; ++i) {
        replica_entry entry;
        entry.softwareVersion = i == 0 ? "v1" : "v2";
        versions[world.engine(i).id() + ".1"] = entry.softwareVersion;
        world.announce(world.engine(i), "engines", entry);
    }
    for (std::size_t i = 0; i < world.nodeCount(); ++i)
        BOOST_REQUIRE(waitUntil([&] {
            return world.node(i).process->log().find("\"versions\":\"v1 v2\"") != std::string::npos;
        }));
    // The peer, and within an answer also the entry node, has to go on elsewhere.
    world.engine(1).setEvents(events, had);
    world.engine(1).act(platform_standin::replica_act::StreamCutOnce);
    world.cutOff();
    std::set<std::string> begunAt;
    for (unsigned i = 0; i < streams; ++i) {
        http_question chat = world.question("POST", "/chat/1", std::to_string(i));
        const std::string begun = chat.headers["Lycheefront-Attempt-Id"];
        const http_reply first = world.ask(world.node(0), chat);
        BOOST_REQUIRE(first.status == 200);
        BOOST_TEST(!first.headers.contains("Forward-Stream-Version"));
        const std::string version = versions.at(first.headers.at("Lycheefront-Response-Signature"));
        begunAt.insert(version);
        chat.headers["Last-Event-Id"] = std::to_string(had);
        chat.headers["Resumes"] = begun;
        for (std::size_t at = 0; at < world.nodeCount(); ++at) {
            chat.headers["Lycheefront-Attempt-Id"] = begun + "-" + std::to_string(at);
            const http_reply rest = world.ask(world.node(at), chat);
            BOOST_TEST(rest.status == 200);
            if (rest.status == 200)
                BOOST_TEST(versions.at(rest.headers.at("Lycheefront-Response-Signature")) == version);
        }
    }
    BOOST_TEST(begunAt.size() == 2u);
    // Answers that went on after their first server had broken off.
    std::map<std::string, std::set<std::string>> ranAt;
    std::set<std::string> wentOn;
    for (std::size_t i = 0; i < replicas; ++i) {
        for (const auto& request : world.engine(i).requests()) {
            if (request.headers.contains("resumes"))
                continue;
            ranAt[request.id].insert(versions.at(world.engine(i).id() + ".1"));
            if (request.headers.contains("last-event-id"))
                wentOn.insert(request.id);
        }
    }
    BOOST_TEST(!wentOn.empty());
    for (const std::string& id : wentOn)
        BOOST_TEST(ranAt[id].size() == 1u);
}

// Guards against a configuration that goes back for the callers of a node whose peers have an older one.
BOOST_FIXTURE_TEST_CASE(peers_with_another_configuration_take_no_request, cut_testbed)
{
    cutOff();
    for (std::size_t i = 1; i < nodeCount(); ++i)
        store().setMode(node(i).storePort, platform_standin::store_mode::Refuse);
    const std::size_t before = pressRequests();
    configure(2, true);
    auto question = this->question("GET", "/look/1");
    question.headers["Authorization"] = "Token key-2";
    const bool isServed = waitUntil([&] {
        question.headers["Lycheefront-Attempt-Id"] += "x";
        return ask(node(0), question).status == 200;
    });
    // Peers fetch the new version from each other; until then they refuse, with "not run".
    BOOST_TEST(isServed);
    BOOST_TEST(pressRequests() == before + 1);
}

// Guards against a stream that is cut because the configuration has changed since it began, when it has to go
// on by way of a peer.
BOOST_AUTO_TEST_CASE(streams_from_before_a_change_of_the_configuration_go_on_by_way_of_a_peer)
{
    constexpr double retriesPerRequest = 4;
    cut_testbed world(retriesPerRequest);
    configuration_content content;
    content.latencyMs = 500;
    content.gapMs = 250;
    const auto putInForce = [&](unsigned version) {
        world.configure(version, content);
        for (std::size_t i = 0; i < world.nodeCount(); ++i)
            BOOST_REQUIRE(waitUntil([&] {
                return world.metrics(world.node(i))
                           .find("lycheefront_configuration_version " + std::to_string(version))
                    != std::string::npos;
            }));
    };
    putInForce(2);
    for (std::size_t i = 0; i < replicas; ++i)
        world.engine(i).setEventInterval(std::chrono::milliseconds(150));
    constexpr std::size_t streams = 6;
    std::vector<std::future<http_reply>> replies;
    for (std::size_t i = 0; i < streams; ++i) {
        const http_question chat = world.question("POST", "/chat/1", std::to_string(i));
        replies.push_back(
            std::async(std::launch::async, [&world, chat] { return world.ask(world.node(0), chat); }));
    }
    BOOST_REQUIRE(waitUntil([&] {
        return world.metrics(world.node(0))
                   .find("lycheefront_first_event_seconds_count{service=\"engines\"} "
                       + std::to_string(streams))
            != std::string::npos;
    }));
    putInForce(3);
    world.setPaths(link_state::Lost);
    for (auto& reply : replies) {
        const http_reply got = reply.get();
        BOOST_TEST((got.status == 200 && got.isWhole && got.body == eventsUpTo(events)));
    }
    BOOST_TEST(world.node(0).process->log().find("forwarded_to") != std::string::npos);
}

// Guards against a "not run" for a request that a peer may have run, and against a refusal of a peer that
// says less than it knows.
BOOST_FIXTURE_TEST_CASE(callers_are_told_what_the_peer_knows_of_their_request, cut_testbed)
{
    cutOff();
    for (std::size_t i = 0; i < replicas; ++i)
        press(i).act(platform_standin::replica_act::Shed);
    const http_reply refused = ask(node(0), question("POST", "/pay/1", "5"));
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.headers.contains("Retry-After"));
    for (std::size_t i = 0; i < replicas; ++i)
        press(i).act(platform_standin::replica_act::Cut);
    const http_reply cut = ask(node(0), question("POST", "/pay/1", "5"));
    BOOST_TEST(cut.status == 502);
    BOOST_TEST(!cut.headers.contains("Retry-After"));
}

BOOST_AUTO_TEST_SUITE_END()

#include "gatewaytestbed.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using platform_standin::replica_standin;

namespace {

constexpr std::size_t engines = 9;
constexpr std::size_t nodes = 3;
constexpr unsigned crashingRequests = 15; ///< sent one after the other, each at another node than the last
constexpr unsigned maxCrashes = 5; ///< servers that one part may end in all
constexpr double minServed = 0.95; ///< part of the sound requests
// Time between two crashing requests: the news of a crash reaches all nodes.
constexpr auto requestInterval = std::chrono::milliseconds(150);
const std::string crashingPart = "bad1";
const std::string path = "/draft/1"; // the route's streams may not be repeated
const std::string repeatablePath = "/chat/1";

/// How often callers were served.
struct share_served {
    unsigned served = 0;
    unsigned asked = 0;

    double share() const { return asked == 0 ? 1 : static_cast<double>(served) / asked; }
};

/// Nodes before engines that crash when they begin to answer a prompt with a certain part.
class crashing_testbed : public gateway_testbed {
public:
    crashing_testbed()
        : gateway_testbed(engines)
    {
        setRetryLimits(4, 54);
        configure(1);
        for (std::size_t i = 0; i < nodes; ++i)
            startNode();
        for (std::size_t i = 0; i < nodes; ++i)
            awaitReady(node(i));
        awaitPeers();
    }

    void crashOn(const std::set<std::string>& parts,
        replica_standin::crash_answer answer = replica_standin::crash_answer::None)
    {
        for (std::size_t i = 0; i < engines; ++i)
            engine(i).crashOn(parts, answer);
    }
    std::size_t crashes()
    {
        std::size_t total = 0;
        for (std::size_t i = 0; i < engines; ++i)
            total += engine(i).crashes();
        return total;
    }
    /// Asks with these shared parts, and a last part and a body of its own.
    http_reply ask(std::size_t nodeIndex, const std::string& target, const std::vector<std::string>& parts)
    {
        return gateway_testbed::ask(node(nodeIndex), prompt(target, parts));
    }
    http_question prompt(const std::string& target, const std::vector<std::string>& parts)
    {
        const std::string number = std::to_string(++m_prompts);
        http_question asked = question("POST", target, "prompt " + number);
        std::string prompt;
        for (const std::string& part : parts)
            prompt += part + ":400,";
        asked.headers["Lycheefront-Prompt-Prefix"] = prompt + "ff" + number + ":100";
        asked.headers["Lycheefront-Token-Usage"] = "1000,50";
        return asked;
    }
    bool isServed(std::size_t nodeIndex, const std::vector<std::string>& parts)
    {
        const http_reply reply = ask(nodeIndex, path, parts);
        return reply.status == 200 && reply.isWhole && reply.body == platform_standin::eventsUpTo(5);
    }
    /// Sends crashing requests at one node after the other and, at the other nodes, sound ones that share all
    /// parts but the crashing one. Returns how the sound ones were served.
    share_served play(const std::string& target, const std::vector<std::string>& crashingParts,
        const std::vector<std::string>& soundParts, unsigned requests = crashingRequests)
    {
        share_served sound;
        for (unsigned i = 0; i < requests; ++i) {
            const http_reply reply = ask(i % nodes, target, crashingParts);
            BOOST_TEST(reply.status != 200);
            for (unsigned other = 1; other < nodes; ++other) {
                ++sound.asked;
                sound.served += isServed((i + other) % nodes, soundParts) ? 1 : 0;
            }
            std::this_thread::sleep_for(requestInterval);
        }
        return sound;
    }
    /// Waits until the store holds which parts are refused.
    void awaitRecord()
    {
        BOOST_REQUIRE(waitUntil([&] { return store().value("crashing-parts").has_value(); }));
    }

private:
    unsigned m_prompts = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_parts)

// Guards against requests with one part in their prompts, no two alike, that crash server after server.
BOOST_AUTO_TEST_CASE(requests_that_share_a_crashing_part_end_few_servers)
{
    crashing_testbed world;
    world.crashOn({ crashingPart });
    const share_served sound = world.play(path, { "a1", crashingPart, "c1" }, { "a1", "c1" });
    BOOST_TEST(world.crashes() <= maxCrashes);
    BOOST_TEST(sound.share() >= minServed);
}

// Guards against the same where the part is the first one, on a route whose streams are repeated.
BOOST_AUTO_TEST_CASE(a_crashing_first_part_ends_few_servers)
{
    crashing_testbed world;
    world.crashOn({ crashingPart });
    const share_served sound = world.play(repeatablePath, { crashingPart, "c1" }, { "a1", "c1" });
    BOOST_TEST(world.crashes() <= maxCrashes);
    BOOST_TEST(sound.share() >= minServed);
}

// Guards against a crash behind a head without length that passes for a whole, empty stream.
BOOST_AUTO_TEST_CASE(a_crash_after_the_head_of_an_answer_counts)
{
    crashing_testbed world;
    world.crashOn({ crashingPart }, replica_standin::crash_answer::Head);
    const share_served sound = world.play(path, { "a1", crashingPart, "c1" }, { "a1", "c1" });
    BOOST_TEST(world.crashes() <= maxCrashes);
    BOOST_TEST(sound.share() >= minServed);
}

// Guards against two crashing parts of which one hides the other.
BOOST_AUTO_TEST_CASE(each_of_two_crashing_parts_ends_few_servers)
{
    crashing_testbed world;
    world.crashOn({ crashingPart, "bad2" });
    world.play(path, { "a1", crashingPart, "c1" }, { "a1", "c1" });
    const std::size_t first = world.crashes();
    BOOST_TEST(first <= maxCrashes);
    const share_served sound = world.play(path, { "a1", "bad2", "c1" }, { "a1", "c1" });
    BOOST_TEST(world.crashes() - first <= maxCrashes);
    BOOST_TEST(sound.share() >= minServed);
}

// Guards against a fleet that forgets which part crashes servers when all nodes are killed at once.
BOOST_AUTO_TEST_CASE(a_crashing_part_is_known_after_a_kill_of_all_nodes)
{
    crashing_testbed world;
    world.crashOn({ crashingPart });
    world.play(path, { "a1", crashingPart, "c1" }, { "a1", "c1" });
    const std::size_t before = world.crashes();
    BOOST_TEST(before <= maxCrashes);
    world.awaitRecord();
    for (unsigned kills = 0; kills < 3; ++kills) {
        world.killAll();
        world.play(path, { "a1", crashingPart, "c1" }, { "a1", "c1" }, nodes);
    }
    BOOST_TEST(world.crashes() == before);
}

// Guards against a node that starts without knowing what the others have learned.
BOOST_AUTO_TEST_CASE(a_node_that_starts_later_refuses_a_crashing_part)
{
    crashing_testbed world;
    world.crashOn({ crashingPart });
    world.play(path, { "a1", crashingPart, "c1" }, { "a1", "c1" });
    const std::size_t before = world.crashes();
    world.awaitReady(world.startNode());
    BOOST_TEST(world.ask(nodes, path, { "a1", crashingPart }).status == 503);
    BOOST_TEST(world.crashes() == before);
}

// Guards against a refusal that says the request may have run, or that calls the caller back for nothing.
BOOST_AUTO_TEST_CASE(a_refused_prompt_is_told_that_it_has_not_run)
{
    crashing_testbed world;
    world.crashOn({ crashingPart });
    world.play(path, { "a1", crashingPart, "c1" }, { "a1", "c1" });
    for (std::size_t i = 0; i < nodes; ++i) {
        const http_reply reply = world.ask(i, path, { "a1", crashingPart, "c1" });
        BOOST_TEST(reply.status == 503);
        BOOST_TEST(reply.contains("request_crashes_servers"));
        BOOST_TEST(reply.contains("not_run"));
        BOOST_TEST(!reply.headers.contains("Retry-After"));
        BOOST_TEST(world.metrics(world.node(i)).find("lycheefront_crashing_parts 1") != std::string::npos);
    }
}

// Guards against sound parts that are refused because servers end for other reasons while they are used.
BOOST_AUTO_TEST_CASE(parts_of_requests_beside_crashes_are_not_refused)
{
    crashing_testbed world;
    share_served sound;
    for (unsigned i = 0; i < 3 * crashingRequests; ++i) {
        // So seldom that most servers are up at any time.
        constexpr unsigned requestsPerCrash = 9;
        if (i % requestsPerCrash == 0)
            world.engine(i / requestsPerCrash).crash();
        // One part is in use all the time; another is new with each crash.
        ++sound.asked;
        sound.served
            += world.isServed(i % nodes, { "a1", "c" + std::to_string(i / requestsPerCrash) }) ? 1 : 0;
        std::this_thread::sleep_for(requestInterval / 3);
    }
    BOOST_TEST(sound.share() >= minServed);
}

// Guards against cutting streams that wait for the verdict on their part, because it comes late.
BOOST_FIXTURE_TEST_CASE(streams_with_a_suspect_part_wait_for_the_verdict, crashing_testbed)
{
    constexpr unsigned streams = 4;
    constexpr unsigned events = 90; // more than the test takes
    const std::string part = "a1";
    configuration_content content;
    content.latencyMs = 500;
    configure(2, content);
    for (std::size_t i = 0; i < engines; ++i) {
        engine(i).setEvents(events, 0);
        engine(i).setEventInterval(std::chrono::milliseconds(100));
    }
    const auto awaitMetric = [this](const std::string& line) {
        BOOST_REQUIRE(waitUntil([&] { return metrics(node(0)).find(line) != std::string::npos; }));
    };
    const auto awaitLog = [this](const std::string& text) {
        BOOST_REQUIRE(waitUntil([&] { return node(0).process->log().find(text) != std::string::npos; }));
    };
    awaitMetric("lycheefront_configuration_version 2");
    std::vector<std::future<http_reply>> replies;
    replies.reserve(streams);
    for (unsigned i = 0; i < streams; ++i) {
        const http_question asked = prompt(repeatablePath, { part });
        replies.push_back(
            std::async(std::launch::async, [&, asked] { return gateway_testbed::ask(node(0), asked); }));
    }
    awaitMetric("lycheefront_first_event_seconds_count{service=\"engines\"} " + std::to_string(streams));
    // Further requests with the part go elsewhere, and end two servers in turn.
    std::vector<std::size_t> first;
    for (std::size_t i = 0; i < engines; ++i) {
        if (engine(i).requestCount() == 0)
            continue;
        first.push_back(i);
        announce(engine(i), "engines", "draining");
        awaitLog("\"server\":\"" + engine(i).id() + "\",\"state\":\"leaving\"");
    }
    crashOn({ part });
    for (const std::string level : { "1", "2" }) {
        BOOST_TEST(ask(0, path, { part }).status != 200);
        awaitLog("\"level\":\"" + level + '"');
    }
    crashOn({});
    for (std::size_t i = 0; i < engines; ++i)
        engine(i).stall();
    for (const std::size_t i : first)
        engine(i).crash();
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    for (std::size_t i = 0; i < engines; ++i)
        engine(i).resume();
    unsigned whole = 0;
    for (auto& reply : replies) {
        const http_reply got = reply.get();
        whole += got.status == 200 && got.isWhole && got.body == platform_standin::eventsUpTo(events) ? 1 : 0;
    }
    BOOST_TEST(whole == streams);
}

// Guards against connections that break, with their servers alive, and get a part refused.
BOOST_AUTO_TEST_CASE(connections_that_break_are_no_crashes)
{
    crashing_testbed world;
    for (std::size_t i = 0; i < engines; ++i)
        world.engine(i).act(platform_standin::replica_act::Cut);
    for (unsigned i = 0; i < crashingRequests; ++i)
        BOOST_TEST(world.ask(i % nodes, path, { "a1", "c1" }).status == 502);
    for (std::size_t i = 0; i < engines; ++i)
        world.engine(i).act(platform_standin::replica_act::Stream);
    for (std::size_t i = 0; i < nodes; ++i)
        BOOST_TEST(world.isServed(i, { "a1", "c1" }));
}

BOOST_AUTO_TEST_SUITE_END()

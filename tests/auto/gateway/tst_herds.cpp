#include "gatewaytestbed.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

namespace {

constexpr std::size_t engines = 12;
constexpr std::size_t nodes = 7;
constexpr unsigned slots = 64; ///< of each engine
constexpr std::size_t herd = 210;
constexpr std::size_t calmRequests = 48; ///< in progress when the herd arrives, each with a part of its own
constexpr unsigned events = 51;
constexpr auto calmInterval = std::chrono::milliseconds(10);
constexpr auto settleTime = std::chrono::milliseconds(600); ///< the loads are heard by all
constexpr auto eventInterval = std::chrono::milliseconds(50);
constexpr auto streamTime = (events - 1) * eventInterval;

/// Nodes before engines whose streams take some seconds.
class herd_testbed : public gateway_testbed {
public:
    herd_testbed()
        : gateway_testbed(engines)
    {
        configuration_content content;
        content.slots = slots;
        configure(1, content);
        replica_entry entry;
        entry.slots = slots;
        for (std::size_t i = 0; i < engines; ++i)
            announce(engine(i), "engines", entry);
        for (std::size_t i = 0; i < nodes; ++i)
            startNode();
        for (std::size_t i = 0; i < nodes; ++i)
            awaitReady(node(i));
        awaitPeers();
        for (std::size_t i = 0; i < engines; ++i) {
            engine(i).setEvents(events, 0);
            engine(i).setEventInterval(eventInterval);
        }
    }

    http_question prompt(const std::string& part)
    {
        const std::string number = std::to_string(++m_prompts);
        http_question asked = question("POST", "/chat/1", "prompt " + number);
        asked.headers["Lycheefront-Prompt-Prefix"] = part + ":5000,ff" + number + ":100";
        return asked;
    }
    /// Begins requests with parts of their own, then a herd with one shared part; all are spread over the
    /// nodes. Returns the requests that were answered whole.
    std::size_t playHerd()
    {
        std::vector<std::future<http_reply>> replies;
        const auto send = [&](std::size_t nodeIndex, const std::string& part) {
            replies.push_back(std::async(std::launch::async,
                [this, nodeIndex, asked = prompt(part)] { return ask(node(nodeIndex), asked); }));
        };
        for (std::size_t i = 0; i < calmRequests; ++i) {
            send(i % nodes, "ca" + std::to_string(i));
            std::this_thread::sleep_for(calmInterval);
        }
        std::this_thread::sleep_for(settleTime);
        for (std::size_t i = 0; i < herd; ++i)
            send(i % nodes, "abc1");
        return static_cast<std::size_t>(std::ranges::count_if(replies, [](std::future<http_reply>& reply) {
            const http_reply answer = reply.get();
            return answer.status == 200 && answer.isWhole;
        }));
    }
    /// Requests that reached an engine which held more than twice the mean, plus three.
    std::size_t arrivalsAboveLimit()
    {
        struct arrival {
            std::chrono::steady_clock::time_point at;
            std::size_t engine;
        };
        std::vector<arrival> arrivals;
        for (std::size_t i = 0; i < engines; ++i) {
            for (const platform_standin::replica_request& request : engine(i).requests())
                arrivals.push_back({ request.arrivedAt, i });
        }
        std::ranges::sort(arrivals, {}, &arrival::at);
        std::size_t above = 0;
        for (auto current = arrivals.begin(); current != arrivals.end(); ++current) {
            const auto isInProgress
                = [&](const arrival& other) { return current->at - other.at < streamTime; };
            const auto isBeside = [&](const arrival& other) {
                return isInProgress(other) && other.engine == current->engine;
            };
            const auto all = static_cast<double>(std::count_if(arrivals.begin(), current, isInProgress));
            const auto beside = static_cast<double>(std::count_if(arrivals.begin(), current, isBeside));
            above += beside > 2 * all / engines + 3 ? 1 : 0;
        }
        return above;
    }

private:
    unsigned m_prompts = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(herds)

// Guards against nodes that each fill the room of the engine where all look for a part: requests with a part
// that no node has seen reach all nodes at once.
BOOST_FIXTURE_TEST_CASE(a_herd_with_one_part_is_spread_over_the_engines, herd_testbed)
{
    BOOST_TEST(playHerd() == calmRequests + herd);
    const std::size_t above = arrivalsAboveLimit();
    BOOST_TEST_MESSAGE("above the limit: " << above << " of " << calmRequests + herd);
    BOOST_TEST(above < 20u);
}

// Guards against requests that fail, or wait without end, because the home of their part stands still.
BOOST_FIXTURE_TEST_CASE(a_herd_is_served_where_a_home_is_gone, herd_testbed)
{
    node(nodes - 1).process->sendSignal(SIGSTOP);
    for (const char* const part : { "abc1", "abc2", "abc3", "abc4" }) {
        std::vector<std::future<http_reply>> replies;
        for (std::size_t i = 0; i < nodes - 1; ++i)
            replies.push_back(std::async(
                std::launch::async, [this, i, asked = prompt(part)] { return ask(node(i), asked); }));
        for (std::future<http_reply>& reply : replies)
            BOOST_TEST(reply.get().status == 200);
    }
    node(nodes - 1).process->sendSignal(SIGCONT);
}

BOOST_AUTO_TEST_SUITE_END()

#pragma once

#include "gatewaytestbed.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <future>
#include <string>
#include <vector>

/// Backend servers that can fall silent and go on, with streams slow enough to be hit in the middle.
class stall_testbed : public gateway_testbed {
public:
    static constexpr std::size_t replicas = 3; ///< of each service
    static constexpr unsigned events = 20; ///< of a stream
    static constexpr auto eventInterval = std::chrono::milliseconds(100);

    stall_testbed()
        : gateway_testbed(replicas)
    {
        for (std::size_t i = 0; i < replicas; ++i) {
            engine(i).setEvents(events, 0);
            engine(i).setEventInterval(eventInterval);
        }
    }

    /// Targets that are far shorter than the silences of the tests.
    static configuration_content shortTargets()
    {
        configuration_content content;
        content.latencyMs = 500;
        content.gapMs = 250;
        return content;
    }
    void startOne()
    {
        startNode();
        awaitReady(node(0));
    }
    void stallAll()
    {
        for (std::size_t i = 0; i < replicas; ++i) {
            engine(i).stall();
            press(i).stall();
        }
    }
    void resumeAll()
    {
        for (std::size_t i = 0; i < replicas; ++i) {
            engine(i).resume();
            press(i).resume();
        }
    }
    /// Asks the first node at once, each call on a connection of its own. `prefix`: of their paths, which
    /// differ, since requests that are alike count as one that crashes servers.
    std::vector<std::future<http_reply>> begin(
        const std::string& method, const std::string& prefix, unsigned count)
    {
        std::vector<std::future<http_reply>> replies;
        for (unsigned i = 0; i < count; ++i) {
            const std::string target = prefix + std::to_string(++m_begun);
            const http_question asked = question(method, target, method == "POST" ? "prompt" : "");
            replies.push_back(std::async(std::launch::async, [this, asked] { return ask(node(0), asked); }));
        }
        return replies;
    }
    /// Waits until that many streams have had their first event.
    void awaitFirstEvents(unsigned count)
    {
        BOOST_REQUIRE(waitUntil([&] {
            return metrics(node(0)).find(
                       "lycheefront_first_event_seconds_count{service=\"engines\"} " + std::to_string(count))
                != std::string::npos;
        }));
    }
    static unsigned wholeStreams(std::vector<std::future<http_reply>>& replies, unsigned last = events)
    {
        unsigned whole = 0;
        for (auto& reply : replies) {
            const http_reply got = reply.get();
            whole
                += got.status == 200 && got.isWhole && got.body == platform_standin::eventsUpTo(last) ? 1 : 0;
        }
        return whole;
    }
    std::string log() { return node(0).process->log(); }

private:
    unsigned m_begun = 0;
};

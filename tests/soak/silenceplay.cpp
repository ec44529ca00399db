// Plays streams of about three seconds while backend servers send nothing for a while and then go on, and
// counts what callers got. By hand: one scenario in each start, a line for the result.

#include "gatewaytestbed/gatewaytestbed.h"

#include <gflags/gflags.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

DEFINE_uint64(seed, 1, "of the callers' choices");
DEFINE_uint64(nodes, 7, "nodes of the fleet");
DEFINE_uint64(engines, 9, "backend servers");
DEFINE_uint64(silent_engines, 9, "of these, fall silent");
DEFINE_uint64(silent_ms, 1500, "for so long, twice; 0: never");
DEFINE_bool(forever, false, "they do not go on");
DEFINE_uint64(per_second, 40, "streams that begin");
DEFINE_uint64(seconds, 25, "in which streams begin");

namespace {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr unsigned eventsOfStream = 30;
constexpr auto eventInterval = 100ms;
constexpr auto lateAfter = 500ms; // the target until the first event
constexpr unsigned repeatablePercent = 70;
constexpr auto configurationPeriod = 2s;
constexpr auto firstSilence = 6s;
constexpr auto secondSilence = 15s;
constexpr unsigned slots = 24; // of each server, so that no stream waits for one

/// What callers of one route got.
struct route_count {
    unsigned begun = 0;
    unsigned whole = 0;
    unsigned cut = 0; ///< after the head
    unsigned failed = 0; ///< 502, 504 or no answer
    unsigned refused = 0; ///< 503 and the like

    void add(const http_reply& reply)
    {
        ++begun;
        const bool isSuccess = reply.status == 200;
        whole += isSuccess && reply.isWhole ? 1 : 0;
        cut += isSuccess && !reply.isWhole ? 1 : 0;
        failed += reply.status == 0 || reply.status == 502 || reply.status == 504 ? 1 : 0;
        refused += reply.status == 503 || reply.status == 429 ? 1 : 0;
    }
};

std::ostream& operator<<(std::ostream& out, const route_count& count)
{
    return out << count.begun << " begun, " << count.whole << " whole, " << count.cut << " cut, "
               << count.failed << " failed, " << count.refused << " refused";
}

class silence_play {
public:
    silence_play()
        : m_world(FLAGS_engines)
        , m_random(FLAGS_seed)
    {
        m_content.latencyMs = std::chrono::milliseconds(lateAfter).count();
        m_content.gapMs = 250;
        m_content.slots = slots;
        m_world.configure(++m_version, m_content);
        for (std::size_t i = 0; i < FLAGS_engines; ++i) {
            m_world.engine(i).setEvents(eventsOfStream, 0);
            m_world.engine(i).setEventInterval(eventInterval);
            replica_entry entry;
            entry.slots = slots;
            m_world.announce(m_world.engine(i), "engines", entry);
        }
        for (std::size_t i = 0; i < FLAGS_nodes; ++i)
            m_world.startNode();
        for (std::size_t i = 0; i < FLAGS_nodes; ++i)
            m_world.awaitReady(m_world.node(i));
        m_world.awaitPeers();
    }

    void play()
    {
        const auto startedAt = steady::now();
        const auto passed = [&] { return steady::now() - startedAt; };
        std::vector<std::thread> callers;
        auto nextCall = 0ns;
        auto nextConfiguration = std::chrono::nanoseconds(configurationPeriod);
        while (passed() < std::chrono::seconds(FLAGS_seconds)) {
            if (passed() >= nextCall) {
                nextCall += std::chrono::nanoseconds(1s) / FLAGS_per_second;
                callers.push_back(beginStream());
            }
            if (passed() >= nextConfiguration) {
                nextConfiguration += configurationPeriod;
                m_world.configure(++m_version, m_content);
            }
            setSilent(isSilentAt(passed()));
            std::this_thread::sleep_for(2ms);
        }
        if (!FLAGS_forever)
            setSilent(false);
        for (std::thread& caller : callers)
            caller.join();
    }

    void report() const
    {
        std::cout << FLAGS_silent_engines << " of " << FLAGS_engines << " silent for "
                  << (FLAGS_forever ? "good" : std::to_string(FLAGS_silent_ms) + " ms twice")
                  << "; may be repeated: " << m_repeatable << "; may not: " << m_single
                  << "; late: " << m_late << "; longest call " << m_longest.count() << " ms" << std::endl;
    }

private:
    static bool isSilentAt(steady::duration time)
    {
        const auto lasts = std::chrono::milliseconds(FLAGS_silent_ms);
        if (FLAGS_forever)
            return time >= firstSilence;
        return (time >= firstSilence && time < firstSilence + lasts)
            || (time >= secondSilence && time < secondSilence + lasts);
    }

    void setSilent(bool isSilent)
    {
        if (isSilent == m_isSilent)
            return;
        m_isSilent = isSilent;
        for (std::size_t i = 0; i < FLAGS_silent_engines; ++i) {
            if (isSilent)
                m_world.engine(i).stall();
            else
                m_world.engine(i).resume();
        }
    }

    std::thread beginStream()
    {
        const bool isRepeatable = m_random() % 100 < repeatablePercent;
        const std::size_t node = m_random() % FLAGS_nodes;
        const http_question question
            = m_world.question("POST", isRepeatable ? "/chat/1" : "/draft/1", "prompt");
        return std::thread([this, isRepeatable, node, question] {
            const auto sentAt = steady::now();
            const http_reply reply = m_world.ask(m_world.node(node), question);
            const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - sentAt);
            const std::lock_guard lock(m_mutex);
            (isRepeatable ? m_repeatable : m_single).add(reply);
            m_late
                += reply.status == 200 && reply.isWhole && took > eventsOfStream * eventInterval + lateAfter
                ? 1
                : 0;
            m_longest = std::max(m_longest, took);
        });
    }

    gateway_testbed m_world;
    configuration_content m_content;
    unsigned m_version = 0;
    std::mt19937_64 m_random;
    bool m_isSilent = false;
    std::mutex m_mutex;
    route_count m_repeatable;
    route_count m_single;
    unsigned m_late
        = 0; ///< whole, and longer than a stream without silence by the target until the first event
    std::chrono::milliseconds m_longest {};
};

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("streams before backend servers that fall silent; prints what callers got");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    silence_play played;
    played.play();
    played.report();
}

#include "gatewaytestbed.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

using platform_standin::replica_standin;
using namespace std::chrono_literals;

namespace {

using steady = std::chrono::steady_clock;

constexpr std::size_t servers = 3;
constexpr std::size_t nodes = 7;
constexpr unsigned callers = 100; ///< each sends one sound request after the other
constexpr auto answerTime = 400ms;
constexpr auto crashingInterval = 500ms; ///< between two tries of a crashing request
constexpr auto playTime = 13s;
// From the crash of a server until its entry leaves the store, and until its successor has one.
constexpr auto entryLifetime = 1300ms;
constexpr auto downTime = 3s;
constexpr auto successorAfter = downTime + 100ms;
// Nodes have heard of the successors by then, and their connections are open.
constexpr auto settleTime = 1s;
constexpr auto newsTime = 3s;
constexpr std::size_t crashesToConvict = 3;
constexpr std::size_t maxLate = 3; ///< arrivals of one request later than `newsTime` after its third crash
constexpr std::size_t maxCrashes = 5; ///< of one request
constexpr std::size_t maxCrashesMore = 3; ///< of each further one
constexpr double minServed = 0.95; ///< part of the sound requests, once all servers are back

/// A sound request as its caller saw it.
struct sound_request {
    steady::time_point sentAt {};
    bool isServed = false;
    bool isTakenForCrashing = false;
};

/// Several nodes before a small plain service whose servers crash under some requests. A crashed server comes
/// back at its address under another id, as a new process.
class small_service_testbed : public gateway_testbed {
public:
    small_service_testbed()
        : gateway_testbed(servers)
        , m_processes(servers, 0)
        , m_crashesSeen(servers, 0)
    {
        setRetryLimits(4, 54);
        configuration_content content;
        content.latencyMs = 2000;
        configure(1, content);
        for (std::size_t i = 0; i < servers; ++i) {
            press(i).setAnswerDelay(answerTime);
            press(i).setDownTime(downTime);
            withdraw(press(i));
            announce(press(i), "press", entryOf(i));
        }
        for (std::size_t i = 0; i < nodes; ++i)
            startNode();
        for (std::size_t i = 0; i < nodes; ++i)
            awaitReady(node(i));
        awaitPeers();
    }

    /// Sends these requests again and again, each at another node than the last, beside sound ones with the
    /// targets that `soundTarget` gives.
    void play(const std::vector<std::string>& crashing,
        const std::function<std::string(unsigned)>& soundTarget,
        replica_standin::crash_answer answer = replica_standin::crash_answer::None)
    {
        for (std::size_t i = 0; i < servers; ++i)
            press(i).crashOnTargets({ crashing.begin(), crashing.end() }, answer);
        std::vector<std::thread> threads;
        m_endsAt = steady::now() + playTime;
        threads.emplace_back([this] { replaceCrashed(); });
        for (unsigned i = 0; i < callers; ++i)
            threads.emplace_back([this, i, &soundTarget] { askSound(i, soundTarget); });
        for (std::size_t i = 0; i < crashing.size(); ++i)
            threads.emplace_back([this, i, &crashing] { insist(i, crashing[i]); });
        for (std::thread& thread : threads)
            thread.join();
    }

    std::size_t crashes()
    {
        std::size_t total = 0;
        for (std::size_t i = 0; i < servers; ++i)
            total += press(i).crashes();
        return total;
    }
    /// Arrivals of a crashing request at servers, ordered by time. Each ends its server.
    std::vector<steady::time_point> arrivals(const std::string& target)
    {
        std::vector<steady::time_point> times;
        for (std::size_t i = 0; i < servers; ++i) {
            for (const auto& request : press(i).requests()) {
                if (request.target == target)
                    times.push_back(request.arrivedAt);
            }
        }
        std::ranges::sort(times);
        return times;
    }
    std::size_t lateArrivals(const std::string& target)
    {
        const auto times = arrivals(target);
        if (times.size() < crashesToConvict)
            return 0;
        const auto late = times[crashesToConvict - 1] + newsTime;
        return static_cast<std::size_t>(
            std::ranges::count_if(times, [late](steady::time_point at) { return at > late; }));
    }
    /// The sound requests that were sent once the servers of the last crash were back.
    std::vector<sound_request> soundAfterwards()
    {
        steady::time_point last {};
        for (std::size_t i = 0; i < servers; ++i) {
            for (const steady::time_point at : press(i).crashTimes())
                last = std::max(last, at);
        }
        std::vector<sound_request> later;
        std::ranges::copy_if(m_sound, std::back_inserter(later), [&](const sound_request& request) {
            return request.sentAt > last + successorAfter + settleTime;
        });
        return later;
    }
    /// Requires that each crashing request came to an end, and that sound ones did not suffer for long.
    void checkPlay(const std::vector<std::string>& crashing)
    {
        for (const std::string& target : crashing)
            BOOST_TEST(lateArrivals(target) <= maxLate);
        BOOST_TEST(crashes() <= maxCrashes + maxCrashesMore * (crashing.size() - 1));
        const std::vector<sound_request> sound = soundAfterwards();
        BOOST_REQUIRE(!sound.empty());
        const auto served = std::ranges::count_if(sound, &sound_request::isServed);
        BOOST_TEST(static_cast<double>(served) >= minServed * static_cast<double>(sound.size()));
        BOOST_TEST(std::ranges::count_if(sound, &sound_request::isTakenForCrashing) == 0);
        BOOST_TEST_MESSAGE("crashes " << crashes() << ", sound afterwards " << served << " of "
                                      << sound.size() << ", taken for crashing in all "
                                      << std::ranges::count_if(m_sound, &sound_request::isTakenForCrashing));
    }

private:
    replica_entry entryOf(std::size_t index)
    {
        replica_entry entry;
        entry.slots = 64;
        entry.startedAtMs += m_processes[index];
        entry.id = press(index).id() + "-" + std::to_string(m_processes[index]);
        return entry;
    }
    http_question questionTo(const std::string& target)
    {
        const std::lock_guard lock(m_mutex);
        return question(target.starts_with("/pay/") ? "POST" : "GET", target);
    }

    /// Does what the platform does with the entries of servers that end.
    void replaceCrashed()
    {
        constexpr auto pause = 10ms;
        while (steady::now() < m_endsAt) {
            for (std::size_t i = 0; i < servers; ++i) {
                const auto times = press(i).crashTimes();
                if (times.size() == m_crashesSeen[i])
                    continue;
                const auto passed = steady::now() - times.back();
                if (passed > entryLifetime)
                    store().remove("servers/" + entryOf(i).id);
                if (passed < successorAfter)
                    continue;
                m_crashesSeen[i] = times.size();
                ++m_processes[i];
                announce(press(i), "press", entryOf(i));
            }
            std::this_thread::sleep_for(pause);
        }
    }
    void askSound(unsigned caller, const std::function<std::string(unsigned)>& soundTarget)
    {
        constexpr unsigned requestsPerCaller = 1000;
        constexpr auto pauseAfterRefusal = 50ms;
        std::this_thread::sleep_for(answerTime * caller / callers);
        for (unsigned i = 0; steady::now() < m_endsAt; ++i) {
            sound_request request;
            const http_question asked = questionTo(soundTarget(caller * requestsPerCaller + i));
            request.sentAt = steady::now();
            const http_reply reply = ask(node((caller + i) % nodes), asked);
            request.isServed = reply.status == 200 && reply.isWhole;
            request.isTakenForCrashing = reply.contains("request_crashes_servers");
            if (!request.isServed)
                std::this_thread::sleep_for(pauseAfterRefusal);
            const std::lock_guard lock(m_mutex);
            m_sound.push_back(request);
        }
    }
    void insist(std::size_t index, const std::string& target)
    {
        // Sound requests are under way by then.
        std::this_thread::sleep_for(1s + 100ms * static_cast<int>(index));
        for (std::size_t i = index; steady::now() < m_endsAt; ++i) {
            (void)ask(node(i % nodes), questionTo(target));
            std::this_thread::sleep_for(crashingInterval);
        }
    }

    std::vector<std::uint64_t> m_processes; ///< before the one that runs, by server
    std::vector<std::size_t> m_crashesSeen; ///< by server
    steady::time_point m_endsAt {};
    std::mutex m_mutex;
    std::vector<sound_request> m_sound;
};

std::string ownTarget(unsigned number)
{
    return "/look/" + std::to_string(number);
}

std::string ownPayment(unsigned number)
{
    return "/pay/" + std::to_string(number);
}

/// Three in ten ask for the same.
std::string sharedTarget(unsigned number)
{
    return number % 10 < 3 ? "/look/status" : ownTarget(number);
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_requests)

// Guards against one request that ends a small service again and again, its strikes displaced by those of the
// many requests beside it and its crashes taken for the loss of the node's own path.
BOOST_FIXTURE_TEST_CASE(a_request_that_crashes_a_small_service_is_stopped, small_service_testbed)
{
    play({ "/look/bad" }, ownTarget);
    checkPlay({ "/look/bad" });
}

// Guards against the same on a route that may not be repeated, where each crash costs its caller a try.
BOOST_FIXTURE_TEST_CASE(two_payments_that_crash_a_small_service_are_stopped, small_service_testbed)
{
    play({ "/pay/bad", "/pay/worse" }, ownPayment);
    checkPlay({ "/pay/bad", "/pay/worse" });
}

// Guards against a crash behind the head of an answer that does not count.
BOOST_FIXTURE_TEST_CASE(a_request_that_crashes_after_the_head_is_stopped, small_service_testbed)
{
    play({ "/look/bad" }, ownTarget, replica_standin::crash_answer::HeadWithLength);
    checkPlay({ "/look/bad" });
}

// Guards against sound requests that are alike, under way at every crash, and refused for that.
BOOST_FIXTURE_TEST_CASE(equal_requests_beside_a_crashing_one_are_served, small_service_testbed)
{
    play({ "/look/bad" }, sharedTarget);
    checkPlay({ "/look/bad" });
}

BOOST_AUTO_TEST_SUITE_END()

#pragma once

#include "prefixcache.h"
#include "standins_common/httplistener.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/// How the stand-in behaves; the control port changes it.
struct engine_settings {
    std::string name;
    std::set<std::string> models;
    std::size_t slots = 8;
    std::chrono::microseconds prefillPerBlock { 200 }; ///< for each block that was not cached
    std::chrono::microseconds perToken { 2000 };
    std::chrono::milliseconds loadLag { 500 }; ///< age of the load that is reported
    bool refusesOldFencing = true;
    unsigned eventGap = 10; ///< each so many-th cache event is never published
    std::int64_t cutAnswers = 0; ///< next answers that stop in the middle
    std::string crashOn; ///< a prompt with this text ends the process
    std::chrono::steady_clock::time_point pausedUntil;
};

/// Stand-in for a model engine with continuous batching: OpenAI-compatible chat completions, a prefix
/// cache in limited memory, lagging load, cache events with gaps, orders under a fencing number.
/// A token's text names the request it answers, `<hash>:<index>/<count>`, so that a caller can check that
/// it has its own whole answer.
class engine {
public:
    engine(engine_settings settings, std::size_t cacheBlocks);

    boost::asio::awaitable<bool> serve(
        standins_common::http_request& request, standins_common::tcp_socket& socket);
    engine_settings& settings() { return m_settings; }
    /// {"requests": {digest: count}, "running_max": n, "waiting_max": n, ...}
    std::string ledgerJson() const;

private:
    struct job {
        std::string digest; ///< of the last user message
        std::size_t tokens = 0;
        std::size_t promptBlocks = 0;
        std::size_t cachedBlocks = 0;
        bool isStreamed = false;
        int priority = 0;
        std::string model;
    };
    struct load_sample {
        std::chrono::steady_clock::time_point at;
        std::size_t running = 0;
        std::size_t waiting = 0;
    };
    struct waiting_job {
        int priority = 0;
        boost::asio::steady_timer* wake = nullptr;
    };

    boost::asio::awaitable<bool> complete(
        standins_common::http_request& request, standins_common::tcp_socket& socket);
    boost::asio::awaitable<bool> generate(
        const job& work, standins_common::http_request& request, standins_common::tcp_socket& socket);
    boost::asio::awaitable<bool> streamTokens(const job& work, standins_common::tcp_socket& socket);
    std::string wholeAnswer(const job& work, const std::string& text) const;
    std::string tokenEvent(const job& work, std::size_t index) const;
    static std::string lastEvent(const job& work);
    boost::asio::awaitable<void> takeSlot(int priority);
    void freeSlot();
    boost::asio::awaitable<void> waitOutPause();
    void sampleLoad();
    std::string loadJson() const;
    std::string eventsJson(std::uint64_t after) const;
    std::string takeOrder(const std::string& body, int& status);

    engine_settings m_settings;
    prefix_cache m_cache;
    std::size_t m_running = 0;
    std::size_t m_runningMax = 0;
    std::size_t m_waitingMax = 0;
    std::vector<waiting_job> m_waiting;
    std::deque<load_sample> m_samples;
    std::map<std::string, unsigned> m_ledger;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_eventNumber = 0;
    std::deque<std::pair<std::uint64_t, std::string>> m_events;
    std::int64_t m_fencing = 0;
    std::string m_role = "serve";
};

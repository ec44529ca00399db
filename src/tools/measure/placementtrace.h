#pragma once

#include "decisions/priority.h"
#include "utils/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace measure {

/// What a user's chats are like. All durations in seconds, all sizes in tokens.
struct workload {
    std::string name;
    double loadBound = 1.25; ///< c of the pool
    double longShare = 0; ///< share of chats about a long document
    double longTokensLow = 0;
    double longTokensHigh = 0;
    double draftShare = 0; ///< share of chats that are drafted while nobody waits
    double interactiveShare = 0; ///< share of chats by phone: short answers
    double meanTurns = 6;
    double cacheTokens = 2e6; ///< of one engine
    std::array<double, 3> reuseWait {}; ///< longest wait for a cached prefix, by class, in seconds
    std::array<double, 3> maxWait {}; ///< after which a request is refused, by class, in seconds
};

/// The print shop: long theses come back; reuse first.
workload printShop();
/// The tea dances: short chats, many by phone; skew first.
workload teaDances();

/// The parts of a run. Times in seconds from its start.
struct run_phases {
    double warmUntil = 0;
    double steadyUntil = 0; ///< from here a fifth of the engines is replaced
    double changedUntil = 0; ///< from here an engine flaps and a workspace surges
    double end = 0;
};

enum class phase {
    WarmUp,
    Steady,
    Changed,
    Faults,
    Count_
};

/// Phase of a time in seconds.
phase phaseAt(const run_phases& phases, double seconds);

/// How large the fleet is.
struct fleet_size {
    unsigned nodes = 7;
    unsigned engines = 12;
    run_phases phases;
};

/// One request of a chat.
struct chat_turn {
    std::uint64_t chat = 0; ///< key for the ranking
    utils::time_point at;
    std::uint32_t historyTokens = 0; ///< prefix that earlier turns left behind; the workspace's on the first
    std::uint32_t promptTokens = 0; ///< history and what is new
    std::uint32_t outputTokens = 0;
    std::uint16_t workspace = 0;
    std::uint16_t entryNode = 0;
    bool isFirst = false;
    decisions::priority_class priority = decisions::priority_class::Chat;
};

enum class engine_event_kind {
    Leave, ///< announced: runs out what it has
    Gone, ///< its process ends, the cache with it
    Join, ///< a new engine, empty
    Crash, ///< without notice
    Return ///< after a crash, empty
};

struct engine_event {
    utils::time_point at;
    engine_event_kind kind;
    std::size_t engine = 0; ///< joining ones are numbered on from the first ones
};

/// The trace that every policy gets.
struct placement_trace {
    std::vector<chat_turn> turns; ///< by time
    std::vector<engine_event> events; ///< by time
    std::size_t engineCount = 0; ///< those that join included
};

constexpr unsigned engineSlots = 32;
constexpr std::uint32_t workspaceTokens = 1000; ///< instructions that all chats of a workspace begin with
constexpr double targetLoad = 16; ///< mean requests in flight on an engine, about
constexpr double prefillTokensPerSecond = 8000;
constexpr double secondsPerOutputToken = 0.067;

/// Makes the trace of a workload for a fleet; the same for the same seed.
placement_trace makeTrace(const workload& load, const fleet_size& size, std::uint64_t seed);

} // namespace measure

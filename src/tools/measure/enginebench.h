#pragma once

#include "placementtrace.h"
#include "prefixcache.h"

#include "utils/ids.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace measure {

/// A model engine in virtual time: slots, a prefix cache, load reported late.
struct bench_engine {
    utils::server_id id;
    bool isUp = false;
    bool isLeaving = false;
    utils::time_point joinedAt;
    unsigned inFlight = 0; ///< dispatched and not finished, those that wait for a slot included
    unsigned reported = 0; ///< load of a second ago, as routers read it
    unsigned epoch = 0; ///< grows with each crash
    unsigned running = 0;
    std::deque<std::size_t> waiting; ///< turns dispatched beyond the slots
    prefix_cache cache { 0 };

    bool takesNew() const { return isUp && !isLeaving; }
};

/// What happened in one phase of a run.
struct phase_figures {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t cut = 0; ///< in flight on an engine that crashed
    double reusedTokens = 0;
    std::vector<double> maxOverMean; ///< one a sample
    std::vector<double> p99OverMean; ///< one a sample
    std::array<std::vector<float>, 3> waits; ///< seconds, by class
};

/// Control traffic of one router, sent and received.
struct control_count {
    double bytes = 0;
    double packets = 0;
};

/// The engines, the clock and the counting that all policies share.
class engine_bench {
public:
    engine_bench(const workload& load, const fleet_size& size, const placement_trace& trace);

    const std::vector<bench_engine>& engines() const { return m_engines; }
    const placement_trace& trace() const { return *m_trace; }
    const workload& load() const { return m_load; }
    const fleet_size& size() const { return m_size; }
    prefix_cache& cacheOf(std::size_t engine) { return m_engines[engine].cache; }

    /// Starts the turn on the engine, or queues it there when all slots are taken.
    void dispatch(std::size_t engine, std::size_t turn, utils::time_point now);
    void refuse(std::size_t turn);
    /// Counts traffic of a router.
    void countControl(std::size_t node, double bytes, double packets);
    /// Called for each chat that an engine's cache evicts.
    void onEvict(std::function<void(std::size_t engine, std::uint64_t chat)> callback);

    struct finished_turn {
        std::size_t engine = 0;
        std::size_t turn = 0;
    };
    /// Time of the next finish; the far future if none.
    utils::time_point nextFinish() const;
    /// Takes the next finish. Precondition: there is one.
    finished_turn takeFinish();
    /// Applies an engine event; returns the turns that it cut.
    std::vector<std::size_t> apply(const engine_event& event);
    /// Once a second: engines report, the skew is sampled.
    void sample(utils::time_point now);

    const std::array<phase_figures, static_cast<std::size_t>(phase::Count_)>& figures() const
    {
        return m_figures;
    }
    const std::vector<control_count>& control() const { return m_control; }

    /// Below so many requests an engine max/mean says more about whole numbers than about placement.
    static constexpr double leastMean = 10;

private:
    struct finish {
        utils::time_point at;
        std::uint64_t sequence;
        std::size_t engine;
        std::size_t turn;
        unsigned epoch;

        bool operator>(const finish& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void start(std::size_t engine, std::size_t turn, utils::time_point now);
    void dropStale();
    phase_figures& figuresAt(utils::time_point when);

    workload m_load;
    fleet_size m_size;
    const placement_trace* m_trace;
    std::vector<bench_engine> m_engines;
    std::priority_queue<finish, std::vector<finish>, std::greater<>> m_finishes;
    std::unordered_map<std::size_t, std::size_t> m_engineOfTurn;
    std::uint64_t m_sequence = 0;
    std::array<phase_figures, static_cast<std::size_t>(phase::Count_)> m_figures;
    std::vector<control_count> m_control;
    std::function<void(std::size_t, std::uint64_t)> m_onEvict;
};

/// Tokens that one cache as large as all living engines' together could have reused, by phase.
std::array<double, static_cast<std::size_t>(phase::Count_)> oracleReuse(
    const workload& load, const fleet_size& size, const placement_trace& trace);

} // namespace measure

#pragma once

#include "benchnodes.h"
#include "fakekv.h"
#include "virtualtime.h"

#include "operations/modelplacer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Outcome of one order to an engine.
enum class order_fate {
    Answered,
    CutBefore,
    CutAfter, ///< applied; the answer is lost
    SlowToReach
};

/// A fake engine: what it runs, and the orders that it applied.
struct fake_engine {
    operations::engine_setup running;
    std::int64_t highestNumber = 0;
    std::vector<std::int64_t> numbers; ///< fencing numbers of the applied orders
    std::vector<utils::time_point> times;
    bool isUp = true;
};

/// Nodes that run one placer each, by default for the same model, and share one platform, in virtual time.
/// Not thread safe.
class placer_bench {
public:
    /// Precondition: the chart outlives this object.
    placer_bench(const utils::state_chart& chart, std::size_t nodes, bool honoursFencing,
        const std::vector<std::string>& models = { "thesis-summary" });

    /// Sets what the document wants at the node.
    void setWanted(std::size_t node, const std::string& version, const std::set<std::string>& adapters = {});
    /// Stops the node until restart, which creates a new state machine.
    void kill(std::size_t node);
    void restart(std::size_t node);
    /// The platform ends the node's lease early.
    void endLease(std::size_t node) { m_kv.endLease(m_placers.at(node).lease); }
    void leave(std::size_t node);

    bench_nodes& nodes() { return m_nodes; }
    virtual_time& time() { return m_time; }
    fake_kv& kv() { return m_kv; }
    std::map<utils::server_id, fake_engine>& engines() { return m_engines; }
    const operations::model_placer& placer(std::size_t node) const { return *m_placers.at(node).machine; }
    std::function<order_fate()> orderFate = [] { return order_fate::Answered; };
    /// Called before each event is passed to a state machine.
    std::function<void(std::size_t node)> beforeEvent = [](std::size_t) {};
    /// Called after each event with the state before it and the event.
    std::function<void(const std::string& step)> afterEvent = [](const std::string&) {};
    operations::placer_settings settings;

    static constexpr utils::duration leaseTime = std::chrono::seconds(15);
    static constexpr utils::duration tick = std::chrono::seconds(1);
    static constexpr utils::duration engineDelay = std::chrono::milliseconds(50);
    static constexpr utils::duration slowReach = std::chrono::seconds(12);

private:
    struct placer_state {
        std::unique_ptr<operations::model_placer> machine;
        std::int64_t lease = 0;
        utils::time_point leaseEnd;
        std::uint64_t timers = 0;
        operations::engine_setups wanted;
    };
    using machine_call = std::function<operations::placer_actions(operations::model_placer&)>;

    void startNode(std::size_t node);
    void tickNode(std::size_t node);
    void deliverEvent(std::size_t node, const machine_call& call);
    void perform(std::size_t node, const operations::placer_action& action);
    void read(std::size_t node);
    void order(std::size_t node, const operations::engine_order& order);
    bool carryOut(const operations::engine_order& order);

    const utils::state_chart& m_chart;
    std::vector<std::string> m_models;
    virtual_time m_time;
    fake_kv m_kv { m_time };
    bench_nodes m_nodes;
    bool m_honoursFencing;
    utils::config_revision m_revision = 0; ///< incremented by each setWanted
    std::vector<placer_state> m_placers;
    std::map<utils::server_id, fake_engine> m_engines;
};

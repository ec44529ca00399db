#pragma once

#include "benchnodes.h"
#include "fakekv.h"
#include "virtualtime.h"

#include "operations/draft.h"
#include "operations/draftscanner.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Outcome of one run of a draft at its engine.
enum class engine_fate {
    Answered, ///< complete answer
    Cut, ///< the engine crashes or the connection breaks
    NotRun, ///< refused, the engine has no capacity
    Rejected ///< permanent error
};

/// A draft as its caller has seen it.
struct draft_sending {
    std::string name;
    std::size_t node = 0;
    std::string nonce;
    unsigned finalAnswers = 0;
    std::optional<std::string> id; ///< set once the draft is accepted
    std::optional<utils::failure> failure;
    bool isConnectionLost = false;
};

/// Simulates nodes that accept, run and adopt drafts as the daemon does, with one platform, in virtual time.
/// Not thread safe.
class draft_bench {
public:
    /// Precondition: the chart outlives this object.
    draft_bench(const utils::state_chart& chart, std::size_t nodes);

    /// Sends a draft to a node. Returns an index into sendings().
    std::size_t send(const std::string& name, std::size_t node, const std::string& team = "imprenta");
    void kill(std::size_t node);
    void restart(std::size_t node);
    void leave(std::size_t node);
    /// The platform expires the node's lease early.
    void endLease(std::size_t node) { m_kv.endLease(m_workers.at(node).lease); }
    /// The draft as a caller of the team polls it, without injected faults.
    std::optional<operations::draft_record> poll(const std::string& id, const std::string& team = "imprenta");
    void cancel(const std::string& id);

    std::vector<utils::node_id> liveNodes() const;
    bench_nodes& nodes() { return m_nodes; }
    virtual_time& time() { return m_time; }
    fake_kv& kv() { return m_kv; }
    const std::vector<draft_sending>& sendings() const { return m_sendings; }
    /// Number of runs that the engines have started for drafts of that name.
    unsigned runs(const std::string& name) const;
    /// Number of unfinished draft state machines over all nodes.
    unsigned workers() const;

    std::function<engine_fate(const operations::draft_record&)> engineFate
        = [](const operations::draft_record&) { return engine_fate::Answered; };
    /// Called before each event is delivered to a state machine, with its chart's state.
    std::function<void(std::size_t node, const std::string& state)> beforeEvent
        = [](std::size_t, const std::string&) {};
    /// Called after each event, with the chart's previous state and the event: "claiming written".
    std::function<void(const std::string& step)> afterEvent = [](const std::string&) {};
    /// The nodes that a node sees as alive; all live nodes if not set.
    std::function<std::vector<utils::node_id>(std::size_t node)> membersSeenBy;
    operations::draft_settings settings;
    unsigned teamLimit = 20;
    std::size_t room = 8; ///< number of drafts that a node runs concurrently

    static constexpr utils::duration leaseTime = std::chrono::seconds(5);
    static constexpr utils::duration tick = std::chrono::milliseconds(500);
    static constexpr utils::duration runTime = std::chrono::seconds(3);
    static constexpr utils::duration answerTime = std::chrono::hours(1);

private:
    struct running_draft {
        std::unique_ptr<operations::draft> machine;
        std::optional<std::size_t> sending;
        std::uint64_t runs = 0; ///< number of the latest run; outcomes of earlier runs are stale
        std::uint64_t timers = 0; ///< number of the latest timer; earlier timers are stale
    };
    struct worker_state {
        std::int64_t lease = 0;
        utils::time_point leaseEnd;
        std::map<std::uint64_t, running_draft> drafts;
        operations::draft_scanner scanner { utils::node_id() };
    };
    using machine_call = std::function<operations::draft_actions(operations::draft&)>;

    void startNode(std::size_t node);
    void tickNode(std::size_t node, std::uint64_t boot);
    void keepLease(std::size_t node);
    void scan(std::size_t node);
    std::uint64_t addMachine(std::size_t node);
    void deliverEvent(std::size_t node, std::uint64_t boot, std::uint64_t id, const machine_call& call);
    void deliverEventToAll(std::size_t node, const machine_call& call);
    void perform(
        std::size_t node, std::uint64_t boot, std::uint64_t id, const operations::draft_action& action);
    void run(std::size_t node, std::uint64_t boot, std::uint64_t id, const operations::draft_record& record);

    const utils::state_chart& m_chart;
    virtual_time m_time;
    fake_kv m_kv { m_time };
    bench_nodes m_nodes;
    std::vector<worker_state> m_workers;
    std::vector<draft_sending> m_sendings;
    std::map<std::string, unsigned> m_runs;
    std::uint64_t m_lastId = 0;
};

#pragma once

#include "benchnodes.h"
#include "fakekv.h"
#include "virtualtime.h"

#include "operations/operation.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// What becomes of one request at the plain service.
enum class service_fate {
    Answered,
    NotReached, ///< no connection
    CutBefore, ///< the bytes are lost on the way; the connection breaks
    CutAfter, ///< it runs; the connection breaks before the answer
    LateAnswer, ///< it runs; the answer comes after the route's time
    SlowToReach ///< the connection takes long
};

/// What one caller has seen of one sending.
struct sending {
    std::string key;
    std::size_t node = 0;
    std::string nonce;
    unsigned finalAnswers = 0;
    std::optional<operations::stored_answer> answer;
    std::optional<utils::failure> failure;
    bool isConnectionLost = false;
    unsigned runsAtAnswer = 0; ///< the ledger's count for this sending when it was refused

    bool saysNotRun() const
    {
        return failure
            && failure->run.value_or(utils::answerFor(failure->kind).run) == utils::run_state::NotRun;
    }
};

/// Nodes that run operation machines as the daemon does, sharing one platform and one plain service with a
/// ledger, in virtual time. A paused node gets what came for it when it resumes; a killed one loses its
/// machines, while bytes that left it still arrive. Not thread safe.
class payment_bench {
public:
    /// Precondition: the chart outlives this.
    payment_bench(const utils::state_chart& chart, std::size_t nodes);

    /// Sends a payment through a node; the result is an index into sendings().
    std::size_t send(const std::string& key, std::size_t node, const std::string& body = "10.00 EUR");
    void kill(std::size_t node);
    void callerGone(std::size_t sendingIndex);
    bench_nodes& nodes() { return m_nodes; }

    virtual_time& time() { return m_time; }
    fake_kv& kv() { return m_kv; }
    const std::vector<sending>& sendings() const { return m_sendings; }
    /// The machine of a sending, or null when its node was killed.
    const operations::operation* machine(std::size_t sendingIndex) const;
    /// Times the service has run the key, and times for one sending.
    unsigned ledger(const std::string& key) const;
    unsigned ledgerOf(std::size_t sendingIndex) const;

    std::function<service_fate(std::size_t sendingIndex)> serviceFate
        = [](std::size_t) { return service_fate::Answered; };
    /// The refusal of the check right before the send, if any.
    std::function<std::optional<utils::failure>(std::size_t node)> gate
        = [](std::size_t) { return std::optional<utils::failure>(); };
    /// Called before each event is given to a machine, with the chart's state it is in.
    std::function<void(std::size_t sendingIndex)> beforeEvent = [](std::size_t) {};
    /// Called after it, with the chart's state before and the event: "claiming kv_unknown".
    std::function<void(const std::string& step)> afterEvent = [](const std::string&) {};
    operations::operation_settings settings;

    static constexpr utils::duration networkDelay = std::chrono::milliseconds(2);
    static constexpr utils::duration slowReach = std::chrono::milliseconds(2500);
    static constexpr utils::duration runTime = std::chrono::milliseconds(20);
    static constexpr utils::duration runTimeout = std::chrono::seconds(1);

private:
    using machine_call = std::function<operations::operation_actions(operations::operation&)>;

    void give(std::size_t sendingIndex, std::uint64_t boot, const machine_call& call);
    void perform(std::size_t sendingIndex, std::uint64_t boot, const operations::operation_action& action);
    void performKv(std::size_t sendingIndex, std::uint64_t boot, const operations::kv_transact& action);
    void performReach(std::size_t sendingIndex, std::uint64_t boot);
    void performSend(std::size_t sendingIndex, std::uint64_t boot);
    void finish(std::size_t sendingIndex);
    void run(std::size_t sendingIndex);

    const utils::state_chart& m_chart;
    virtual_time m_time;
    fake_kv m_kv { m_time };
    bench_nodes m_nodes;
    std::map<std::size_t, std::unique_ptr<operations::operation>> m_machines;
    std::vector<sending> m_sendings;
    std::map<std::string, unsigned> m_ledger;
    std::map<std::size_t, unsigned> m_ledgerOfSending;
    std::map<std::size_t, service_fate> m_fates;
};

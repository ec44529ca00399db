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

/// Outcome of one request to the fake service.
enum class service_fate {
    Answered,
    NotReached, ///< no connection
    CutBefore, ///< the request is lost and the connection breaks
    CutAfter, ///< the request runs; the connection breaks before the answer
    LateAnswer, ///< the request runs; the answer arrives after the run timeout
    SlowToReach ///< connecting takes slowReach
};

/// A sending and the result that its caller has seen.
struct sending {
    std::string key;
    std::size_t node = 0;
    std::string nonce;
    unsigned finalAnswers = 0;
    std::optional<operations::stored_answer> answer;
    std::optional<utils::failure> failure;
    bool isConnectionLost = false;
    unsigned runsAtAnswer = 0; ///< runs of this sending when it was refused

    bool saysNotRun() const
    {
        return failure
            && failure->run.value_or(utils::answerFor(failure->kind).run) == utils::run_state::NotRun;
    }
};

/// Nodes that run operation state machines as the daemon does. They share one platform and one fake service
/// with a ledger, in virtual time. A paused node gets its deferred events when it resumes; a killed node
/// loses its state machines, while bytes that it already sent still arrive. Not thread safe.
class payment_bench {
public:
    /// Precondition: the chart outlives this object.
    payment_bench(const utils::state_chart& chart, std::size_t nodes);

    /// Sends a payment through a node; the result is an index into sendings().
    std::size_t send(const std::string& key, std::size_t node, const std::string& body = "10.00 EUR");
    void kill(std::size_t node);
    void callerGone(std::size_t sendingIndex);
    bench_nodes& nodes() { return m_nodes; }

    virtual_time& time() { return m_time; }
    fake_kv& kv() { return m_kv; }
    const std::vector<sending>& sendings() const { return m_sendings; }
    /// The state machine of a sending, or null if its node was killed.
    const operations::operation* machine(std::size_t sendingIndex) const;
    /// How often the service has run the key, and how often for one sending.
    unsigned ledger(const std::string& key) const;
    unsigned ledgerOf(std::size_t sendingIndex) const;

    std::function<service_fate(std::size_t sendingIndex)> serviceFate
        = [](std::size_t) { return service_fate::Answered; };
    /// The refusal passed to readyToSend, if any.
    std::function<std::optional<utils::failure>(std::size_t node)> gate
        = [](std::size_t) { return std::optional<utils::failure>(); };
    /// Called before each event is passed to a state machine.
    std::function<void(std::size_t sendingIndex)> beforeEvent = [](std::size_t) {};
    /// Called after each event with the state before it and the event: "claiming kv_unknown".
    std::function<void(const std::string& step)> afterEvent = [](const std::string&) {};
    operations::operation_settings settings;

    static constexpr utils::duration networkDelay = std::chrono::milliseconds(2);
    static constexpr utils::duration slowReach = std::chrono::milliseconds(2500);
    static constexpr utils::duration runTime = std::chrono::milliseconds(20);
    static constexpr utils::duration runTimeout = std::chrono::seconds(1);

private:
    using machine_call = std::function<operations::operation_actions(operations::operation&)>;

    void deliverEvent(std::size_t sendingIndex, std::uint64_t boot, const machine_call& call);
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

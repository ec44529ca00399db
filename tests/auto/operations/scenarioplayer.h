#pragma once

#include "draftbench.h"
#include "paymentbench.h"

#include "utils/statechart.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <memory>
#include <string>

/// Plays one file of tests/scenarios in virtual time against the production state machines.
/// docs/design/fault-matrix.md lists the steps. An unknown step or value throws std::invalid_argument; an
/// expectation that is not met is a failed Boost.Test check. Not thread safe.
class scenario_player {
public:
    explicit scenario_player(const YAML::Node& scenario);

    void play();

private:
    void playStep(const std::string& what, const YAML::Node& value);
    void send(const YAML::Node& value);
    void fault(const YAML::Node& value);
    void gate(const std::string& value);
    void onNode(const std::string& what, std::size_t node);
    void expect(const YAML::Node& value);
    void expectPayment(const YAML::Node& value);
    void expectDraft(const YAML::Node& value);
    std::size_t indexOf(const YAML::Node& value, const char* field) const;
    bench_nodes& nodes();
    fake_kv& kv();
    virtual_time& time();

    utils::state_chart m_operationChart;
    utils::state_chart m_draftChart;
    YAML::Node m_steps;
    std::unique_ptr<payment_bench> m_payments;
    std::unique_ptr<draft_bench> m_drafts;
    std::map<std::string, std::size_t> m_sent; ///< index of each request by its name in the scenario
    std::string m_platformFault;
    unsigned m_platformCalls = 0; ///< remaining calls that the fault affects; 0: until the fault changes
    std::string m_serverFault;
};

#pragma once

#include "matrixworld.h"
#include "paymentbench.h"

#include <random>

/// Random payments, their repeated sendings on other nodes, and random faults. Not thread safe.
class payment_world : public matrix_world {
public:
    /// Precondition: the chart outlives this object.
    payment_world(const utils::state_chart& chart, unsigned seed);

    std::vector<std::string> play() override;

private:
    void inject(matrix_fault fault, std::size_t node) override;
    void drawFates();
    void step();
    void settle();
    std::vector<std::string> broken();
    unsigned draw(unsigned below) { return std::uniform_int_distribution<unsigned>(0, below - 1)(m_random); }
    void endFaultAfter(utils::duration span, const std::function<void()>& end);

    std::mt19937 m_random;
    payment_bench m_bench;
    kv_fate m_forcedKv = kv_fate::Answered;
    service_fate m_forcedService = service_fate::Answered;
    bool m_isRevoked = false;
    bool m_isSettled = false;
    bool m_isQuiet = false; ///< no random faults
};

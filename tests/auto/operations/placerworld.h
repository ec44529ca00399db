#pragma once

#include "matrixworld.h"
#include "placerbench.h"

#include <random>

/// Placers of one pool with random document changes and random faults. Not thread safe.
class placer_world : public matrix_world {
public:
    /// With even seeds the engines honour the fencing number, with odd seeds they ignore it. Precondition:
    /// the chart outlives this object.
    placer_world(const utils::state_chart& chart, unsigned seed);

    std::vector<std::string> play() override;

private:
    void inject(matrix_fault fault, std::size_t node) override;
    void step();
    void settle();
    std::vector<std::string> broken();
    unsigned draw(unsigned below) { return std::uniform_int_distribution<unsigned>(0, below - 1)(m_random); }
    void platform(kv_fate fate, utils::duration span);
    void order(order_fate fate, utils::duration span);
    void setAllWanted();

    std::mt19937 m_random;
    bool m_honoursFencing;
    placer_bench m_bench;
    kv_fate m_forcedKv = kv_fate::Answered;
    order_fate m_forcedOrder = order_fate::Answered;
    unsigned m_version = 1;
    std::set<std::string> m_adapters;
    bool m_isQuiet = false; ///< no random faults
};

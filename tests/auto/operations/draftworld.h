#pragma once

#include "draftbench.h"
#include "matrixworld.h"

#include <random>

/// Runs drafts with faults drawn at random from a seed. Not thread safe.
class draft_world : public matrix_world {
public:
    /// Precondition: the chart outlives this object.
    draft_world(const utils::state_chart& chart, unsigned seed);

    std::vector<std::string> play() override;

private:
    void inject(matrix_fault fault, std::size_t node) override;
    void drawFates();
    void step();
    void sendRefused(std::size_t node);
    void settle();
    std::vector<std::string> broken();
    unsigned draw(unsigned below) { return std::uniform_int_distribution<unsigned>(0, below - 1)(m_random); }
    void forcePlatformFate(kv_fate fate, utils::duration span);
    void forceEngineFate(engine_fate fate, utils::duration span);

    std::mt19937 m_random;
    draft_bench m_bench;
    kv_fate m_forcedKv = kv_fate::Answered;
    engine_fate m_forcedEngine = engine_fate::Answered;
    bool m_isQuiet = false; ///< draws no random faults
};

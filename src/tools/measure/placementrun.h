#pragma once

#include "enginebench.h"

#include <concepts>

namespace measure {

/// A policy under measurement. It places turns by engine_bench::dispatch, at once or later.
template <class Policy>
concept placement_policy = requires(
    Policy& policy, std::size_t turn, std::size_t engine, const engine_event& event, utils::time_point now)
{
    policy.arrive(turn, now);
    policy.finished(engine, turn, now);
    policy.changed(event, now);
    policy.tick(now); // every tickLength
    policy.second(now); // once a second, after the engines have reported
};

constexpr utils::duration tickLength = std::chrono::milliseconds(250);
constexpr int ticksPerSecond = 4;

/// Plays the bench's trace through the policy in virtual time.
template <placement_policy Policy> void playTrace(engine_bench& bench, Policy& policy)
{
    const auto& trace = bench.trace();
    auto turn = trace.turns.begin();
    auto event = trace.events.begin();
    utils::time_point tick { tickLength };
    int ticks = 0;
    const utils::time_point end { utils::fromSeconds(bench.size().phases.end) };
    while (tick <= end) {
        const auto turnAt = turn == trace.turns.end() ? utils::time_point::max() : turn->at;
        const auto eventAt = event == trace.events.end() ? utils::time_point::max() : event->at;
        const auto finishAt = bench.nextFinish();
        const auto now = std::min({ turnAt, eventAt, finishAt, tick });
        if (now == eventAt) {
            const auto cut = bench.apply(*event);
            for (const auto lost : cut)
                policy.finished(event->engine, lost, now);
            policy.changed(*event, now);
            ++event;
        } else if (now == finishAt) {
            const auto done = bench.takeFinish();
            policy.finished(done.engine, done.turn, now);
        } else if (now == turnAt) {
            policy.arrive(static_cast<std::size_t>(turn - trace.turns.begin()), now);
            ++turn;
        } else {
            if (++ticks % ticksPerSecond == 0) {
                policy.second(now);
                bench.sample(now);
            }
            policy.tick(now);
            tick += tickLength;
        }
    }
}

} // namespace measure

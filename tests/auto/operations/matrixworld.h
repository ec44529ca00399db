#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// The faults that the matrix covers, as listed in the project's requirements.
enum class matrix_fault {
    HolderKilled,
    CutRequest,
    CutAnswer,
    PauseThenResume,
    LateOrReordered,
    AnswerOfWriteLost,
    PlatformDown,
    PlatformSlow,
    LeaseLapsed,
    VmListsDisagree,
    EngineFlaps,
    TeamSurges,
    OperatorsRace,
    CrashingRequest,
    Count_
};

constexpr std::array<std::string_view, static_cast<std::size_t>(matrix_fault::Count_)> matrixFaultNames {
    "holder_killed", "cut_request", "cut_answer", "pause_then_resume", "late_or_reordered",
    "answer_of_write_lost", "platform_down", "platform_slow", "lease_lapsed", "vm_lists_disagree",
    "engine_flaps", "team_surges", "operators_race", "crashing_request"
};

/// Injects a fault right before the event with the given number.
struct matrix_injection {
    std::uint64_t event = 0;
    matrix_fault fault = matrix_fault::HolderKilled;
};

/// A transition that a state machine took, as "state event", and the number of that event.
struct matrix_step {
    std::string step;
    std::uint64_t event = 0;
};

/// One run of the production state machines against fakes, generated from a seed, with injected faults. The
/// same seed gives the same run up to the first injection. Not thread safe.
class matrix_world {
public:
    matrix_world() = default;
    matrix_world(const matrix_world&) = delete;
    matrix_world& operator=(const matrix_world&) = delete;
    virtual ~matrix_world() = default;

    /// Plays the run, ends all faults, waits for the machines to finish and returns the violated guarantees.
    virtual std::vector<std::string> play() = 0;

    std::vector<matrix_injection> injections;
    std::vector<matrix_step> steps;

protected:
    virtual void inject(matrix_fault fault, std::size_t node) = 0;

    void beforeEvent(std::size_t node)
    {
        ++m_event;
        for (const matrix_injection& each : injections) {
            if (each.event == m_event)
                inject(each.fault, node);
        }
    }
    void afterEvent(const std::string& step) { steps.push_back({ step, m_event }); }

private:
    std::uint64_t m_event = 0;
};

#include "placementtrace.h"

#include "utils/hashing.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace measure {

namespace {

constexpr unsigned workspaceCount = 10;
constexpr double zipfExponent = 1.1;
constexpr double burstEverySeconds = 300;
constexpr double burstLengthSeconds = 5;
constexpr double burstChatsPerEngine = 1.5;
constexpr double surgeFactor = 3; ///< of the surging workspace's arrivals of new chats
constexpr double surgeSeconds = 120;
constexpr double flapDownSeconds = 20;
constexpr double flapUpSeconds = 60;
constexpr int flapCount = 3;
constexpr double drainSeconds = 60;
/// Chats begin so long before the trace, so that old and new ones return from its start.
constexpr double populationSeconds = 7200;

utils::time_point at(double seconds)
{
    return utils::time_point { utils::fromSeconds(seconds) };
}

/// Makes the turns of one trace.
class turn_maker {
public:
    turn_maker(const workload& load, const fleet_size& size, std::uint64_t seed)
        : m_load(load)
        , m_size(size)
        , m_random(seed)
    {
        double sum = 0;
        for (unsigned rank = 1; rank <= workspaceCount; ++rank)
            m_workspaceWeights.push_back(1 / std::pow(rank, zipfExponent));
        for (const double weight : m_workspaceWeights)
            sum += weight;
        for (double& weight : m_workspaceWeights)
            weight /= sum;
    }

    std::vector<chat_turn> make()
    {
        const double chatsPerSecond = m_size.engines * targetLoad / (secondsPerTurn() * m_load.meanTurns);
        for (double now = -populationSeconds; now < m_size.phases.end; now += exponential(1 / chatsPerSecond))
            addChat(now, pickWorkspace());
        addBursts();
        addSurge(chatsPerSecond);
        std::ranges::stable_sort(m_turns, {}, &chat_turn::at);
        return std::move(m_turns);
    }

private:
    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }
    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_random); }

    std::uint16_t pickWorkspace()
    {
        double draw = uniform(0, 1);
        for (std::uint16_t i = 0; i + 1U < workspaceCount; ++i) {
            draw -= m_workspaceWeights[i];
            if (draw < 0)
                return i;
        }
        return workspaceCount - 1;
    }

    /// Most come back within minutes, some after hours.
    double pause()
    {
        const double draw = uniform(0, 1);
        if (draw < 0.70)
            return 20 + exponential(150);
        if (draw < 0.95)
            return 60 + exponential(900);
        return 600 + exponential(5400);
    }

    /// Mean time that a turn takes a slot, by a sample of chats with their prefixes cached.
    double secondsPerTurn()
    {
        turn_maker sample(m_load, { 1, 1, {} }, 99);
        constexpr int chats = 2000;
        sample.m_horizon = 1e9;
        for (int i = 0; i < chats; ++i)
            sample.addChat(0, 0);
        double seconds = 0;
        for (const auto& turn : sample.m_turns)
            seconds += ((turn.promptTokens - turn.historyTokens) / prefillTokensPerSecond)
                + (turn.outputTokens * secondsPerOutputToken);
        return seconds / static_cast<double>(sample.m_turns.size());
    }

    void addChat(double start, std::uint16_t workspace)
    {
        const double horizon = m_horizon > 0 ? m_horizon : m_size.phases.end;
        chat_turn turn;
        turn.chat = utils::combineHashes(m_random(), ++m_chats);
        turn.workspace = workspace;
        turn.priority = pickClass();
        const bool isLong = uniform(0, 1) < m_load.longShare;
        double history = workspaceTokens;
        double fresh = isLong ? uniform(m_load.longTokensLow, m_load.longTokensHigh) : uniform(200, 1500);
        const bool isInteractive = turn.priority == decisions::priority_class::Interactive;
        turn.isFirst = true;
        for (double now = start; now < horizon; now += pause()) {
            turn.at = at(now);
            turn.entryNode = static_cast<std::uint16_t>(m_random() % m_size.nodes);
            turn.historyTokens = static_cast<std::uint32_t>(history);
            turn.promptTokens = static_cast<std::uint32_t>(history + fresh);
            turn.outputTokens = static_cast<std::uint32_t>(isInteractive ? uniform(20, 80)
                    : isLong                                             ? uniform(300, 700)
                                                                         : uniform(80, 320));
            if (now >= 0)
                m_turns.push_back(turn);
            history = turn.promptTokens + turn.outputTokens;
            fresh = uniform(30, 300);
            turn.isFirst = false;
            if (uniform(0, 1) < 1 / m_load.meanTurns)
                break;
        }
    }

    decisions::priority_class pickClass()
    {
        const double draw = uniform(0, 1);
        if (draw < m_load.interactiveShare)
            return decisions::priority_class::Interactive;
        if (draw < m_load.interactiveShare + m_load.draftShare)
            return decisions::priority_class::Draft;
        return decisions::priority_class::Chat;
    }

    void addBursts()
    {
        const int chats = static_cast<int>(burstChatsPerEngine * m_size.engines);
        for (double now = burstEverySeconds; now < m_size.phases.end; now += burstEverySeconds) {
            const auto workspace = pickWorkspace();
            for (int i = 0; i < chats; ++i)
                addChat(now + uniform(0, burstLengthSeconds), workspace);
        }
    }

    void addSurge(double chatsPerSecond)
    {
        const double begin = m_size.phases.changedUntil + 180;
        const double rate = chatsPerSecond * m_workspaceWeights[1] * (surgeFactor - 1);
        const double end = std::min(begin + surgeSeconds, m_size.phases.end);
        for (double now = begin; now < end; now += exponential(1 / rate))
            addChat(now, 1);
    }

    workload m_load;
    fleet_size m_size;
    std::mt19937_64 m_random;
    std::vector<double> m_workspaceWeights;
    std::vector<chat_turn> m_turns;
    std::uint64_t m_chats = 0;
    double m_horizon = 0;
};

std::vector<engine_event> makeEvents(const fleet_size& size)
{
    std::vector<engine_event> events;
    const std::size_t replaced = std::max(1U, (size.engines + 2) / 5);
    const double change = size.phases.steadyUntil;
    for (std::size_t i = 0; i < replaced; ++i) {
        events.push_back({ at(change), engine_event_kind::Leave, i });
        events.push_back({ at(change + drainSeconds), engine_event_kind::Gone, i });
        events.push_back({ at(change), engine_event_kind::Join, size.engines + i });
    }
    const std::size_t flapping = replaced;
    for (int i = 0; i < flapCount; ++i) {
        const double begin = size.phases.changedUntil + 30 + (i * (flapDownSeconds + flapUpSeconds));
        events.push_back({ at(begin), engine_event_kind::Crash, flapping });
        events.push_back({ at(begin + flapDownSeconds), engine_event_kind::Return, flapping });
    }
    std::ranges::stable_sort(events, {}, &engine_event::at);
    return events;
}

} // namespace

workload printShop()
{
    workload load;
    load.name = "print shop";
    load.loadBound = 1.25;
    load.longShare = 0.08;
    load.longTokensLow = 15'000;
    load.longTokensHigh = 40'000;
    load.draftShare = 0.5;
    load.interactiveShare = 0.1;
    load.cacheTokens = 2e6;
    load.reuseWait = { 0.1, 1, 10 };
    load.maxWait = { 2, 30, 300 };
    return load;
}

workload teaDances()
{
    workload load;
    load.name = "tea dances";
    load.loadBound = 1.10;
    load.longShare = 0.02;
    load.longTokensLow = 6000;
    load.longTokensHigh = 15'000;
    load.draftShare = 0.1;
    load.interactiveShare = 0.3;
    load.cacheTokens = 1e6;
    load.reuseWait = { 0, 0.3, 10 };
    load.maxWait = { 2, 30, 300 };
    return load;
}

phase phaseAt(const run_phases& phases, double seconds)
{
    if (seconds < phases.warmUntil)
        return phase::WarmUp;
    if (seconds < phases.steadyUntil)
        return phase::Steady;
    return seconds < phases.changedUntil ? phase::Changed : phase::Faults;
}

placement_trace makeTrace(const workload& load, const fleet_size& size, std::uint64_t seed)
{
    placement_trace trace;
    trace.turns = turn_maker(load, size, seed).make();
    trace.events = makeEvents(size);
    trace.engineCount = size.engines + std::max(1U, (size.engines + 2) / 5);
    return trace;
}

} // namespace measure

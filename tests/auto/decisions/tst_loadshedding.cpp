#include "decisions/loadshedding.h"
#include "decisions/responsetimes.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using decisions::load_shedder;
using decisions::response_times;
using decisions::shed_query;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

constexpr unsigned slots = 16;
constexpr int kinds = 3; ///< by urgency
constexpr std::array<double, kinds> workSeconds { 1.5, 1.0, 0.2 };
constexpr std::array<utils::duration, kinds> targets { 1s, 800ms, 1200ms };
constexpr utils::duration callerTimeout = 4s;

struct kind_outcome {
    unsigned asked = 0;
    unsigned refused = 0;
    unsigned inTime = 0;
    unsigned givenUp = 0; ///< admitted, but not started before the caller gave up
    double share(unsigned part) const { return asked == 0 ? 0 : static_cast<double>(part) / asked; }
};

/// One server that starts the most urgent waiting request first, and one node in front of it. Times in
/// milliseconds; `load(t)` is the offered work relative to the capacity.
class shedding_simulation {
public:
    std::array<kind_outcome, kinds> run(int from, int until, const std::function<double(int)>& load)
    {
        std::array<kind_outcome, kinds> outcome;
        for (int now = from; now < until; ++now) {
            advance(now, outcome);
            for (int kind = 0; kind < kinds; ++kind) {
                if (uniform() < load(now) * slots / (kinds * workSeconds[kind] * 1000))
                    arrive(kind, now, outcome[static_cast<std::size_t>(kind)]);
            }
        }
        return outcome;
    }

private:
    struct waiting_request {
        int kind;
        int since;
    };

    double uniform() { return static_cast<double>(m_random() % 1000000) / 1000000; }

    void arrive(int kind, int now, kind_outcome& outcome)
    {
        ++outcome.asked;
        const auto index = static_cast<std::size_t>(kind);
        m_shedder.recordTarget(kind, targets[index]);
        shed_query query;
        const auto held = static_cast<unsigned>(m_running.size() + waiting());
        query.slotWait = m_times.slotWait(held, slots, kind);
        query.queueing = query.slotWait + m_times.forecast(0).expected();
        query.expectedAnswer = query.queueing;
        query.target = targets[index];
        query.timeLeft = callerTimeout;
        query.urgency = kind;
        query.hash = m_random();
        if (m_shedder.decide(query, at(std::chrono::milliseconds(now)))) {
            ++outcome.refused;
            return;
        }
        m_waiting[index].push({ kind, now });
    }

    std::size_t waiting() const
    {
        std::size_t sum = 0;
        for (const auto& queue : m_waiting)
            sum += queue.size();
        return sum;
    }

    void advance(int now, std::array<kind_outcome, kinds>& outcome)
    {
        while (!m_running.empty() && m_running.top() <= now)
            m_running.pop();
        for (auto& queue : m_waiting) {
            while (!queue.empty() && m_running.size() < slots) {
                const waiting_request next = queue.front();
                queue.pop();
                const auto index = static_cast<std::size_t>(next.kind);
                const auto waited = std::chrono::milliseconds(now - next.since);
                if (waited >= callerTimeout) {
                    ++outcome[index].givenUp;
                    continue;
                }
                outcome[index].inTime += waited <= targets[index] ? 1 : 0;
                const double work = workSeconds[index] * (0.5 + uniform());
                m_running.push(now + static_cast<int>(work * 1000));
                m_times.recordOccupancy(next.kind, utils::fromSeconds(work));
            }
        }
    }

    std::mt19937 m_random { 11 };
    load_shedder m_shedder;
    response_times m_times { 1s };
    std::array<std::queue<waiting_request>, kinds> m_waiting;
    std::priority_queue<int, std::vector<int>, std::greater<>> m_running;
};

} // namespace

BOOST_AUTO_TEST_SUITE(loadshedding)

// Guards against refusals while there is free capacity.
BOOST_AUTO_TEST_CASE(nobody_is_refused_below_saturation)
{
    shedding_simulation simulation;
    for (const kind_outcome& kind : simulation.run(0, 30000, [](int) { return 0.7; })) {
        BOOST_TEST(kind.refused == 0u);
        BOOST_TEST(kind.share(kind.inTime) > 0.95);
    }
}

// Guards against thousands of requests that wait until their callers give up: beyond saturation, excess
// requests are refused at once, admitted ones are served, and the most urgent ones are served as below
// saturation.
BOOST_AUTO_TEST_CASE(excess_load_is_refused_at_once_and_urgent_requests_are_served)
{
    for (const double load : { 1.5, 2.5 }) {
        shedding_simulation simulation;
        const auto kinds = simulation.run(0, 30000, [load](int) { return load; });
        for (const kind_outcome& kind : kinds)
            BOOST_TEST(kind.share(kind.givenUp) < 0.02);
        BOOST_TEST(kinds[0].share(kinds[0].inTime) > 0.9);
        BOOST_TEST(kinds[0].share(kinds[0].refused) < 0.05);
        BOOST_TEST(kinds[1].share(kinds[1].refused) <= kinds[2].share(kinds[2].refused) + 0.02);
    }
}

// Guards against a fleet that stays overloaded after the load has gone: five seconds later, all requests
// are served as before.
BOOST_AUTO_TEST_CASE(all_requests_are_served_again_after_saturation)
{
    shedding_simulation simulation;
    const auto load = [](int now) { return now >= 5000 && now < 35000 ? 2.5 : 0.6; };
    simulation.run(0, 40000, load);
    for (const kind_outcome& kind : simulation.run(40000, 60000, load)) {
        BOOST_TEST(kind.refused == 0u);
        BOOST_TEST(kind.share(kind.inTime) > 0.95);
    }
}

// Guards against retries that come together, or before there can be room for them.
BOOST_AUTO_TEST_CASE(callers_retry_at_the_rate_at_which_they_can_be_served)
{
    load_shedder shedder;
    shed_query query;
    query.target = 1s;
    query.timeLeft = 10s;
    for (int i = 0; i < 1000; ++i)
        BOOST_TEST(!shedder.decide(query, at(i * 2ms)));
    query.slotWait = query.queueing = query.expectedAnswer = 9s;
    std::vector<utils::duration> pauses;
    for (int i = 0; i < 1000; ++i) {
        query.hash = static_cast<std::uint64_t>(i) * 0x9E3779B97F4A7C15ull;
        pauses.push_back(shedder.decide(query, at(2s + i * 2ms))->retryAfter);
    }
    BOOST_TEST((pauses.front() < 1s));
    // As many requests refused as served within the decay time: five seconds or more.
    const auto [shortest, longest] = std::ranges::minmax(std::vector(pauses.end() - 100, pauses.end()));
    BOOST_TEST((shortest > 4s));
    BOOST_TEST((longest > 1.5 * shortest));
}

// Guards against requests that are admitted by their share of too little room, and refused all the same since
// they wait longer than others may; what would miss its deadline is refused.
BOOST_AUTO_TEST_CASE(admitted_shares_are_bounded_by_their_deadline_only)
{
    load_shedder shedder;
    shed_query query;
    query.target = 1s;
    query.timeLeft = 10s;
    query.slotWait = query.queueing = query.expectedAnswer = 4s;
    BOOST_TEST(shedder.mustRefuse(query));
    query.hasShare = true;
    BOOST_TEST(!shedder.mustRefuse(query));
    query.loopDelay = 1us;
    BOOST_TEST(!shedder.mustRefuse(query));
    query.loopDelay = 0us;
    query.expectedAnswer = 11s;
    BOOST_TEST(shedder.mustRefuse(query));
}

// Guards against less urgent requests that are admitted while more urgent ones are refused.
BOOST_AUTO_TEST_CASE(limits_fall_with_urgency)
{
    load_shedder shedder;
    shedder.recordTarget(0, 1s);
    shedder.recordTarget(1, 800ms);
    shedder.recordTarget(2, 1200ms);
    BOOST_TEST((shedder.limitFor(0, 1s) == 3s));
    BOOST_TEST((shedder.limitFor(1, 800ms) == 800ms));
    BOOST_TEST((shedder.limitFor(2, 1200ms) == 720ms));
}

BOOST_AUTO_TEST_SUITE_END()

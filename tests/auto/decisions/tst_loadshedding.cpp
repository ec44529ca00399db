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
constexpr utils::duration patience = 4s;

struct kind_outcome {
    unsigned asked = 0;
    unsigned refused = 0;
    unsigned inTime = 0;
    unsigned givenUp = 0; ///< let in, and not begun before its caller left
    double share(unsigned part) const { return asked == 0 ? 0 : static_cast<double>(part) / asked; }
};

/// One server with slots that takes the most urgent that waits first, and one node in front of it. In
/// milliseconds: `load(t)` times as much work comes as it can do.
class shed_play {
public:
    std::array<kind_outcome, kinds> run(int from, int until, const std::function<double(int)>& load)
    {
        std::array<kind_outcome, kinds> outcome;
        for (int now = from; now < until; ++now) {
            advance(now, outcome);
            for (int kind = 0; kind < kinds; ++kind) {
                if (unit() < load(now) * slots / (kinds * workSeconds[kind] * 1000))
                    ask(kind, now, outcome[static_cast<std::size_t>(kind)]);
            }
        }
        return outcome;
    }

private:
    struct waiting_request {
        int kind;
        int since;
    };

    double unit() { return static_cast<double>(m_random() % 1000000) / 1000000; }

    void ask(int kind, int now, kind_outcome& outcome)
    {
        ++outcome.asked;
        const auto place = static_cast<std::size_t>(kind);
        m_shedder.seen(kind, targets[place]);
        shed_query query;
        const auto held = static_cast<unsigned>(m_running.size() + waiting());
        query.slotWait = m_times.slotWait(held, slots, kind);
        query.queueing = query.slotWait + m_times.forecast(0).expected();
        query.expectedAnswer = query.queueing;
        query.target = targets[place];
        query.timeLeft = patience;
        query.urgency = kind;
        query.hash = m_random();
        if (m_shedder.decide(query, at(std::chrono::milliseconds(now)))) {
            ++outcome.refused;
            return;
        }
        m_waiting[place].push({ kind, now });
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
                const auto place = static_cast<std::size_t>(next.kind);
                const auto waited = std::chrono::milliseconds(now - next.since);
                if (waited >= patience) {
                    ++outcome[place].givenUp;
                    continue;
                }
                outcome[place].inTime += waited <= targets[place] ? 1 : 0;
                const double work = workSeconds[place] * (0.5 + unit());
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

// Guards against refusals where there is room.
BOOST_AUTO_TEST_CASE(nobody_is_refused_below_saturation)
{
    shed_play play;
    for (const kind_outcome& kind : play.run(0, 30000, [](int) { return 0.7; })) {
        BOOST_TEST(kind.refused == 0u);
        BOOST_TEST(kind.share(kind.inTime) > 0.95);
    }
}

// Guards against thousands that wait until their callers leave: beyond saturation what cannot be served is
// refused at once, and what is let in is served, the most urgent like below saturation.
BOOST_AUTO_TEST_CASE(saturation_is_refused_at_once_and_the_urgent_are_served)
{
    for (const double load : { 1.5, 2.5 }) {
        shed_play play;
        const auto kinds = play.run(0, 30000, [load](int) { return load; });
        for (const kind_outcome& kind : kinds)
            BOOST_TEST(kind.share(kind.givenUp) < 0.02);
        BOOST_TEST(kinds[0].share(kinds[0].inTime) > 0.9);
        BOOST_TEST(kinds[0].share(kinds[0].refused) < 0.05);
        BOOST_TEST(kinds[1].share(kinds[1].refused) <= kinds[2].share(kinds[2].refused) + 0.02);
    }
}

// Guards against a fleet that stays overloaded after the load has gone: five seconds later all is as before.
BOOST_AUTO_TEST_CASE(all_is_served_again_after_saturation)
{
    shed_play play;
    const auto load = [](int now) { return now >= 5000 && now < 35000 ? 2.5 : 0.6; };
    play.run(0, 40000, load);
    for (const kind_outcome& kind : play.run(40000, 60000, load)) {
        BOOST_TEST(kind.refused == 0u);
        BOOST_TEST(kind.share(kind.inTime) > 0.95);
    }
}

// Guards against returns that come together or before there can be room for them.
BOOST_AUTO_TEST_CASE(callers_return_as_fast_as_they_can_be_served)
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
    // As many refused as served within the counting time: five seconds or more.
    const auto [least, most] = std::ranges::minmax(std::vector(pauses.end() - 100, pauses.end()));
    BOOST_TEST((least > 4s));
    BOOST_TEST((most > 1.5 * least));
}

// Guards against work that is less urgent being let in while more urgent work is refused.
BOOST_AUTO_TEST_CASE(limits_fall_with_urgency)
{
    load_shedder shedder;
    shedder.seen(0, 1s);
    shedder.seen(1, 800ms);
    shedder.seen(2, 1200ms);
    BOOST_TEST((shedder.limitFor(0, 1s) == 3s));
    BOOST_TEST((shedder.limitFor(1, 800ms) == 800ms));
    BOOST_TEST((shedder.limitFor(2, 1200ms) == 720ms));
}

BOOST_AUTO_TEST_SUITE_END()

#include "decisions/responsetimes.h"
#include "decisions/silencedetector.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace std::chrono_literals;
using decisions::response_times;
using decisions::silence_detector;
using utils::server_id;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

/// Estimates of a node for engines with that prefill speed, after 300 prompts of 100 to 12,000 tokens. The
/// noise stands for tokens that an engine held without the node's knowledge.
response_times measuredTimes(double tokensPerSecond)
{
    response_times times;
    std::mt19937 random(7);
    for (int i = 0; i < 300; ++i) {
        const auto tokens = static_cast<std::uint32_t>(100 + random() % 11900);
        const double noise = 0.85 + 0.3 * static_cast<double>(random() % 1000) / 1000;
        times.recordFirstByte(tokens, 15ms + utils::fromSeconds(tokens / tokensPerSecond * noise));
    }
    return times;
}

} // namespace

BOOST_AUTO_TEST_SUITE(responsetimes)

// Guards against limits that suit only one speed of engine: forecasts follow the measured engines.
BOOST_AUTO_TEST_CASE(forecasts_follow_the_measured_engines)
{
    for (const double speed : { 10000.0, 30000.0, 60000.0, 120000.0 }) {
        const response_times times = measuredTimes(speed);
        const double forecast = utils::toSeconds(times.forecast(20000).expected());
        BOOST_TEST(forecast > 0.8 * 20000 / speed);
        BOOST_TEST(forecast < 1.25 * 20000 / speed + 0.05);
    }
}

// Guards against short prompts displacing the prefill speed that was measured with long ones.
BOOST_AUTO_TEST_CASE(short_prompts_do_not_change_the_prefill_speed)
{
    response_times times = measuredTimes(20000);
    const double before = times.secondsPerToken();
    for (int i = 0; i < 2000; ++i)
        times.recordFirstByte(20, 400ms);
    BOOST_TEST(times.secondsPerToken() == before);
    BOOST_TEST((times.forecast(0).expected() > 350ms));
}

// Guards against a forecast for the least urgent that forgets those who come later and go before them.
BOOST_AUTO_TEST_CASE(less_urgent_requests_wait_for_those_that_overtake_them)
{
    response_times times(500ms);
    for (int i = 0; i < 400; ++i) {
        times.recordOccupancy(0, 500ms);
        times.recordOccupancy(2, 500ms);
    }
    constexpr unsigned slots = 16;
    constexpr unsigned waiting = 16;
    const double urgent = utils::toSeconds(times.slotWait(slots + waiting, slots, 0));
    const double others = utils::toSeconds(times.slotWait(slots + waiting, slots, 2, 1.5));
    // Half of the slots go to urgent requests all the while, so that the queue takes twice its time.
    BOOST_TEST(others > 3 * urgent);
}

// Guards against prompts that no engine ever finishes: each engine was treated as failed in the middle of the
// prefill and the prompt started again on another one, so that shared parts were prefilled over and over.
BOOST_AUTO_TEST_CASE(a_slow_engine_in_a_long_prefill_is_not_silent)
{
    const response_times times = measuredTimes(25000);
    const utils::duration limit = silence_detector::limitFor(1s, true);
    const server_id engine("engine");
    silence_detector silence;
    silence.requestSent(engine, 1, limit, times.forecast(30000).latest(), at(0s));
    silence.requestSent(engine, 2, limit, times.forecast(300).latest(), at(200ms));
    BOOST_TEST(!silence.isSilent(engine, at(1400ms)));
    // After the prefill the usual limit applies again.
    silence.dataReceived(engine, at(1400ms));
    silence.prefillFinished(engine, 1);
    BOOST_TEST(!silence.isSilent(engine, at(2300ms)));
    BOOST_TEST(silence.isSilent(engine, at(2500ms)));
}

// Guards against waiting longer than needed for a failed engine: without a long prompt, the usual limit
// applies.
BOOST_AUTO_TEST_CASE(an_engine_without_long_prompts_is_silent_after_the_usual_limit)
{
    const response_times times = measuredTimes(60000);
    const utils::duration limit = silence_detector::limitFor(1s, true);
    const server_id engine("engine");
    silence_detector silence;
    silence.requestSent(engine, 1, limit, times.forecast(12000).latest(), at(0s));
    BOOST_TEST(!silence.isSilent(engine, at(990ms)));
    BOOST_TEST(silence.isSilent(engine, at(1010ms)));
}

BOOST_AUTO_TEST_SUITE_END()

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

/// What a node has learned of engines that read so many tokens a second, from prompts of 100 to 12,000 tokens
/// of which a part was held without its knowledge.
response_times learnedFrom(double tokensPerSecond)
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

// Guards against limits fit for one kind of engine: forecasts follow what the engines at hand do.
BOOST_AUTO_TEST_CASE(forecasts_follow_the_engines_at_hand)
{
    for (const double speed : { 10000.0, 30000.0, 60000.0, 120000.0 }) {
        const response_times times = learnedFrom(speed);
        const double forecast = utils::toSeconds(times.forecast(20000).expected());
        BOOST_TEST(forecast > 0.8 * 20000 / speed);
        BOOST_TEST(forecast < 1.25 * 20000 / speed + 0.05);
    }
}

// Guards against short answers washing out what long prompts have told of the reading.
BOOST_AUTO_TEST_CASE(short_prompts_tell_nothing_of_the_reading)
{
    response_times times = learnedFrom(20000);
    const double before = times.secondsPerToken();
    for (int i = 0; i < 2000; ++i)
        times.recordFirstByte(20, 400ms);
    BOOST_TEST(times.secondsPerToken() == before);
    BOOST_TEST((times.forecast(0).expected() > 350ms));
}

// Guards against prompts that no engine ever ends: each was left for dark in the middle of reading and the
// prompt begun anew elsewhere, while the parts that others share were read again and again.
BOOST_AUTO_TEST_CASE(a_slow_engine_that_reads_a_long_prompt_is_not_dark)
{
    const response_times times = learnedFrom(25000);
    const utils::duration limit = silence_detector::limitFor(1s, true);
    const server_id engine("engine");
    silence_detector silence;
    silence.requestSent(engine, 1, limit, times.forecast(30000).latest(), at(0s));
    silence.requestSent(engine, 2, limit, times.forecast(300).latest(), at(200ms));
    BOOST_TEST(!silence.isSilent(engine, at(1400ms)));
    // Once it is read, the usual limit holds again.
    silence.dataReceived(engine, at(1400ms));
    silence.prefillFinished(engine, 1);
    BOOST_TEST(!silence.isSilent(engine, at(2300ms)));
    BOOST_TEST(silence.isSilent(engine, at(2500ms)));
}

// Guards against patience with a dark engine: without a long prompt there it is left as soon as ever.
BOOST_AUTO_TEST_CASE(an_engine_without_long_prompts_is_left_at_the_usual_limit)
{
    const response_times times = learnedFrom(60000);
    const utils::duration limit = silence_detector::limitFor(1s, true);
    const server_id engine("engine");
    silence_detector silence;
    silence.requestSent(engine, 1, limit, times.forecast(12000).latest(), at(0s));
    BOOST_TEST(!silence.isSilent(engine, at(990ms)));
    BOOST_TEST(silence.isSilent(engine, at(1010ms)));
}

BOOST_AUTO_TEST_SUITE_END()

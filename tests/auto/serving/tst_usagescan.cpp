#include "serving/usagescan.h"

#include <boost/test/unit_test.hpp>

#include <string>

BOOST_AUTO_TEST_SUITE(usagescan)

BOOST_AUTO_TEST_CASE(the_usage_is_found_however_the_answer_is_cut_into_pieces)
{
    const std::string answer = std::string(5000, 'x')
        + R"("usage":{"prompt_tokens": 1200,"completion_tokens":5,"prompt_tokens_details":{"cached_tokens":1100}}})";
    for (const std::size_t piece : { 1, 7, 64, 700, 6000 }) {
        serving::usage_scan scan;
        for (std::size_t at = 0; at < answer.size(); at += piece)
            scan.feed(std::string_view(answer).substr(at, piece));
        const auto usage = scan.find();
        BOOST_REQUIRE(usage.has_value());
        BOOST_TEST(usage->promptTokens == 1200U);
        BOOST_TEST(usage->cachedTokens == 1100U);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_without_usage_has_none)
{
    serving::usage_scan scan;
    scan.feed("data: [DONE]\n\n");
    BOOST_TEST(!scan.find().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

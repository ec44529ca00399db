#include "ctl/requesttrace.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using ctl::traceRequest;

namespace {

std::string lineOf(const std::string& second, const std::string& rest)
{
    return "{\"time\":\"2026-09-17T16:46:" + second + "Z\"," + rest + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_trace)

// The connection to a payment's backend server was cut. The lines come from two files in any order; the line
// of the failed attempt must be named as the decisive one.
BOOST_AUTO_TEST_CASE(a_request_that_was_cut_is_explained)
{
    const auto trace = traceRequest("r1",
        { lineOf("32.900",
              R"("event":4002,"name":"request_refused","request":"r1","kind":"server_failed","attempts":"1")"),
            lineOf("32.800",
                R"("event":4003,"name":"attempt_failed","request":"r1","server":"i-7","end":"cut","repeats_left":"3")"),
            lineOf("31.000", R"("event":7002,"name":"store_lost","status":"no_answer")"),
            lineOf("10.000", R"("event":7002,"name":"store_lost","status":"no_answer")"),
            lineOf("32.850", R"("event":4001,"name":"request_done","request":"r2")"), "no json", "{broken" });
    BOOST_REQUIRE(trace.steps.size() == 2u);
    BOOST_TEST(trace.steps[0].find("attempt_failed") != std::string::npos);
    BOOST_TEST(
        trace.decisive == "ended as server_failed: the attempt at i-7 ended: cut, 3 repeats were left");
    BOOST_TEST(trace.around.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_refusal_without_an_attempt_says_that_nothing_was_sent)
{
    const auto trace = traceRequest("r1",
        { "  12.5 front-1 "
            + lineOf("32.900",
                R"("event":4002,"name":"request_refused","request":"r1","kind":"unknown_team","detail":"no workspace has the key","attempts":"0")") });
    BOOST_TEST(trace.decisive == "ended as unknown_team (no workspace has the key): nothing was sent");
    BOOST_TEST(trace.steps.front().starts_with("  12.5 front-1  request_refused"));
}

BOOST_AUTO_TEST_CASE(a_successful_second_attempt_is_reported)
{
    const auto trace = traceRequest("r1",
        { lineOf("32.100",
              R"("event":4003,"name":"attempt_failed","request":"r1","server":"i-7","end":"silent")"),
            lineOf("32.900",
                R"("event":4001,"name":"request_done","request":"r1","server":"i-8","status":"200")") });
    BOOST_TEST(trace.decisive == "answered by i-8 with status 200 after an attempt at i-7 ended: silent");
}

BOOST_AUTO_TEST_CASE(a_missing_end_is_reported)
{
    std::ostringstream out;
    ctl::printTrace(traceRequest("r9", {}), out);
    BOOST_TEST(out.str().find("no line tells how it ended") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

#include "serving/tracer.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(tracer)

BOOST_AUTO_TEST_CASE(a_traceparent_is_kept_and_a_bad_one_replaced)
{
    const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto context = serving::parseTraceparent(header);
    BOOST_TEST(context.traceId == "0af7651916cd43dd8448eb211c80319c");
    BOOST_TEST(context.spanId == "b7ad6b7169203331");
    BOOST_TEST(serving::formatTraceparent(context) == header);
    BOOST_TEST(serving::parseTraceparent("nonsense").traceId.size() == 32);
    BOOST_TEST(serving::parseTraceparent("").spanId.empty());
}

BOOST_AUTO_TEST_CASE(a_span_is_the_child_of_its_parent)
{
    serving::tracer off("node", "");
    const auto parent = serving::parseTraceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    const serving::trace_span span(off, "entry", parent);
    BOOST_TEST(span.context().traceId == parent.traceId);
    BOOST_TEST(span.context().spanId != parent.spanId);
}

BOOST_AUTO_TEST_SUITE_END()

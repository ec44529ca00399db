#include "paymentbench.h"

#include "utils/statechart.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace std::chrono_literals;
using utils::error_kind;

namespace {

const utils::state_chart& operationChart()
{
    static const utils::state_chart chart
        = utils::state_chart::load(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/charts/operation.yaml").value();
    return chart;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operation_records)

BOOST_AUTO_TEST_CASE(the_chart_names_only_actions_that_the_machine_has)
{
    BOOST_TEST(static_cast<bool>(operations::operation::checkChart(operationChart())));
}

BOOST_AUTO_TEST_CASE(a_payment_runs_once_and_its_answer_is_kept_for_another_node)
{
    // A payment runs through node 0 and is sent again to node 1 with the same key.
    // Node 1 must return the stored receipt without running the payment again.
    payment_bench bench(operationChart(), 2);
    const std::size_t first = bench.send("order-1", 0);
    bench.time().advance(1s);
    const std::size_t second = bench.send("order-1", 1);
    bench.time().advance(1s);
    BOOST_REQUIRE(bench.sendings()[first].answer);
    BOOST_REQUIRE(bench.sendings()[second].answer);
    BOOST_TEST(bench.sendings()[second].answer->body == "receipt order-1");
    BOOST_TEST(bench.ledger("order-1") == 1U);
    BOOST_TEST(bench.kv().writes() == 2U);
}

BOOST_AUTO_TEST_CASE(the_same_key_with_another_body_is_refused)
{
    payment_bench bench(operationChart(), 2);
    bench.send("order-1", 0, "10.00 EUR");
    bench.time().advance(1s);
    const std::size_t second = bench.send("order-1", 1, "99.00 EUR");
    bench.time().advance(1s);
    BOOST_REQUIRE(bench.sendings()[second].failure);
    BOOST_TEST((bench.sendings()[second].failure->kind == error_kind::KeyReused));
    BOOST_TEST(bench.ledger("order-1") == 1U);
}

BOOST_AUTO_TEST_CASE(a_platform_that_is_down_refuses_not_run_at_once)
{
    payment_bench bench(operationChart(), 1);
    bench.kv().fate = [](const auto&) { return kv_fate::NotSent; };
    const std::size_t first = bench.send("order-1", 0);
    bench.time().advance(1ms);
    BOOST_REQUIRE(bench.sendings()[first].failure);
    BOOST_TEST((bench.sendings()[first].failure->kind == error_kind::PlatformUnavailable));
    BOOST_TEST(bench.sendings()[first].saysNotRun());
    bench.time().advance(60s);
    BOOST_TEST(bench.ledger("order-1") == 0U);
}

BOOST_AUTO_TEST_CASE(a_claim_whose_answer_was_lost_is_read_back_and_runs)
{
    // The platform applies the claim, but its reply is lost. Without reading the record back, the caller
    // would get may_have_run for a payment that was never sent.
    payment_bench bench(operationChart(), 1);
    int calls = 0;
    bench.kv().fate = [&](const auto&) { return calls++ == 0 ? kv_fate::AnswerLost : kv_fate::Answered; };
    const std::size_t first = bench.send("order-1", 0);
    bench.time().advance(2s);
    BOOST_TEST(bench.sendings()[first].answer.has_value());
    BOOST_TEST(bench.ledger("order-1") == 1U);
}

BOOST_AUTO_TEST_CASE(a_holder_paused_before_the_send_closes_its_record_and_the_next_sending_runs)
{
    // Node 0 claims the record, is paused before it sends the request, and resumes long after the dispatch
    // window. It must answer not_run without sending; a later sending through node 1 must run.
    payment_bench bench(operationChart(), 2);
    const std::size_t first = bench.send("order-1", 0);
    bench.time().advance(7ms);
    bench.nodes().pause(0);
    bench.time().advance(60s);
    bench.nodes().resume(0);
    bench.time().advance(1s);
    BOOST_TEST(bench.sendings()[first].saysNotRun());
    BOOST_TEST(bench.ledger("order-1") == 0U);
    const std::size_t second = bench.send("order-1", 1);
    bench.time().advance(1s);
    BOOST_TEST(bench.sendings()[second].answer.has_value());
    BOOST_TEST(bench.ledger("order-1") == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_cut_after_the_send_is_never_run_again)
{
    payment_bench bench(operationChart(), 2);
    bench.serviceFate = [](std::size_t) { return service_fate::CutAfter; };
    const std::size_t first = bench.send("order-1", 0);
    bench.time().advance(1s);
    const std::size_t second = bench.send("order-1", 1);
    bench.time().advance(1s);
    for (const std::size_t each : { first, second }) {
        BOOST_REQUIRE(bench.sendings()[each].failure);
        BOOST_TEST(!bench.sendings()[each].saysNotRun());
    }
    BOOST_TEST(bench.ledger("order-1") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

#include "draftbench.h"

#include "utils/statechart.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace std::chrono_literals;
using operations::draft_state;
using utils::error_kind;

namespace {

const utils::state_chart& draftChart()
{
    static const utils::state_chart chart
        = utils::state_chart::load(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/charts/draft.yaml").value();
    return chart;
}

} // namespace

BOOST_AUTO_TEST_SUITE(drafts)

BOOST_AUTO_TEST_CASE(the_chart_names_only_actions_that_the_machine_has)
{
    BOOST_TEST(static_cast<bool>(operations::draft::checkChart(draftChart())));
}

BOOST_AUTO_TEST_CASE(a_draft_is_accepted_once_durable_and_runs_and_stores_its_answer)
{
    draft_bench bench(draftChart(), 3);
    bench.time().advance(1s);
    const std::uint64_t writesBefore = bench.kv().writes();
    const std::size_t first = bench.send("thesis", 0);
    bench.time().advance(10ms);
    BOOST_REQUIRE(bench.sendings()[first].id);
    const std::string id = *bench.sendings()[first].id;
    BOOST_TEST((bench.poll(id)->state == draft_state::Waiting));
    bench.time().advance(10s);
    BOOST_TEST((bench.poll(id)->state == draft_state::Done));
    BOOST_TEST(bench.poll(id)->answer->body == "answer to summarise thesis");
    BOOST_TEST(!bench.poll(id, "another-team"));
    BOOST_TEST(bench.kv().writes() - writesBefore == 2U);
    BOOST_TEST(bench.runs("thesis") == 1U);
    bench.time().advance(2h);
    BOOST_TEST(!bench.poll(id));
}

BOOST_AUTO_TEST_CASE(a_draft_survives_a_crash_of_its_node)
{
    // Node 0 accepts the draft and is killed during the engine's run. Its lease expires, another node's scan
    // finds the marker without a claim, and the polling caller gets the complete answer.
    draft_bench bench(draftChart(), 3);
    bench.time().advance(1s);
    const std::size_t first = bench.send("thesis", 0);
    bench.time().advance(1s);
    bench.kill(0);
    bench.time().advance(60s);
    const auto draft = bench.poll(*bench.sendings()[first].id);
    BOOST_REQUIRE(draft);
    BOOST_TEST((draft->state == draft_state::Done));
    BOOST_TEST(draft->claims == 2U);
    BOOST_TEST(bench.runs("thesis") == 2U);
}

BOOST_AUTO_TEST_CASE(a_worker_paused_past_its_lease_cannot_overwrite)
{
    // Node 0 is paused while it runs the draft, its lease expires, and another node completes the draft. Node
    // 0 resumes and handles its engine's answer before it checks its lease: the write of that answer must
    // fail its compare, and the answer must be dropped.
    draft_bench bench(draftChart(), 2);
    bench.time().advance(1s);
    const std::size_t first = bench.send("thesis", 0);
    bench.time().advance(1s);
    bench.nodes().pause(0);
    bench.time().advance(60s);
    const std::string id = *bench.sendings()[first].id;
    BOOST_REQUIRE((bench.poll(id)->state == draft_state::Done));
    const std::int64_t revision
        = bench.kv().find(operations::draftKey(*operations::slotOfDraft(id)))->modRevision;
    bench.nodes().resumeNewestFirst(0);
    bench.time().advance(60s);
    BOOST_TEST(bench.kv().find(operations::draftKey(*operations::slotOfDraft(id)))->modRevision == revision);
    BOOST_TEST(bench.workers() == 0U);
}

BOOST_AUTO_TEST_CASE(a_draft_that_crashes_its_engines_fails_after_three_runs)
{
    draft_bench bench(draftChart(), 3);
    bench.engineFate = [](const auto&) { return engine_fate::Cut; };
    bench.time().advance(1s);
    const std::size_t first = bench.send("poison", 0);
    bench.time().advance(10min);
    const auto draft = bench.poll(*bench.sendings()[first].id);
    BOOST_REQUIRE(draft);
    BOOST_TEST((draft->state == draft_state::Failed));
    BOOST_TEST((draft->failure->kind == error_kind::ServerFailed));
    BOOST_TEST(bench.runs("poison") == 3U);
}

BOOST_AUTO_TEST_CASE(a_repeated_request_with_the_same_key_finds_its_draft)
{
    draft_bench bench(draftChart(), 2);
    bench.time().advance(1s);
    const std::size_t first = bench.send("thesis", 0);
    bench.time().advance(1s);
    const std::size_t second = bench.send("thesis", 1);
    bench.time().advance(20s);
    BOOST_TEST(*bench.sendings()[first].id == *bench.sendings()[second].id);
    BOOST_TEST(bench.runs("thesis") == 1U);
}

BOOST_AUTO_TEST_CASE(quotas_hold_for_a_team_and_for_the_fleet)
{
    // One calling team sends 30 drafts with a quota of 20 while no engine has capacity; drafts of another
    // calling team must still be accepted. Once all slots of the fleet are taken, further drafts are refused
    // as not run.
    draft_bench bench(draftChart(), 2);
    bench.engineFate = [](const auto&) { return engine_fate::NotRun; };
    bench.settings.totalSlots = 60;
    bench.time().advance(1s);
    unsigned accepted = 0;
    for (int i = 0; i < 30; ++i) {
        const std::size_t sent = bench.send("surge-" + std::to_string(i), 0, "surging");
        bench.time().advance(100ms);
        accepted += bench.sendings()[sent].id ? 1 : 0;
    }
    BOOST_TEST(accepted == 20U);
    const std::size_t other = bench.send("thesis", 1, "quiet");
    bench.time().advance(100ms);
    BOOST_TEST(bench.sendings()[other].id.has_value());
    unsigned refused = 0;
    for (int i = 0; i < 100; ++i) {
        const std::size_t sent = bench.send("many-" + std::to_string(i), 0, "team-" + std::to_string(i % 10));
        bench.time().advance(100ms);
        const draft_sending& s = bench.sendings()[sent];
        refused += s.failure && s.failure->kind == error_kind::DraftQuota ? 1 : 0;
    }
    BOOST_TEST(refused >= 61U);
}

BOOST_AUTO_TEST_CASE(a_cancelled_draft_stays_cancelled)
{
    draft_bench bench(draftChart(), 2);
    bench.time().advance(1s);
    const std::size_t first = bench.send("thesis", 0);
    bench.time().advance(1s);
    const std::string id = *bench.sendings()[first].id;
    bench.cancel(id);
    bench.time().advance(60s);
    BOOST_TEST((bench.poll(id)->state == draft_state::Cancelled));
    BOOST_TEST(bench.workers() == 0U);
}

BOOST_AUTO_TEST_CASE(a_leaving_node_releases_its_drafts_at_once)
{
    draft_bench bench(draftChart(), 2);
    bench.time().advance(1s);
    const std::size_t first = bench.send("thesis", 0);
    bench.time().advance(1s);
    bench.leave(0);
    bench.kill(0);
    bench.time().advance(20s);
    BOOST_TEST((bench.poll(*bench.sendings()[first].id)->state == draft_state::Done));
}

BOOST_AUTO_TEST_CASE(scans_do_not_grow_with_the_fleet)
{
    // Counts the reads of an idle fleet. Without ranks each node would scan all shards.
    for (const std::size_t nodes : { 3UL, 7UL, 50UL, 400UL }) {
        draft_bench bench(draftChart(), nodes);
        bench.time().advance(100s);
        BOOST_TEST_MESSAGE(
            nodes << " nodes: " << static_cast<double>(bench.kv().calls()) / 100 << " scans a second");
        BOOST_TEST(bench.kv().calls() <= 1100U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

#include "configfixture.h"

using config::change_outcome;
using config::change_verdict;
using utils::error_kind;

namespace {

utils::pool_id theses()
{
    return utils::pool_id("theses");
}

utils::team_id events()
{
    return utils::team_id("events-site");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_store_changes, config_fixture)

BOOST_AUTO_TEST_CASE(chart_matches_the_state_machine)
{
    BOOST_TEST(static_cast<bool>(config::config_change::checkChart(chart)));
}

BOOST_AUTO_TEST_CASE(another_node_reads_what_was_applied)
{
    const config::snapshot_pointer read = readAnew();
    BOOST_TEST(read->head.revision == 1u);
    BOOST_TEST(read->whole->isApproved(utils::team_id("counter-app"), theses()));
    BOOST_TEST(read->texts == store.cached()->texts);
}

BOOST_AUTO_TEST_CASE(change_without_a_race_costs_two_calls)
{
    change(store, weightRequest("counter-key", "counter-app", 2, 1));
    kv.calls = 0;
    change(store, weightRequest("counter-key", "counter-app", 3, 2));
    BOOST_TEST(kv.calls == 2u);
}

BOOST_AUTO_TEST_CASE(racing_operators_of_different_sections_both_succeed)
{
    // Operators of two calling teams apply changes concurrently on two nodes. Both read revision 1, and only
    // one transaction based on it succeeds. The other change must be rebased; neither edit may be lost.
    test_store other(kv, clock, "/t/", chart);
    change_outcome first;
    change_outcome second;
    spawn(store, weightRequest("counter-key", "counter-app", 5, 1), first);
    spawn(other, weightRequest("events-key", "events-site", 7, 1), second);
    run();
    BOOST_TEST((first.verdict == change_verdict::Accepted && second.verdict == change_verdict::Accepted));
    BOOST_TEST(first.revision + second.revision == 5u);
    BOOST_TEST(weightNow("counter-app") == 5);
    BOOST_TEST(weightNow("events-site") == 7);
}

BOOST_AUTO_TEST_CASE(racing_operators_of_one_section_end_in_one_change_and_one_conflict)
{
    // Two operators edit the same section concurrently. The second edit would overwrite the first: it must be
    // refused as a conflict with a diff of the section, not applied silently.
    test_store other(kv, clock, "/t/", chart);
    change_outcome first;
    change_outcome second;
    spawn(store, weightRequest("counter-key", "counter-app", 5, 1), first);
    spawn(other, weightRequest("admin-key", "counter-app", 7, 1), second);
    run();
    const change_outcome& loser = first.verdict == change_verdict::Accepted ? second : first;
    BOOST_TEST((loser.verdict == change_verdict::Refused));
    BOOST_TEST((loser.failure.kind == error_kind::EditConflict));
    BOOST_TEST(loser.diff.find("-weight: 5\n+weight: 7\n") != std::string::npos);
    BOOST_TEST(readAnew()->head.revision == 2u);
}

BOOST_AUTO_TEST_CASE(only_the_owners_keys_edit_a_section)
{
    const change_outcome foreign = change(store, weightRequest("events-key", "counter-app", 9, 1));
    BOOST_TEST((foreign.failure.kind == error_kind::NotOwner));
    const change_outcome unknown = change(store, weightRequest("no-key", "counter-app", 9, 1));
    BOOST_TEST((unknown.failure.kind == error_kind::OperatorUnknown));
    // An operator who makes itself an administrator edits a section that it does not own.
    config::change_request grab = requestBy("events-key", 1);
    config::operator_entry entry = store.cached()->whole->operators.at("events-op");
    entry.owns.insert("*");
    grab.edits.emplace_back(config::put_section { "operators/events-op", config::sectionText(entry) });
    BOOST_TEST((change(store, grab).failure.kind == error_kind::NotOwner));
    BOOST_TEST(readAnew()->head.revision == 1u);
}

BOOST_AUTO_TEST_CASE(first_key_is_invalid_once_there_are_operators)
{
    config::change_request request = weightRequest("admin-key", "counter-app", 2, 1);
    request.keyHash = hashOf("another-first-key");
    request.firstKeyHash = request.keyHash;
    BOOST_TEST((change(store, request).failure.kind == error_kind::OperatorUnknown));
}

BOOST_AUTO_TEST_CASE(invalid_document_is_refused_with_its_problems)
{
    config::change_request request = requestBy("counter-key", 1);
    request.edits.emplace_back(config::delete_section { "pools/theses" });
    const change_outcome outcome = change(store, request);
    BOOST_TEST((outcome.failure.kind == error_kind::InvalidDocument));
    BOOST_TEST_REQUIRE(outcome.problems.size() == 2u);
    BOOST_TEST(outcome.problems[0].path == "teams.counter-app.uses");
}

BOOST_AUTO_TEST_CASE(approval_takes_both_sides_and_rebases_over_an_edit_of_its_section)
{
    // The pool's owner approves a calling team while another operator changes the same section. An approval
    // names the change and not the resulting section, so it must succeed together with the other edit.
    test_store other(kv, clock, "/t/", chart);
    config::change_request approve = requestBy("counter-key", 1);
    approve.edits.emplace_back(config::set_approval { theses(), events(), true });
    config::change_request leave = requestBy("counter-key", 1);
    leave.edits.emplace_back(config::set_leaving { utils::server_id("engine-1"), true });
    change_outcome first;
    change_outcome second;
    spawn(store, approve, first);
    spawn(other, leave, second);
    run();
    BOOST_TEST((first.verdict == change_verdict::Accepted && second.verdict == change_verdict::Accepted));
    const auto whole = readAnew()->whole;
    BOOST_TEST(whole->isApproved(events(), theses()));
    BOOST_TEST(whole->pools.at(theses()).servers.front().isLeaving);

    config::change_request revoke = requestBy("counter-key", 0);
    revoke.edits.emplace_back(config::set_approval { theses(), events(), false });
    BOOST_TEST((change(store, revoke).verdict == change_verdict::Accepted));
    BOOST_TEST(!readAnew()->whole->isApproved(events(), theses()));
    revoke.id = "again";
    BOOST_TEST((change(store, revoke).verdict == change_verdict::Unchanged));
}

BOOST_AUTO_TEST_CASE(stale_edit_does_not_restore_a_deleted_section)
{
    // A calling team was deleted, for example because of a leaked key, and an operator applies an older file.
    // This must not restore the team unnoticed.
    const config::change_request old = weightRequest("events-key", "events-site", 4, 1);
    config::change_request remove = requestBy("events-key", 1);
    remove.edits.emplace_back(config::delete_section { "teams/events-site" });
    BOOST_TEST((change(store, remove).verdict == change_verdict::Accepted));
    BOOST_TEST((change(store, old).failure.kind == error_kind::EditConflict));
    BOOST_TEST(!readAnew()->whole->teams.contains(events()));
}

BOOST_AUTO_TEST_CASE(same_change_id_on_another_node_takes_effect_once)
{
    // The operator's tool lost the daemon's answer and retries on a second daemon with the same change id,
    // after the section was edited again. The outcome must be Accepted, and the later edit must be kept.
    const config::change_request request = weightRequest("counter-key", "counter-app", 5, 1);
    BOOST_TEST(change(store, request).revision == 2u);
    change(store, weightRequest("counter-key", "counter-app", 6, 2));
    test_store other(kv, clock, "/t/", chart);
    const change_outcome again = change(other, request);
    BOOST_TEST((again.verdict == change_verdict::Accepted));
    BOOST_TEST(again.revision == 2u);
    BOOST_TEST(weightNow("counter-app") == 6);
}

BOOST_AUTO_TEST_CASE(service_outage_refuses_the_change_without_effect)
{
    kv.readFaults.assign(1000, kv_fault::NotSent);
    const change_outcome outcome = change(store, weightRequest("counter-key", "counter-app", 5, 1));
    BOOST_TEST((outcome.verdict == change_verdict::Refused));
    BOOST_TEST((outcome.failure.kind == error_kind::PlatformUnavailable));
    BOOST_TEST(weightNow("counter-app") == 1);
}

BOOST_AUTO_TEST_CASE(service_outage_after_an_ambiguous_write_reports_unknown)
{
    // The write takes effect, its answer is lost, and the service stays unavailable. Reporting a failure
    // would be wrong: the outcome must be Unknown, and a retry with the same id must find the change once the
    // service is available again.
    const config::change_request request = weightRequest("counter-key", "counter-app", 5, 1);
    kv.readFaults.assign(1000, kv_fault::NotSent);
    kv.readFaults.front() = kv_fault::None;
    kv.writeFaults = { kv_fault::LostAnswer };
    const change_outcome outcome = change(store, request);
    BOOST_TEST((outcome.verdict == change_verdict::Unknown));
    kv.readFaults.clear();
    BOOST_TEST((change(store, request).verdict == change_verdict::Accepted));
    BOOST_TEST(readAnew()->head.revision == 2u);
}

BOOST_AUTO_TEST_CASE(change_older_than_the_history_reports_unknown)
{
    // The answer of a write is lost, and before it can be read back more changes are accepted than the head's
    // history holds. The change is in force, but the history cannot confirm it any more.
    const config::change_request request = weightRequest("counter-key", "counter-app", 5, 1);
    kv.writeFaults = { kv_fault::LostAnswer };
    bool isFirstRead = true;
    kv.onRead = [&] {
        if (std::exchange(isFirstRead, false))
            return;
        kv.onRead = {};
        const keyvalue::kv_entry entry = kv.store.get({ store.headKey(), {}, 0 }).entries.front();
        config::config_head head = *config::decodeHead(entry.value);
        for (config::change_record& record : head.history)
            record.id += " of later changes";
        head.revision += config::historyLength + 1;
        head.history.assign(config::historyLength, { "later", "admin", 0, 0, {}, 0 });
        for (std::size_t i = 0; i < config::historyLength; ++i)
            head.history[i].revision = head.revision - config::historyLength + 1 + i;
        kv.store.transact({ {}, { keyvalue::kv_put { store.headKey(), encode(head), 0 } }, {} }, {});
    };
    BOOST_TEST((change(store, request).verdict == change_verdict::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

constexpr kv_fault everyFault[]
    = { kv_fault::None, kv_fault::NotSent, kv_fault::LostAnswer, kv_fault::LostRequest, kv_fault::Late };

/// Number of records of the change in the head's history.
std::size_t timesInHead(const config::config_snapshot& snapshot, const std::string& id)
{
    return std::ranges::count(snapshot.head.history, id, &config::change_record::id);
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_store_ambiguity)

BOOST_AUTO_TEST_CASE(every_combination_of_write_faults_reports_the_true_outcome)
{
    // Each of the first three writes of a change succeeds, is rejected, loses its answer, is lost, or takes
    // effect only after the change has ended, in every combination, with and without a concurrent edit of
    // another section before the second read. The reported outcome must hold, also after the delayed writes.
    for (const kv_fault first : everyFault) {
        for (const kv_fault second : everyFault) {
            for (const kv_fault third : everyFault) {
                for (const bool hasRival : { false, true }) {
                    config_fixture f;
                    const config::change_request request
                        = f.weightRequest("counter-key", "counter-app", 5, 1);
                    f.kv.writeFaults = { first, second, third };
                    test_store rival(f.kv, f.clock, "/t/", f.chart);
                    change_outcome other;
                    if (hasRival)
                        f.spawn(rival, f.weightRequest("events-key", "events-site", 7, 1), other);
                    const change_outcome outcome = f.change(f.store, request);
                    f.kv.writeFaults.clear();
                    f.kv.applyLate();
                    const config::snapshot_pointer after = f.readAnew();
                    const std::size_t times = timesInHead(*after, request.id);
                    BOOST_TEST((outcome.verdict == change_verdict::Accepted));
                    BOOST_TEST(times == 1u);
                    BOOST_TEST(after->whole->teams.at(utils::team_id("counter-app")).weight == 5);
                    if (!hasRival)
                        continue;
                    BOOST_TEST((other.verdict == change_verdict::Accepted));
                    BOOST_TEST(after->whole->teams.at(utils::team_id("events-site")).weight == 7);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(refusal_after_a_lost_write_holds_although_the_write_arrives_late)
{
    // The first write is delayed in the network. Meanwhile another operator changes the same section, so the
    // change is refused as a conflict. When the delayed write arrives, its compare with the head must fail.
    config_fixture f;
    const config::change_request request = f.weightRequest("counter-key", "counter-app", 5, 1);
    f.kv.writeFaults = { kv_fault::Late };
    test_store rival(f.kv, f.clock, "/t/", f.chart);
    change_outcome other;
    f.spawn(f.store, request, other);
    const change_outcome won = f.change(rival, f.weightRequest("admin-key", "counter-app", 7, 1));
    const change_outcome& lost = other.verdict == change_verdict::Refused ? other : won;
    BOOST_TEST((lost.failure.kind == error_kind::EditConflict));
    f.kv.applyLate();
    BOOST_TEST(f.readAnew()->head.revision == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

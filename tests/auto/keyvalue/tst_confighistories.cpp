#include "configfixture.h"

#include <rapidcheck/boost_test.h>

#include <map>

using config::change_outcome;
using config::change_verdict;

namespace {

constexpr std::size_t nodeCount = 3;

/// One change of a generated history, with the faults of its writes.
struct scripted_change {
    bool isCounter = true; ///< edits the section of counter-app, otherwise of events-site
    unsigned weight = 1;
    bool isStale = false; ///< based on the first revision
    bool overwrites = false;
    std::vector<kv_fault> faults;
};

rc::Gen<kv_fault> anyFault()
{
    return rc::gen::element(kv_fault::None, kv_fault::None, kv_fault::NotSent, kv_fault::LostAnswer,
        kv_fault::LostRequest, kv_fault::Late);
}

rc::Gen<scripted_change> anyChange()
{
    return rc::gen::build<scripted_change>(rc::gen::set(&scripted_change::isCounter),
        rc::gen::set(&scripted_change::weight, rc::gen::inRange(1U, 900U)),
        rc::gen::set(
            &scripted_change::isStale, rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } })),
        rc::gen::set(&scripted_change::overwrites),
        rc::gen::set(&scripted_change::faults,
            rc::gen::resize(2, rc::gen::container<std::vector<kv_fault>>(anyFault()))));
}

const char* teamOf(const scripted_change& change)
{
    return change.isCounter ? "counter-app" : "events-site";
}

/// Runs rounds of concurrent changes on three nodes and records the outcome reported for each change.
class history_simulation : config_fixture {
public:
    void runRound(const std::vector<scripted_change>& round)
    {
        std::vector<change_outcome> outcomes(round.size());
        std::vector<config::change_request> requests;
        for (std::size_t i = 0; i < round.size(); ++i) {
            const scripted_change& change = round[i];
            const utils::config_revision base = change.isStale ? 1 : m_revision;
            const char* key = change.isCounter ? "counter-key" : "events-key";
            requests.push_back(weightRequest(key, teamOf(change), change.weight, base));
            requests.back().overwrites = change.overwrites;
            kv.writeFaults.insert(kv.writeFaults.end(), change.faults.begin(), change.faults.end());
        }
        for (std::size_t i = 0; i < round.size(); ++i)
            spawn(m_nodes.at(i % nodeCount), requests[i], outcomes[i]);
        run();
        kv.writeFaults.clear();
        for (std::size_t i = 0; i < round.size(); ++i) {
            m_outcomes[requests[i].id] = outcomes[i];
            m_changes[requests[i].id] = round[i];
        }
        check();
        kv.applyLate();
        check();
    }

private:
    /// Checks that each reported outcome holds and that each change in the history is visible in its section.
    void check()
    {
        const config::snapshot_pointer snapshot = readAnew();
        RC_ASSERT(snapshot->head.revision >= m_revision);
        m_revision = snapshot->head.revision;
        RC_ASSERT(snapshot->head.history.size() == m_revision);
        for (const auto& [id, outcome] : m_outcomes) {
            const auto times = std::ranges::count(snapshot->head.history, id, &config::change_record::id);
            RC_ASSERT(times <= 1);
            RC_ASSERT(outcome.verdict != change_verdict::Accepted || times == 1);
            RC_ASSERT(outcome.verdict == change_verdict::Accepted || times == 0);
            // The faults of a round end before a change times out.
            RC_ASSERT(outcome.verdict != change_verdict::Unknown);
        }
        std::map<std::string, double> expected { { "counter-app", 1 }, { "events-site", 1 } };
        for (const config::change_record& record : snapshot->head.history) {
            if (const auto found = m_changes.find(record.id); found != m_changes.end())
                expected[teamOf(found->second)] = found->second.weight;
        }
        for (const auto& [team, weight] : expected)
            RC_ASSERT(snapshot->whole->teams.at(utils::team_id(team)).weight == weight);
    }

    std::array<test_store, nodeCount> m_nodes { test_store(kv, clock, "/t/", chart),
        test_store(kv, clock, "/t/", chart), test_store(kv, clock, "/t/", chart) };
    utils::config_revision m_revision = 1;
    std::map<std::string, change_outcome> m_outcomes;
    std::map<std::string, scripted_change> m_changes;
};

} // namespace

BOOST_AUTO_TEST_SUITE(config_histories)

// Operators of two calling teams make concurrent changes on three nodes in several rounds, while writes are
// rejected, lost, delayed or lose their answers. Guards against a reported outcome that is not true, at once
// or after the delayed writes have been applied.
RC_BOOST_PROP(what_operators_are_told_is_what_the_head_shows, ())
{
    const auto rounds = *rc::gen::resize(6,
        rc::gen::container<std::vector<std::vector<scripted_change>>>(
            rc::gen::resize(4, rc::gen::container<std::vector<scripted_change>>(anyChange()))));
    history_simulation simulation;
    for (const std::vector<scripted_change>& round : rounds)
        simulation.runRound(round);
}

BOOST_AUTO_TEST_SUITE_END()

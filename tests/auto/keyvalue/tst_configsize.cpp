#include "configfixture.h"

#include <chrono>

namespace {

constexpr std::size_t workspaces = 8800;
constexpr std::size_t largestValue = 1'000'000;

/// A calling team with the section size of a typical workspace.
config::calling_team makeTeam(std::size_t number)
{
    config::calling_team team;
    team.id = utils::team_id("workspace-" + std::to_string(number));
    team.owner = "owner-" + std::to_string(number % 500);
    team.keyHashes = { utils::sha256Hex(team.id.str()), utils::sha256Hex(team.id.str() + " next") };
    team.limits = { 10, 32, 100 };
    team.uses = { utils::pool_id("theses") };
    return team;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_size, config_fixture)

BOOST_AUTO_TEST_CASE(every_value_stays_under_a_megabyte_at_8800_workspaces)
{
    config::change_request fill = requestBy("admin-key", 1);
    for (std::size_t i = 0; i < workspaces; ++i) {
        const config::calling_team team = makeTeam(i);
        fill.edits.emplace_back(config::put_section { "teams/" + team.id.str(), config::sectionText(team) });
    }
    BOOST_TEST_REQUIRE((change(store, fill).verdict == config::change_verdict::Accepted));
    change(store, weightRequest("counter-key", "counter-app", 2, 2));

    kv.calls = 0;
    const config::change_outcome outcome = change(store, weightRequest("counter-key", "counter-app", 3, 3));
    BOOST_TEST((outcome.verdict == config::change_verdict::Accepted));
    const unsigned changeCalls = kv.calls;
    BOOST_TEST(changeCalls == 2u);

    kv.calls = 0;
    const config::snapshot_pointer whole = readAnew();
    BOOST_TEST(whole->whole->teams.size() == workspaces + 2);
    BOOST_TEST(kv.store.longestValue() < largestValue);
    const std::string delta = config::encode(config::deltaSince(*whole, whole->head.revision - 1));
    BOOST_TEST(delta.size() < 32768u);
    const auto start = std::chrono::steady_clock::now();
    const config::parsed_document parsed = config::parseSections(whole->texts, whole->head.revision);
    const auto parsedAt = std::chrono::steady_clock::now();
    const auto applied = config::applyDelta(*whole, config::deltaSince(*whole, whole->head.revision - 1));
    const auto appliedAt = std::chrono::steady_clock::now();
    BOOST_TEST(parsed.problems.empty());
    BOOST_TEST((applied != nullptr));
    using milliseconds = std::chrono::duration<double, std::milli>;
    BOOST_TEST_MESSAGE("reading all sections " << milliseconds(parsedAt - start).count()
                                               << " ms, applying one change "
                                               << milliseconds(appliedAt - parsedAt).count() << " ms");
    BOOST_TEST_MESSAGE("sections " << whole->texts.size() << ", head " << encode(whole->head).size()
                                   << " B, longest value " << kv.store.longestValue()
                                   << " B, calls of a change " << changeCalls << ", calls of a full read "
                                   << kv.calls << ", delta of one change " << delta.size() << " B");
}

BOOST_AUTO_TEST_SUITE_END()

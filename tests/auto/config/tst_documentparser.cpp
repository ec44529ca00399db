#include "config/documentparser.h"
#include "config/documentwriter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace {

std::string sampleText()
{
    std::ifstream file(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/sample/document.yaml");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The sample with `from` replaced by `to` at its first place.
std::string sampleWith(const std::string& from, const std::string& to)
{
    std::string text = sampleText();
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string problemsOf(const std::string& yaml)
{
    return config::toString(config::parseDocument(yaml, "d.yaml").problems);
}

} // namespace

BOOST_AUTO_TEST_SUITE(document_parser)

BOOST_AUTO_TEST_CASE(sample_is_whole_and_approves_one_of_two_teams)
{
    const config::parsed_document parsed = config::parseDocument(sampleText(), "d.yaml");
    BOOST_TEST_REQUIRE(config::toString(parsed.problems) == "");
    const config::document& d = parsed.value;
    BOOST_TEST(d.isApproved(utils::team_id("counter-app"), utils::pool_id("theses")));
    BOOST_TEST(!d.isApproved(utils::team_id("events-site"), utils::pool_id("theses")));
    const auto match = d.routeFor("/press/payments");
    BOOST_TEST_REQUIRE(match.route != nullptr);
    BOOST_TEST(!match.route->isIdempotent);
    BOOST_TEST(d.routeFor("/press/status").route->isIdempotent);
    BOOST_TEST(d.poolForModel("thesis-large")->servers.size() == 2u);
}

BOOST_AUTO_TEST_CASE(canonical_text_reads_back_as_the_same_document)
{
    const config::document first = config::parseDocument(sampleText(), "d.yaml").value;
    const std::string text = config::toYaml(first);
    const config::parsed_document again = config::parseDocument(text, "again.yaml");
    BOOST_TEST(config::toString(again.problems) == "");
    BOOST_TEST(config::toYaml(again.value) == text);
    const config::parsed_document joined = config::parseSections(config::toSections(first), 7);
    BOOST_TEST(config::toString(joined.problems) == "");
    BOOST_TEST(joined.value.revision == 7u);
    BOOST_TEST(config::toSections(joined.value) == config::toSections(first));
}

BOOST_AUTO_TEST_CASE(unknown_field_is_refused_with_its_place)
{
    const std::string found = problemsOf(sampleWith("concurrent: 64", "concurent: 64"));
    BOOST_TEST(found == "d.yaml:17:40: teams.counter-app.limits.concurent: there is no such field\n");
}

BOOST_AUTO_TEST_CASE(every_problem_is_listed_in_one_run)
{
    std::string text = sampleWith("load_bound: 1.25", "load_bound: 0.5");
    text.replace(text.find("max_wait: 30s"), 13, "max_wait: 30x");
    text.replace(text.find("\"127.0.0.1:9102\""), 16, "\"engine.local:1\"");
    const std::vector<config::problem> problems = config::parseDocument(text, "d.yaml").problems;
    BOOST_TEST_REQUIRE(problems.size() == 3u);
    BOOST_TEST(problems[0].path == "pools.theses.servers.engine-2.address");
    BOOST_TEST(problems[1].path == "pools.theses.load_bound");
    BOOST_TEST(problems[1].message == "expected a number from 1.01 to 100, found \"0.5\"");
    BOOST_TEST(problems[2].path == "pools.theses.max_wait");
}

BOOST_AUTO_TEST_CASE(references_and_names_used_twice_are_refused)
{
    BOOST_TEST(problemsOf(sampleWith("uses: [theses, press]", "uses: [thesis]")).find("no pool \"thesis\"")
        != std::string::npos);
    BOOST_TEST(
        problemsOf(sampleWith("approved: [counter-app]", "approved: [counter]")).find("no team \"counter\"")
        != std::string::npos);
    BOOST_TEST(problemsOf(sampleWith("/press/status", "/press/payments")).find("the path \"/press/payments\"")
        != std::string::npos);
    BOOST_TEST(problemsOf(sampleWith("press-1:", "engine-1:")).find("server name \"engine-1\"")
        != std::string::npos);
    BOOST_TEST(
        problemsOf(sampleWith("9102", "9101")).find("the address \"127.0.0.1:9101\"") != std::string::npos);
    BOOST_TEST(problemsOf(sampleWith("owns: [\"*\"]", "owns: [press-hall]")).find("owns \"*\"")
        != std::string::npos);
    BOOST_TEST(problemsOf(sampleWith("concurrent: 64", "concurrent: 1, drafts: 1")).find("twice")
        != std::string::npos);
    std::string limits = sampleWith("requests_per_second: 200", "requests_per_second: 90000");
    BOOST_TEST(problemsOf(limits).find("cannot hold together") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(one_key_for_two_teams_is_refused)
{
    // A caller with that key would be one team on some nodes and the other on the rest.
    const config::document d = config::parseDocument(sampleText(), "d.yaml").value;
    const std::string first = d.teams.at(utils::team_id("counter-app")).keyHashes.front();
    const std::string second = d.teams.at(utils::team_id("events-site")).keyHashes.front();
    BOOST_TEST(
        problemsOf(sampleWith(second, first)).find("is used by teams.counter-app") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(key_index_follows_the_teams)
{
    // A team's key is replaced because it has leaked. An index of the earlier teams would go on letting the
    // old key in.
    config::document d = config::parseDocument(sampleText(), "d.yaml").value;
    const std::string old = d.teams.at(utils::team_id("counter-app")).keyHashes.front();
    d.indexKeys();
    BOOST_TEST_REQUIRE((d.teamByKeyHash(old) != nullptr));
    BOOST_TEST(d.teamByKeyHash(old)->id == utils::team_id("counter-app"));
    BOOST_TEST((d.teamByKeyHash(std::string(64, '0')) == nullptr));
    config::calling_team changed = d.teams.at(utils::team_id("counter-app"));
    changed.keyHashes = { std::string(64, 'a') };
    config::replaceSection(d, "teams/counter-app", config::sectionText(changed));
    BOOST_TEST((d.teamByKeyHash(old) == nullptr));
    BOOST_TEST((d.teamByKeyHash(changed.keyHashes.front()) != nullptr));
}

BOOST_AUTO_TEST_CASE(text_that_is_no_mapping_is_refused_without_a_crash)
{
    BOOST_TEST(problemsOf("teams: [1, 2]").find("expected a mapping, found a list") != std::string::npos);
    BOOST_TEST(problemsOf("just text").find("expected a mapping") != std::string::npos);
    BOOST_TEST(problemsOf("a: [b").find("not YAML") != std::string::npos);
    BOOST_TEST(problemsOf("a: &x [*x, *x]").find("no such field") != std::string::npos);
    BOOST_TEST(problemsOf("").find("operators") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

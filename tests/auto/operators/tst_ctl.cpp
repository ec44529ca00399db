#include "scripteddaemon.h"

#include "ctl/commands.h"
#include "ctl/commandtable.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>

using ctl::exit_code;

namespace {

const char* const samplePath = LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/sample/document.yaml";

struct run_result {
    exit_code code = exit_code::Done;
    std::string out;
    std::string err;
};

struct ctl_fixture {
    ctl_fixture() { write(keyFile, "operator-key\n"); }
    ~ctl_fixture()
    {
        std::remove(keyFile.c_str());
        std::remove(textFile.c_str());
    }

    static void write(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

    run_result run(const std::string& command, const std::vector<std::string>& arguments,
        const std::vector<std::string>& endpoints, ctl::output_format output = ctl::output_format::Table)
    {
        ctl::options chosen;
        chosen.command = command;
        chosen.arguments = arguments;
        chosen.endpoints = endpoints;
        chosen.keyFile = keyFile;
        chosen.output = output;
        chosen.timeout = std::chrono::seconds(5);
        std::ostringstream out;
        std::ostringstream err;
        const exit_code code = ctl::runCommand(chosen, out, err);
        return { code, out.str(), err.str() };
    }

    const std::string keyFile = std::string(LYCHEEFRONT_BIN_DIR) + "/tst_ctl.key";
    const std::string textFile = std::string(LYCHEEFRONT_BIN_DIR) + "/tst_ctl.yaml";
};

const scripted_answer accepted { 200,
    R"({"outcome":"accepted","revision":4,"sections":["pools/press"],)"
    R"("in_force":{"acknowledged":6,"listed":7,"majority":true}})",
    false };
const scripted_answer dropped { 0, {}, true };
const scripted_answer platformDown { 503,
    R"({"kind":"platform_unavailable","title":"The platform's service is down","run":"not_run"})", false };

std::string changeIdIn(const std::string& target)
{
    return target.substr(target.find("change=") + 7);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ctl_commands, ctl_fixture)

BOOST_AUTO_TEST_CASE(accepted_change_is_reported_with_its_spread)
{
    scripted_daemon daemon({ accepted });
    const run_result result = run("approve", { "press", "counter-app" }, { daemon.endpoint() });
    BOOST_TEST((result.code == exit_code::Done));
    BOOST_TEST(result.out == "accepted at revision 4, in force on 6 of 7 nodes\n  pools/press\n");
    BOOST_TEST(daemon.targets.at(0).starts_with("/v1/approve?pool=press&team=counter-app&change="));
    BOOST_TEST(daemon.keys.at(0) == "Bearer operator-key");
}

BOOST_AUTO_TEST_CASE(lost_answer_is_retried_at_the_next_daemon_with_the_same_id)
{
    // The first daemon reads the request and crashes before it responds, so the change may have been made.
    // The same change id is sent to the second daemon, which finds the change and reports "accepted".
    scripted_daemon first({ dropped });
    scripted_daemon second({ accepted });
    const run_result result = run("drain", { "engine-1" }, { first.endpoint(), second.endpoint() });
    BOOST_TEST((result.code == exit_code::Done));
    BOOST_TEST(changeIdIn(first.targets.at(0)) == changeIdIn(second.targets.at(0)));
}

BOOST_AUTO_TEST_CASE(lost_answer_and_a_second_daemon_without_the_platform_is_not_reported_as_failure)
{
    // The first daemon reads the request and crashes; the second cannot reach the platform's service and
    // reports that it has not made the change. That says nothing about the first daemon's attempt.
    scripted_daemon first({ dropped });
    scripted_daemon second({ platformDown });
    const run_result result = run("drain", { "engine-1" }, { first.endpoint(), second.endpoint() });
    BOOST_TEST((result.code == exit_code::OutcomeUnknown));
    BOOST_TEST(result.err.find("--change " + changeIdIn(first.targets.at(0))) != std::string::npos);
}

// Guards against "nothing changed" after an answer with a status that HTTP does not define: the change may
// have been made.
BOOST_AUTO_TEST_CASE(answer_with_an_undefined_status_leaves_the_outcome_unknown)
{
    scripted_daemon daemon({ { 0, R"({"outcome":"accepted","revision":4})", false } });
    const run_result result = run("drain", { "engine-1" }, { daemon.endpoint() });
    BOOST_TEST((result.code == exit_code::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(no_reachable_daemon_means_nothing_changed)
{
    std::string gone;
    {
        const scripted_daemon daemon({});
        gone = daemon.endpoint();
    }
    BOOST_TEST((run("drain", { "engine-1" }, { gone }).code == exit_code::Unreachable));
    scripted_daemon other({ platformDown });
    BOOST_TEST((run("drain", { "engine-1" }, { gone, other.endpoint() }).code == exit_code::Unreachable));
}

BOOST_AUTO_TEST_CASE(refusals_have_exit_codes_of_their_own)
{
    const std::string problems = R"({"kind":"invalid_document","title":"The configuration has errors",)"
                                 R"("problems":[{"file":"a.yaml","line":3,"column":5,"path":"teams.a.x",)"
                                 R"("message":"there is no such field"}]})";
    const std::string conflict
        = R"({"kind":"edit_conflict","title":"The section was changed meanwhile","diff":"-a\n+b\n"})";
    scripted_daemon daemon({ { 422, problems, false }, { 409, conflict, false },
        { 403, R"({"kind":"not_owner","title":"The section belongs to another owner"})", false } });
    const std::vector<std::string> endpoints { daemon.endpoint() };
    const run_result invalid = run("apply", { samplePath }, endpoints);
    BOOST_TEST((invalid.code == exit_code::DocumentErrors));
    BOOST_TEST(invalid.err.find("a.yaml:3:5: teams.a.x: there is no such field") != std::string::npos);
    const run_result raced = run("apply", { samplePath }, endpoints);
    BOOST_TEST((raced.code == exit_code::Conflict));
    BOOST_TEST(raced.err.find("-a\n+b\n") != std::string::npos);
    BOOST_TEST((run("revoke", { "p", "t" }, endpoints).code == exit_code::NotAllowed));
}

BOOST_AUTO_TEST_CASE(accepted_but_not_in_force_on_a_majority_is_reported)
{
    scripted_daemon daemon({ { 200,
        R"({"outcome":"accepted","revision":4,"in_force":{"acknowledged":2,"listed":7,"majority":false}})",
        false } });
    BOOST_TEST((run("drain", { "engine-1" }, { daemon.endpoint() }).code == exit_code::NotInForce));
}

BOOST_AUTO_TEST_CASE(check_needs_no_daemon)
{
    ctl::options chosen;
    chosen.command = "check";
    chosen.arguments = { samplePath };
    std::ostringstream out;
    std::ostringstream err;
    BOOST_TEST((ctl::runCommand(chosen, out, err) == exit_code::Done));
    write(textFile, "teams:\n  a: {owner: o, wieght: 2}\n");
    chosen.arguments = { textFile };
    BOOST_TEST((ctl::runCommand(chosen, out, err) == exit_code::DocumentErrors));
    BOOST_TEST(err.str().find(":2:17: teams.a.wieght: there is no such field") != std::string::npos);
    chosen.arguments = { "/does/not/exist" };
    BOOST_TEST((ctl::runCommand(chosen, out, err) == exit_code::Usage));
}

BOOST_AUTO_TEST_CASE(status_is_a_table_json_or_yaml)
{
    const std::string status = R"({"node":"entry-1","current":true,"revision":3,"nodes":[{"id":"entry-1",)"
                               R"("data_centre":"riga-1","state":"alive","current":true,"revision":3}],)"
                               R"("servers":[],"queues":[],"measures":{"load_skew":1.1}})";
    scripted_daemon daemon({ { 200, status, false }, { 200, status, false }, { 200, status, false } });
    const std::vector<std::string> endpoints { daemon.endpoint() };
    const std::string table = run("status", {}, endpoints).out;
    BOOST_TEST(table.find("NODE     DATA CENTRE  STATE  CURRENT  REVISION\n"
                          "entry-1  riga-1       alive  yes      3\n")
        != std::string::npos);
    const std::string json = run("status", {}, endpoints, ctl::output_format::Json).out;
    BOOST_TEST((boost::json::parse(json) == boost::json::parse(status)));
    const std::string yaml = run("status", {}, endpoints, ctl::output_format::Yaml).out;
    BOOST_TEST(yaml.starts_with("node: entry-1\ncurrent: true\n"));
}

BOOST_AUTO_TEST_CASE(help_and_completion_name_every_command_and_flag)
{
    for (const ctl::command_info& command : ctl::commandTable()) {
        BOOST_TEST(ctl::overviewText().find(command.name) != std::string::npos);
        BOOST_TEST(ctl::completionScript().find(command.name) != std::string::npos);
        BOOST_TEST(
            ctl::helpText(command).find("lycheefrontctl " + std::string(command.name)) != std::string::npos);
    }
    for (const ctl::flag_info& flag : ctl::flagTable())
        BOOST_TEST(ctl::completionScript().find("--" + std::string(flag.name)) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

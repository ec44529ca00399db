#include "configfixture.h"

#include "operators/operatorapi.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace {

/// A node in a region of seven VMs, of which `acknowledged` have each revision in force at once.
class fake_view final : public operators::node_view {
public:
    operators::fleet_status status() override
    {
        operators::fleet_status status;
        status.self = utils::node_id("entry-1");
        status.nodes.push_back({ status.self, utils::data_centre_id("riga-1"), "alive", true, 3 });
        return status;
    }

    boost::asio::awaitable<std::vector<operators::explain_step>> explain(
        operators::explain_query query) override
    {
        co_return std::vector<operators::explain_step> { { "approval", query.team.str() + " is approved" } };
    }

    boost::asio::awaitable<operators::spread_status> waitInForce(
        utils::config_revision revision, utils::duration) override
    {
        waitedFor = revision;
        co_return operators::spread_status { acknowledged, 7 };
    }

    boost::asio::awaitable<std::vector<operators::draft_status>> drafts(utils::team_id) override
    {
        co_return std::vector<operators::draft_status> {};
    }

    utils::config_revision waitedFor = 0;
    unsigned acknowledged = 5;
};

struct api_fixture : config_fixture {
    struct answer {
        unsigned status = 0;
        json::object body;
    };

    answer ask(const std::string& method, const std::string& target, const std::string& key,
        const std::string& body = {})
    {
        operators::operator_reply reply;
        const operators::operator_request request { method, target, body, key };
        boost::asio::co_spawn(context, api.handle(request, 1000),
            [&](const std::exception_ptr& e, operators::operator_reply got) {
                if (e)
                    std::rethrow_exception(e);
                reply = std::move(got);
            });
        run();
        return { reply.status, json::parse(reply.body).as_object() };
    }

    fake_view view;
    operators::operator_api api { store, view, {} };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(operator_api_calls, api_fixture)

BOOST_AUTO_TEST_CASE(every_call_needs_an_operators_key)
{
    for (const char* target : { "/v1/config", "/v1/history", "/v1/status", "/v1/drafts" }) {
        const answer refused = ask("GET", target, "team-1");
        BOOST_TEST(refused.status == 401u);
        BOOST_TEST(refused.body.at("kind") == "operator_unknown");
        BOOST_TEST(ask("GET", target, "events-key").status == 200u);
    }
    BOOST_TEST(ask("POST", "/v1/apply", "", text).status == 401u);
}

BOOST_AUTO_TEST_CASE(wrong_keys_cost_no_call_to_the_platform)
{
    // An attacker on the operators' network tries keys at full speed. The platform's service accepts a few
    // hundred calls per second from the whole fleet, so if each wrong key cost a call, payments would be
    // refused.
    kv.calls = 0;
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(ask("GET", "/v1/config", "key-" + std::to_string(i)).status == 401u);
    BOOST_TEST(kv.calls == 0u);
}

BOOST_AUTO_TEST_CASE(node_that_has_just_started_reads_before_it_refuses)
{
    test_store fresh(kv, clock, "/t/", chart);
    operators::operator_api other(fresh, view, {});
    operators::operator_reply reply;
    const operators::operator_request request { "GET", "/v1/history", {}, "events-key" };
    boost::asio::co_spawn(context, other.handle(request, 1000),
        [&](const std::exception_ptr&, operators::operator_reply got) { reply = std::move(got); });
    run();
    BOOST_TEST(reply.status == 200u);
}

BOOST_AUTO_TEST_CASE(document_that_was_read_is_edited_and_applied)
{
    std::string yaml(
        ask("GET", "/v1/config?section=teams/events-site", "events-key").body.at("yaml").as_string());
    BOOST_TEST(yaml.starts_with("revision: 1\nteams:\n  events-site:\n"));
    yaml.replace(yaml.find("weight: 1"), 9, "weight: 3");
    const answer differs = ask("POST", "/v1/diff", "events-key", yaml);
    BOOST_TEST(differs.body.at("sections").as_array().size() == 1u);
    const answer applied = ask("POST", "/v1/apply?change=c1", "events-key", yaml);
    BOOST_TEST(applied.status == 200u);
    BOOST_TEST(applied.body.at("outcome") == "accepted");
    BOOST_TEST(applied.body.at("revision").as_int64() == 2);
    BOOST_TEST(applied.body.at("in_force").at("majority").as_bool());
    BOOST_TEST(view.waitedFor == 2u);
    BOOST_TEST(weightNow("events-site") == 3);

    // The same file still names base revision 1, but the section already has the content of the file.
    BOOST_TEST(ask("POST", "/v1/apply?change=c2", "events-key", yaml).body.at("outcome") == "unchanged");
    yaml.replace(yaml.find("weight: 3"), 9, "weight: 4");
    const answer conflict = ask("POST", "/v1/apply?change=c3", "events-key", yaml);
    BOOST_TEST(conflict.status == 409u);
    BOOST_TEST(conflict.body.at("kind") == "edit_conflict");
    BOOST_TEST(conflict.body.at("diff").as_string().find("-weight: 3\n+weight: 4") != std::string::npos);
    BOOST_TEST(ask("POST", "/v1/apply?change=c4&overwrite=1", "events-key", yaml).status == 200u);
    BOOST_TEST(ask("GET", "/v1/history", "events-key").body.at("changes").as_array().size() == 3u);
}

BOOST_AUTO_TEST_CASE(file_with_errors_is_refused_with_lines)
{
    const std::string wrong = "teams:\n  events-site:\n    owner: events\n    usse: [theses]\n";
    for (const char* target : { "/v1/check?file=a.yaml", "/v1/apply?file=a.yaml" }) {
        const answer refused = ask("POST", target, "events-key", wrong);
        BOOST_TEST(refused.status == 422u);
        const json::value& first = refused.body.at("problems").as_array().at(0);
        BOOST_TEST(first.at("file") == "a.yaml");
        BOOST_TEST(first.at("line").as_int64() == 4);
        BOOST_TEST(first.at("path") == "teams.events-site.usse");
    }
    // A dangling reference, found only in the context of the whole document, is reported with its line, too.
    const std::string dangling = "revision: 1\nteams:\n  events-site:\n    owner: events\n    key_sha256: ["
        + hashOf("team-2") + "]\n    uses: [nowhere]\n";
    const answer refused = ask("POST", "/v1/apply?file=a.yaml", "events-key", dangling);
    BOOST_TEST(refused.body.at("problems").as_array().at(0).at("line").as_int64() == 6);
}

BOOST_AUTO_TEST_CASE(approval_revoke_and_drain_name_only_what_changes)
{
    const std::string approval = "?pool=theses&team=events-site";
    BOOST_TEST(ask("POST", "/v1/approve" + approval, "events-key").status == 403u);
    BOOST_TEST(ask("POST", "/v1/approve" + approval, "counter-key").status == 200u);
    BOOST_TEST(readAnew()->whole->isApproved(utils::team_id("events-site"), utils::pool_id("theses")));
    BOOST_TEST(ask("POST", "/v1/revoke" + approval, "counter-key").status == 200u);
    BOOST_TEST(!readAnew()->whole->isApproved(utils::team_id("events-site"), utils::pool_id("theses")));
    BOOST_TEST(ask("POST", "/v1/approve?pool=theses&team=nobody", "counter-key").status == 422u);
    BOOST_TEST(ask("POST", "/v1/drain?server=engine-1", "counter-key").status == 200u);
    BOOST_TEST(readAnew()->whole->pools.at(utils::pool_id("theses")).servers.front().isLeaving);
    BOOST_TEST(ask("POST", "/v1/drain?server=engine-1&undo=1", "counter-key").status == 200u);
    BOOST_TEST(!readAnew()->whole->pools.at(utils::pool_id("theses")).servers.front().isLeaving);
}

BOOST_AUTO_TEST_CASE(acceptance_without_a_majority_is_reported)
{
    // The head has been updated, but only two of seven VMs have acknowledged it before the timeout. The
    // change is accepted, and the operator must see that it is not yet in force on a majority.
    view.acknowledged = 2;
    const answer applied = ask("POST", "/v1/drain?server=engine-1", "counter-key");
    BOOST_TEST(applied.body.at("outcome") == "accepted");
    BOOST_TEST(!applied.body.at("in_force").at("majority").as_bool());
    BOOST_TEST(applied.body.at("in_force").at("acknowledged").as_int64() == 2);
}

BOOST_AUTO_TEST_CASE(service_down_shows_the_last_known_document_and_refuses_changes)
{
    // The platform's service is down. Operators must still see the configuration in force; changes are
    // refused as not made after the timeout.
    kv.readFaults.assign(2000, kv_fault::NotSent);
    const answer shown = ask("GET", "/v1/config", "admin-key");
    BOOST_TEST(shown.status == 200u);
    BOOST_TEST(shown.body.contains("warning"));
    const answer refused = ask("POST", "/v1/drain?server=engine-1", "counter-key");
    BOOST_TEST(refused.status == 503u);
    BOOST_TEST(refused.body.at("run") == "not_run");
}

BOOST_AUTO_TEST_CASE(ambiguous_write_with_the_service_down_is_not_reported_as_failure)
{
    kv.readFaults.assign(2000, kv_fault::NotSent);
    kv.readFaults.front() = kv_fault::None;
    kv.writeFaults = { kv_fault::LostAnswer };
    const answer open = ask("POST", "/v1/drain?server=engine-1&change=d1", "counter-key");
    BOOST_TEST(open.body.at("outcome") == "unknown");
    BOOST_TEST(open.body.at("run") == "may_have_run");
    kv.readFaults.clear();
    BOOST_TEST(
        ask("POST", "/v1/drain?server=engine-1&change=d1", "counter-key").body.at("outcome") == "accepted");
}

BOOST_AUTO_TEST_CASE(wrong_paths_and_methods_are_refused)
{
    BOOST_TEST(ask("GET", "/v1/nothing", "admin-key").status == 404u);
    BOOST_TEST(ask("GET", "/v1/apply", "admin-key").status == 405u);
    BOOST_TEST(ask("GET", "not a path", "admin-key").status == 400u);
    BOOST_TEST(ask("GET", "/v1/explain?team=counter-app", "admin-key").status == 400u);
    BOOST_TEST(ask("GET", "/v1/explain?team=counter-app&model=m", "admin-key").status == 200u);
    BOOST_TEST(ask("GET", "/v1/status", "admin-key").body.at("nodes").as_array().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

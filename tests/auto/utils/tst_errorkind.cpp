#include "utils/errorkind.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using utils::error_kind;

BOOST_AUTO_TEST_SUITE(errorkind)

BOOST_AUTO_TEST_CASE(every_kind_has_a_row_with_unique_name)
{
    std::set<std::string_view> names;
    for (int i = 0; i < static_cast<int>(error_kind::Count_); ++i) {
        const auto kind = static_cast<error_kind>(i);
        BOOST_TEST((utils::answerFor(kind).kind == kind));
        BOOST_TEST(names.insert(utils::answerFor(kind).name).second);
        BOOST_TEST((utils::errorKindFromName(utils::answerFor(kind).name) == kind));
    }
}

BOOST_AUTO_TEST_CASE(problem_json_holds_run_state_and_retry_after)
{
    const utils::failure limited { error_kind::RateLimited, "40 a second", {},
        std::chrono::milliseconds(2300) };
    const auto body = boost::json::parse(utils::problemJson(limited)).as_object();
    BOOST_TEST(body.at("kind").as_string() == "rate_limited");
    BOOST_TEST(body.at("run").as_string() == "not_run");
    BOOST_TEST(body.at("retry_after").as_int64() == 3);
    BOOST_TEST(body.at("status").as_int64() == 429);
}

BOOST_AUTO_TEST_CASE(the_kind_is_read_from_problem_json)
{
    const std::string body = utils::problemJson(utils::makeFailure(error_kind::NoServer));
    BOOST_TEST((utils::errorKindFromProblem(body) == error_kind::NoServer));
    for (const std::string other : { "", "{", "[]", "{\"kind\":7}", "{\"kind\":\"other\"}" })
        BOOST_TEST(!utils::errorKindFromProblem(other).has_value(), other);
}

BOOST_AUTO_TEST_CASE(failure_overrides_run_state_of_table)
{
    const utils::failure cut { error_kind::ServerFailed, "", utils::run_state::NotRun, {} };
    const auto body = boost::json::parse(utils::problemJson(cut)).as_object();
    BOOST_TEST(body.at("run").as_string() == "not_run");
    BOOST_TEST(!body.contains("retry_after"));
}

BOOST_AUTO_TEST_SUITE_END()

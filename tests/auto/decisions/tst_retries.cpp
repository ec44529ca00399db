#include "decisions/hedgepolicy.h"
#include "decisions/outlierejector.h"
#include "decisions/retrybudget.h"
#include "decisions/retryrule.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace std::chrono_literals;
using decisions::failed_attempt;
using utils::error_kind;
using utils::run_state;
using utils::server_id;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + std::chrono::hours(1) + since;
}

failed_attempt attemptOf(error_kind kind, run_state run, bool isIdempotent)
{
    failed_attempt attempt;
    attempt.kind = kind;
    attempt.run = run;
    attempt.isIdempotent = isIdempotent;
    attempt.timeLeft = 10s;
    attempt.expectedWork = 1s;
    return attempt;
}

std::vector<server_id> makeServers(int count)
{
    std::vector<server_id> servers;
    servers.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        servers.emplace_back("s" + std::to_string(i));
    return servers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retries)

// The connection of a payment breaks after it was sent: it may have run, and a second attempt could charge
// twice. A lookup in the same state is retried, and so is a payment that is known not to have reached a
// server.
BOOST_AUTO_TEST_CASE(only_requests_that_did_not_run_or_are_idempotent_are_retried)
{
    BOOST_TEST(!mayRetry(attemptOf(error_kind::ServerFailed, run_state::MayHaveRun, false)));
    BOOST_TEST(mayRetry(attemptOf(error_kind::ServerFailed, run_state::MayHaveRun, true)));
    BOOST_TEST(mayRetry(attemptOf(error_kind::NoServer, run_state::NotRun, false)));
    BOOST_TEST(!mayRetry(attemptOf(error_kind::ServerFailed, run_state::Ran, false)));
}

// Final refusals are sent at once: limits, poison and approvals are not retried elsewhere, and neither are
// answers whose first bytes the caller has, nor requests whose deadline would pass before the end.
BOOST_AUTO_TEST_CASE(final_refusals_and_begun_answers_are_not_retried)
{
    for (const auto kind : { error_kind::PoisonRequest, error_kind::RateLimited, error_kind::NotApproved })
        BOOST_TEST(!mayRetry(attemptOf(kind, run_state::NotRun, true)));
    auto begun = attemptOf(error_kind::AnswerCut, run_state::MayHaveRun, true);
    begun.hasAnswerBegun = true;
    BOOST_TEST(!mayRetry(begun));
    auto late = attemptOf(error_kind::ServerFailed, run_state::NotRun, true);
    late.timeLeft = 500ms;
    BOOST_TEST(!mayRetry(late));
    auto third = attemptOf(error_kind::ServerFailed, run_state::NotRun, true);
    third.attempts = 3;
    BOOST_TEST(!mayRetry(third));
}

// All servers fail for a minute at 100 requests a second. With the budget, the servers see about 10% more
// attempts at most; without it, three attempts for each request would triple the load.
BOOST_AUTO_TEST_CASE(outage_is_not_amplified_by_retries)
{
    decisions::retry_budget budget;
    int retries = 0;
    for (int request = 0; request < 6000; ++request)
        retries += budget.trySpend(at(request * 10ms)) ? 1 : 0;
    BOOST_TEST(retries <= 600);
    for (int request = 0; request < 1000; ++request)
        budget.succeeded();
    BOOST_TEST(budget.trySpend(at(61s)));
}

// Four in a hundred lookups land on a slow server. After enough samples, the slowest lookups get a second
// request at the measured 95th percentile. When all servers become slow, the second requests stay within
// 5%.
BOOST_AUTO_TEST_CASE(hedges_stay_within_their_budget)
{
    decisions::hedge_policy policy;
    BOOST_TEST(!policy.delay().has_value());
    for (int i = 0; i < 200; ++i)
        policy.completed(i % 100 < 96 ? 10ms : 500ms);
    BOOST_REQUIRE(policy.delay().has_value());
    BOOST_TEST((*policy.delay() == 10ms));
    int hedges = 0;
    for (int i = 0; i < 1000; ++i) {
        hedges += policy.tryHedge(at(i * 10ms)) ? 1 : 0;
        policy.completed(500ms);
    }
    BOOST_TEST(hedges <= 55);
}

// A server fails five times in a row: it gets no requests, then few, then its full share again. If it fails
// while it is probed, it is ejected for twice as long.
BOOST_AUTO_TEST_CASE(failing_server_is_ejected_and_probed_back)
{
    decisions::outlier_ejector ejector;
    const auto servers = makeServers(4);
    ejector.setServers(servers);
    for (int i = 0; i < 5; ++i)
        ejector.failed(servers[0], at(0s));
    BOOST_TEST(ejector.weight(servers[0], at(1s)) == 0.0);
    BOOST_TEST(ejector.weight(servers[1], at(1s)) == 1.0);
    BOOST_TEST(ejector.weight(servers[0], at(10s)) == 0.05);
    BOOST_TEST(ejector.weight(servers[0], at(20s)) == 0.5);
    ejector.failed(servers[0], at(20s));
    BOOST_TEST(ejector.weight(servers[0], at(39s)) == 0.0);
    BOOST_TEST(ejector.weight(servers[0], at(60s)) == 1.0);
}

// A server answers ten times slower than its peers, so that its callers would give up. It is ejected by
// comparison. When all servers are equally slow, none is ejected.
BOOST_AUTO_TEST_CASE(slow_server_is_ejected_against_its_peers)
{
    decisions::outlier_ejector ejector;
    const auto servers = makeServers(4);
    ejector.setServers(servers);
    for (int i = 0; i < 40; ++i) {
        for (const server_id& server : servers)
            ejector.succeeded(server, server == servers[2] ? 1s : 100ms, at(i * 100ms));
    }
    BOOST_TEST(ejector.weight(servers[2], at(4s)) == 0.0);
    BOOST_TEST(ejector.ejectedCount(at(4s)) == 1U);

    decisions::outlier_ejector allSlow;
    allSlow.setServers(servers);
    for (int i = 0; i < 40; ++i) {
        for (const server_id& server : servers)
            allSlow.succeeded(server, 2s, at(i * 100ms));
    }
    BOOST_TEST(allSlow.ejectedCount(at(4s)) == 0U);
}

// The platform's network fails for all servers at once. Half of them stay selectable: slow or failing
// answers for some callers are better than a refusal for all.
BOOST_AUTO_TEST_CASE(common_failure_keeps_half_of_the_servers)
{
    decisions::outlier_ejector ejector;
    const auto servers = makeServers(6);
    ejector.setServers(servers);
    for (int i = 0; i < 20; ++i) {
        for (const server_id& server : servers)
            ejector.failed(server, at(i * 10ms));
    }
    BOOST_TEST(ejector.ejectedCount(at(1s)) == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

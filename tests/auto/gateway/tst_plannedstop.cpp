#include "rawcaller.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <future>
#include <thread>

using namespace std::chrono_literals;

namespace {

// By then the node takes only requests that end before the process does.
constexpr auto lateInGrace = 3500ms;
constexpr std::string_view body = "amount=5";

std::size_t runsOf(gateway_testbed& testbed)
{
    return testbed.press(0).requestCount() + testbed.press(1).requestCount();
}

std::string headOf(const std::string& target, const std::string& id)
{
    return "POST " + target + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-1\r\n"
        + "Lycheefront-Attempt-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stops)

// Guards against a payment that is passed on late in the grace period, because its first byte came early, and
// is cut when the process ends.
BOOST_FIXTURE_TEST_CASE(a_body_that_ends_late_in_the_grace_period_is_refused_as_not_run, ready_testbed)
{
    raw_caller caller(node(0));
    caller.write(headOf("/pay/1", "slow-1") + std::string(body.substr(0, 3)));
    node(0).process->sendSignal(SIGTERM);
    std::this_thread::sleep_for(lateInGrace);
    caller.write(std::string(body.substr(3)));
    const std::string answer = caller.readToEnd();
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Retry-After") != std::string::npos);
    BOOST_TEST(runsOf(*this) == 0u);
    BOOST_TEST(node(0).process->wait() == 0);
}

// Guards against short requests that are refused although they end before the process does.
BOOST_FIXTURE_TEST_CASE(a_request_whose_deadline_is_within_the_grace_period_is_served, ready_testbed)
{
    raw_caller caller(node(0));
    std::string head = headOf("/pay/1", "slow-2");
    head.insert(head.find("Content-Length"), "Lycheefront-Deadline-Ms: 6000\r\n");
    caller.write(head + std::string(body.substr(0, 3)));
    node(0).process->sendSignal(SIGTERM);
    std::this_thread::sleep_for(lateInGrace);
    caller.write(std::string(body.substr(3)));
    BOOST_TEST(caller.readToEnd().starts_with("HTTP/1.1 200"));
    BOOST_TEST(runsOf(*this) == 1u);
    BOOST_TEST(node(0).process->wait() == 0);
}

// Guards against a connection that is closed without an answer at the end of the grace period: the caller
// does not learn whether its payment may have run.
BOOST_FIXTURE_TEST_CASE(a_payment_in_progress_at_the_end_is_answered, ready_testbed)
{
    press(0).act(platform_standin::replica_act::Hang);
    press(1).act(platform_standin::replica_act::Hang);
    auto asked
        = std::async(std::launch::async, [&] { return ask(node(0), question("POST", "/pay/1", "5")); });
    BOOST_TEST(waitUntil([&] { return runsOf(*this) == 1; }));
    node(0).process->sendSignal(SIGTERM);
    const http_reply reply = asked.get();
    BOOST_TEST(reply.status == 502);
    BOOST_TEST(reply.isWhole);
    BOOST_TEST(runsOf(*this) == 1u);
    BOOST_TEST(node(0).process->wait() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

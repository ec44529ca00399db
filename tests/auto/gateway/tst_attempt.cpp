#include "gateway/requests/attempt.h"

#include <boost/test/unit_test.hpp>

using gateway::attempt_outcome;
using gateway::attempt_record;
using utils::error_kind;

BOOST_AUTO_TEST_SUITE(attempts)

// A payment's connection breaks after its bytes were sent, so the payment may have run. It must not be sent
// again, and the caller must not be told "not run", whatever happens later.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_not_retried_or_reported_as_not_run)
{
    for (const attempt_outcome end : { attempt_outcome::Cut, attempt_outcome::Silent,
             attempt_outcome::Garbled, attempt_outcome::Failed, attempt_outcome::Stopped }) {
        attempt_record payment(false, 1);
        payment.add(attempt_outcome::NotRun);
        payment.add(end);
        BOOST_TEST(!payment.mayRetry());
        BOOST_TEST(!payment.hasProvablyNotRun());
        const int status = utils::answerFor(payment.finalErrorKind()).httpStatus;
        BOOST_TEST((status == 502 || status == 504));
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_has_not_run_is_retried_and_reported_as_not_run)
{
    attempt_record payment(false, 1);
    payment.add(attempt_outcome::NotSent);
    BOOST_TEST(payment.mayRetry());
    BOOST_TEST(!payment.isRetry());
    payment.add(attempt_outcome::NotRun);
    BOOST_TEST(payment.mayRetry());
    BOOST_TEST(payment.isRetry());
    BOOST_TEST(payment.hasProvablyNotRun());
    BOOST_TEST((payment.finalErrorKind() == error_kind::QueueFull));
    BOOST_TEST(utils::answerFor(payment.finalErrorKind()).httpStatus == 503);
}

// The route of a lookup allows two runs; the second failure is the last one.
BOOST_AUTO_TEST_CASE(retries_end_at_the_maximum_of_the_route)
{
    attempt_record lookup(true, 2);
    lookup.add(attempt_outcome::Cut);
    BOOST_TEST(lookup.mayRetry());
    lookup.add(attempt_outcome::Silent);
    BOOST_TEST(!lookup.mayRetry());
    BOOST_TEST((lookup.finalErrorKind() == error_kind::ServerTimeout));
}

// All servers shed the request, or none is reachable: the attempts end, so that the caller gets its error in
// time.
BOOST_AUTO_TEST_CASE(attempts_without_a_usable_server_end)
{
    attempt_record shed(true, 2);
    for (unsigned i = 0; i < attempt_record::maxNotRun; ++i) {
        BOOST_TEST((i == 0 || shed.mayRetry()));
        shed.add(attempt_outcome::NotRun);
    }
    BOOST_TEST(!shed.mayRetry());
    attempt_record unreachable(true, 2);
    for (unsigned i = 0; i < attempt_record::maxUnsent; ++i)
        unreachable.add(attempt_outcome::NotSent);
    BOOST_TEST(!unreachable.mayRetry());
    BOOST_TEST((unreachable.finalErrorKind() == error_kind::NoServer));
}

// Guards against giving up a request that may have run, because a few servers in a row are out of reach.
BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_goes_on_past_servers_out_of_reach)
{
    attempt_record lookup(true, 2);
    lookup.add(attempt_outcome::Cut);
    for (unsigned i = 0; i < attempt_record::maxUnsentAfterRun; ++i) {
        BOOST_TEST(lookup.mayRetry());
        lookup.add(attempt_outcome::NotSent);
    }
    BOOST_TEST(!lookup.mayRetry());
}

BOOST_AUTO_TEST_CASE(an_exhausted_retry_budget_ends_the_attempts)
{
    attempt_record lookup(true, 2);
    lookup.add(attempt_outcome::Cut);
    lookup.add(attempt_outcome::NoRepeat);
    BOOST_TEST(!lookup.mayRetry());
    BOOST_TEST(!lookup.hasProvablyNotRun());
}

// Guards against a second run of a request that a peer may have run, and against more runs than the route
// allows: the peer may have used all of them.
BOOST_AUTO_TEST_CASE(nothing_follows_a_forwarded_attempt_that_may_have_run)
{
    for (const attempt_outcome end :
        { attempt_outcome::Cut, attempt_outcome::Silent, attempt_outcome::Garbled }) {
        attempt_record lookup(true, 3);
        lookup.addForwarded(end, true);
        BOOST_TEST(!lookup.mayRetry());
        BOOST_TEST(!lookup.hasProvablyNotRun());
    }
    attempt_record payment(false, 1);
    payment.addForwarded(attempt_outcome::NotSent, true);
    payment.addForwarded(attempt_outcome::NotRun, true);
    BOOST_TEST(payment.mayRetry());
    BOOST_TEST(payment.hasProvablyNotRun());
}

// Guards against a peer that says "not run" of a request which the forwarding node has sent before.
BOOST_AUTO_TEST_CASE(runs_before_the_request_was_forwarded_count)
{
    attempt_record lookup(true, 2);
    lookup.addEarlier(1, 1);
    BOOST_TEST(lookup.isRetry());
    BOOST_TEST(!lookup.hasProvablyNotRun());
    lookup.add(attempt_outcome::Cut);
    BOOST_TEST(!lookup.mayRetry());
}

// Guards against retries beyond the budget: a node that takes a request over counts its own attempt as the
// first one, though a server has rejected the request before.
BOOST_AUTO_TEST_CASE(attempts_that_servers_rejected_before_count_where_a_request_goes_on)
{
    attempt_record payment(false, 1);
    payment.addEarlier(0, 1);
    BOOST_TEST(payment.isRetry());
    BOOST_TEST(payment.mayRetry());
    BOOST_TEST(payment.hasProvablyNotRun());
}

// Guards against retries that are charged for nothing: a peer has refused without asking a server.
BOOST_AUTO_TEST_CASE(a_refusal_of_a_peer_that_sent_nothing_is_no_attempt_at_the_service)
{
    attempt_record lookup(true, 2);
    lookup.addForwarded(attempt_outcome::NotRun, false);
    BOOST_TEST(!lookup.isRetry());
    BOOST_TEST(lookup.mayRetry());
    lookup.addForwarded(attempt_outcome::NotRun, true);
    BOOST_TEST(lookup.isRetry());
}

// Guards against giving a request up because a peer that sent nothing is taken to have used its last run.
BOOST_AUTO_TEST_CASE(a_peer_that_sent_nothing_uses_no_run)
{
    for (const attempt_outcome end : { attempt_outcome::NotSent, attempt_outcome::NotRun }) {
        attempt_record lookup(true, 2);
        lookup.add(attempt_outcome::Cut);
        lookup.addForwarded(end, false);
        BOOST_TEST(lookup.mayRetry());
        BOOST_TEST(lookup.possibleRuns() == 1u);
        BOOST_TEST(!lookup.hasProvablyNotRun());
    }
}

// Guards against a peer that sent nothing and reports its forwarding node's run as its own.
BOOST_AUTO_TEST_CASE(a_peer_that_sent_nothing_says_so)
{
    for (const attempt_outcome end : { attempt_outcome::NotSent, attempt_outcome::NoRepeat }) {
        attempt_record forwarded(true, 2);
        forwarded.addEarlier(1, 1);
        forwarded.add(end);
        BOOST_TEST((forwarded.finalErrorKind() == error_kind::NoServer));
        BOOST_TEST(!forwarded.hasProvablyNotRun());
    }
    attempt_record sent(true, 3);
    sent.addEarlier(1, 1);
    sent.add(attempt_outcome::Cut);
    sent.add(attempt_outcome::NoRepeat);
    BOOST_TEST((sent.finalErrorKind() == error_kind::ServerFailed));
}

BOOST_AUTO_TEST_SUITE_END()

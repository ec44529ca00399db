#include "gateway/attempt.h"

#include <boost/test/unit_test.hpp>

using gateway::attempt_outcome;
using gateway::attempt_record;
using utils::error_kind;

BOOST_AUTO_TEST_SUITE(attempts)

// A payment's connection breaks after its bytes went out. It may have run: nothing more may be sent, and
// "not run" must not be said, neither now nor after anything else happens.
BOOST_AUTO_TEST_CASE(what_may_have_run_is_neither_repeated_nor_called_not_run)
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

BOOST_AUTO_TEST_CASE(what_has_not_run_goes_on_elsewhere_and_is_refused_truly)
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

// A lookup may run at two servers by its route. The second failure is the last.
BOOST_AUTO_TEST_CASE(repeats_end_with_the_runs_that_the_route_allows)
{
    attempt_record lookup(true, 2);
    lookup.add(attempt_outcome::Cut);
    BOOST_TEST(lookup.mayRetry());
    lookup.add(attempt_outcome::Silent);
    BOOST_TEST(!lookup.mayRetry());
    BOOST_TEST((lookup.finalErrorKind() == error_kind::ServerTimeout));
}

// All servers shed, or none can be reached: the search ends, so that the caller hears of it in time.
BOOST_AUTO_TEST_CASE(a_search_without_success_ends)
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

BOOST_AUTO_TEST_CASE(repeats_that_are_used_up_end_the_search)
{
    attempt_record lookup(true, 2);
    lookup.add(attempt_outcome::Cut);
    lookup.add(attempt_outcome::NoRepeat);
    BOOST_TEST(!lookup.mayRetry());
    BOOST_TEST(!lookup.hasProvablyNotRun());
}

BOOST_AUTO_TEST_SUITE_END()

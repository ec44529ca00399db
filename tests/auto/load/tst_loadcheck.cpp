#include "loadcheck/answercheck.h"
#include "loadcheck/ledgercheck.h"

#include "utils/hashing.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using load::call_end;
using load::call_record;
using load::raw_answer;

namespace {

std::string tokenEvent(const std::string& prompt, int index, int count)
{
    std::ostringstream out;
    out << R"(data: {"choices":[{"index":0,"delta":{"content":")" << std::hex << utils::hash64(prompt)
        << std::dec << ':' << index << '/' << count << " \"}}]}\n\n";
    return out.str();
}

raw_answer streamed(const std::string& body)
{
    return { 200, "text/event-stream", {}, body, true, {} };
}

call_record judged(const raw_answer& answer)
{
    call_record record;
    load::judgeChat(record, answer, "mine", 2);
    return record;
}

call_record keyed(const std::string& key, call_end end, const std::string& run = {})
{
    call_record record;
    record.kind = load::request_kind::Payment;
    record.key = key;
    record.end = end;
    record.run = run;
    return record;
}

const std::string whole = tokenEvent("mine", 0, 2) + tokenEvent("mine", 1, 2) + "data: [DONE]\n\n";

} // namespace

BOOST_AUTO_TEST_SUITE(loadcheck)

// A chat's answer is whole, or the caller can see that it is not. Everything else is a broken promise: a
// token of another's answer, a token missing in the middle, an end that looks like the end.
BOOST_AUTO_TEST_CASE(mixed_and_truncated_answers_are_broken)
{
    BOOST_TEST((judged(streamed(whole)).end == call_end::Whole));
    const auto mixed = tokenEvent("mine", 0, 2) + tokenEvent("other", 1, 2) + "data: [DONE]\n\n";
    BOOST_TEST((judged(streamed(mixed)).end == call_end::Broken));
    BOOST_TEST((judged(streamed(tokenEvent("mine", 1, 2) + "data: [DONE]\n\n")).end == call_end::Broken));
    BOOST_TEST((judged(streamed(tokenEvent("mine", 0, 2))).end == call_end::Broken));
    BOOST_TEST((judged(streamed(tokenEvent("mine", 0, 2) + "data: [DONE]\n\n")).end == call_end::Broken));
}

// The connection breaks, or the stream ends with an error event: the caller sees the failure.
BOOST_AUTO_TEST_CASE(visible_cuts_are_failures)
{
    raw_answer cut = streamed(tokenEvent("mine", 0, 2));
    cut.isComplete = false;
    cut.error = "partial message";
    BOOST_TEST((judged(cut).end == call_end::Failed));
    const auto event = tokenEvent("mine", 0, 2) + "data: {\"error\":{\"kind\":\"answer_cut\"}}\n\n";
    const call_record record = judged(streamed(event));
    BOOST_TEST((record.end == call_end::Failed));
    BOOST_TEST(record.problem == "answer_cut");
}

// A refusal names its kind and whether the request ran; without these the caller cannot know what to do.
BOOST_AUTO_TEST_CASE(refusals_name_kind_and_run)
{
    const raw_answer good { 429, "application/problem+json", "2",
        R"({"kind":"rate_limited","run":"not_run"})", true, {} };
    BOOST_TEST((judged(good).end == call_end::Refused));
    BOOST_TEST(judged(good).run == "not_run");
    BOOST_TEST((judged({ 500, "text/plain", {}, "oops", true, {} }).end == call_end::Broken));
}

// The plain service must have seen this request and no other.
BOOST_AUTO_TEST_CASE(service_answers_echo_the_request)
{
    call_record record;
    record.body = "{}";
    load::judgeService(record, { 200, "", {}, R"({"target":"/a","echo":"{}"})", true, {} }, "/a");
    BOOST_TEST((record.end == call_end::Whole));
    load::judgeService(record, { 200, "", {}, R"({"target":"/b","echo":"{}"})", true, {} }, "/a");
    BOOST_TEST((record.end == call_end::Broken));
}

// A draft was accepted: from then on it has an answer, or says what became of it. Not known any more, or with
// another's answer, breaks the promise; a node that is down does not.
BOOST_AUTO_TEST_CASE(accepted_drafts_do_not_vanish)
{
    call_record record;
    BOOST_TEST(
        load::judgeSubmission(record, { 202, "", {}, R"({"id":"d1","state":"waiting"})", true, {} }) == "d1");
    const auto poll = [&](int status, const std::string& body, bool isComplete = true) {
        return load::judgePoll(record, { status, "", {}, body, isComplete, {} }, "mine", 1);
    };
    BOOST_TEST(!poll(200, R"({"id":"d1","state":"waiting"})"));
    BOOST_TEST(!poll(0, "", false));
    BOOST_TEST(!poll(503, R"({"kind":"node_not_current","run":"not_run"})"));
    std::ostringstream own;
    own << R"({"answer":{"choices":[{"message":{"content":")" << std::hex << utils::hash64("mine")
        << ":0/1 \"}}]}}";
    BOOST_TEST(poll(200, own.str()));
    BOOST_TEST((record.end == call_end::Whole));
    BOOST_TEST(poll(200, R"({"answer":{"choices":[{"message":{"content":"other"}}]}})"));
    BOOST_TEST((record.end == call_end::Broken));
    BOOST_TEST(poll(404, R"({"kind":"draft_unknown","run":"not_run"})"));
    BOOST_TEST((record.end == call_end::Broken));
}

// A payment that ran twice, one that was answered and never ran, one that ran though every call said not_run:
// each gives one line. One that may have run may have run once or not at all.
BOOST_AUTO_TEST_CASE(ledger_shows_broken_promises)
{
    const std::vector<call_record> records { keyed("twice", call_end::Whole), keyed("never", call_end::Whole),
        keyed("refused", call_end::Refused, "not_run"), keyed("refused", call_end::Refused, "not_run"),
        keyed("unsure", call_end::Refused, "may_have_run"), keyed("gone", call_end::Failed),
        keyed("fine", call_end::Refused, "not_run"), keyed("fine", call_end::Whole) };
    load::run_counts counts;
    BOOST_TEST(
        load::addLedger(counts, R"({"runs":{"twice":2,"refused":1,"unsure":1,"fine":1},"total":5,"max":2})"));
    const auto broken = load::brokenPromises(records, counts);
    BOOST_REQUIRE(broken.size() == 3U);
    BOOST_TEST(broken[0] == "key never: has an answer and never ran");
    BOOST_TEST(broken[1] == "key refused: every call was told not_run, and it ran");
    BOOST_TEST(broken[2] == "key twice: ran 2 times");
}

// Ledgers come as an object, an array or lines; a page that is none of these must not pass for an empty one.
BOOST_AUTO_TEST_CASE(ledgers_are_read_in_each_form)
{
    load::run_counts counts;
    BOOST_TEST(load::addLedger(counts, R"([{"key":"a","count":1}])"));
    BOOST_TEST(load::addLedger(counts, "{\"key\":\"a\",\"count\":1}\n{\"key\":\"b\",\"count\":3}\n"));
    BOOST_TEST(counts.at("a") == 2U);
    BOOST_TEST(counts.at("b") == 3U);
    BOOST_TEST(!load::addLedger(counts, "<html>not found</html>"));
    BOOST_TEST(!load::addLedger(counts, R"({"error":"not found"})"));
}

BOOST_AUTO_TEST_SUITE_END()

#include "soakcheck.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace std::chrono_literals;
using platform_standin::replica_act;
using soak::arrival;
using soak::brokenPromises;
using soak::call_kind;
using soak::soak_bounds;
using soak::soak_evidence;
using soak::time_point;

namespace {

const time_point start = time_point {} + 1h;

arrival runAt(const std::string& server, const std::string& id, time_point at = start, bool isRun = true)
{
    arrival each;
    each.server = server;
    each.request.id = id;
    each.request.method = "POST";
    each.request.target = "/pay/order";
    each.request.body = id;
    each.request.headers["lycheefront-tenant"] = "print-shop";
    each.request.isRun = isRun;
    each.request.arrivedAt = at;
    return each;
}

/// A payment that was served by press-1, in a fleet of one node.
soak_evidence soundEvidence()
{
    soak_evidence evidence;
    evidence.calls.push_back(
        { "a", call_kind::Payment, 0, false, start, start + 100ms, 200, true, true, "a", "press-1" });
    evidence.arrivals.push_back(runAt("press-1", "a"));
    evidence.nodeFaults.resize(1);
    evidence.nodeEnds.resize(1);
    evidence.wholeStream = "id: 1\n\nid: 2\n\n";
    return evidence;
}

using texts = std::vector<std::string>;

/// A stream at the only node that its caller gave up after events of these versions.
soak::call_record chatCall(const std::string& id, const texts& versions, const std::string& resumes = {})
{
    soak::call_record call { id, call_kind::Chat, 0, false, start + 5s, start + 6s, 200, false, true, id,
        "" };
    call.versions = versions;
    call.resumes = resumes;
    call.hasTimedOut = true;
    return call;
}

/// A stream at the only node that ended before its last event, and before its caller left.
soak::call_record cutCall(const std::string& id)
{
    soak::call_record call = chatCall(id, { "v1" });
    call.hasTimedOut = false;
    return call;
}

std::size_t brokenCount(const soak_evidence& evidence)
{
    return brokenPromises(evidence, soak_bounds {}).size();
}

} // namespace

// Each check must see the fault that it is there for; a soak that can't fail shows nothing.
BOOST_AUTO_TEST_SUITE(soak_checks)

BOOST_AUTO_TEST_CASE(a_sound_run_breaks_nothing)
{
    BOOST_TEST(brokenCount(soundEvidence()) == 0u);
}

BOOST_AUTO_TEST_CASE(a_second_run_is_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.arrivals.push_back(runAt("press-2", "a", start, false));
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.arrivals.push_back(runAt("press-2", "a"));
    BOOST_TEST(brokenCount(evidence) == 1u);
}

BOOST_AUTO_TEST_CASE(a_false_refusal_is_seen)
{
    for (const int status : { 408, 421, 429, 503 }) {
        soak_evidence evidence = soundEvidence();
        evidence.calls[0].status = status;
        evidence.calls[0].isMarked = false;
        BOOST_TEST(brokenCount(evidence) == 1u);
        evidence.arrivals.clear();
        BOOST_TEST(brokenCount(evidence) == 0u);
    }
}

BOOST_AUTO_TEST_CASE(answers_of_others_and_parts_are_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.calls[0].answeredId = "b";
    BOOST_TEST(brokenCount(evidence) == 1u);
    evidence = soundEvidence();
    evidence.calls[0].isMarked = false;
    BOOST_TEST(brokenCount(evidence) == 1u);
    evidence = soundEvidence();
    evidence.calls[0].kind = call_kind::Draft;
    evidence.calls[0].body = "id: 1\n\n";
    BOOST_TEST(brokenCount(evidence) == 1u);
    evidence.calls[0].isWhole = false;
    evidence.calls[0].hasTimedOut = true;
    BOOST_TEST(brokenCount(evidence) == 0u);
}

BOOST_AUTO_TEST_CASE(requests_that_nobody_sent_are_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.arrivals.push_back(runAt("press-1", "b"));
    BOOST_TEST(brokenCount(evidence) == 1u);
    evidence = soundEvidence();
    evidence.arrivals[0].request.body = "other";
    BOOST_TEST(brokenCount(evidence) == 1u);
    evidence = soundEvidence();
    evidence.arrivals[0].request.headers["lycheefront-tenant"] = "other";
    BOOST_TEST(brokenCount(evidence) == 1u);
}

// Late in an evacuated data centre: only of nodes in touch, while it lasts, and where bounds are checked.
BOOST_AUTO_TEST_CASE(arrivals_in_evacuated_data_centres_are_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.dataCentres["press-1"] = "b";
    evidence.evacuated["b"] = { { start - 6s, start + 6s } };
    BOOST_TEST(brokenCount(evidence) == 1u);
    BOOST_TEST(brokenPromises(evidence, std::nullopt).empty());
    evidence.nodeFaults[0] = { { start - 5s, start - 4s } };
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.nodeFaults[0].clear();
    evidence.evacuated["b"] = { { start - 5s, start + 6s } };
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.evacuated["b"] = { { start - 16s, start - 6s } };
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.evacuated["b"] = { { start - 6s, start + 6s } };
    evidence.dataCentres["press-1"] = "a";
    BOOST_TEST(brokenCount(evidence) == 0u);
}

// Late at a server that left: only of nodes in touch, over a link in order, and where bounds are checked.
BOOST_AUTO_TEST_CASE(late_arrivals_at_leaving_servers_are_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.leftAt["press-1"] = start - 3s;
    BOOST_TEST(brokenCount(evidence) == 1u);
    BOOST_TEST(brokenPromises(evidence, std::nullopt).empty());
    evidence.linkFaults["press-1"] = { { start - 4s, start - 3s } };
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.linkFaults.clear();
    evidence.nodeFaults[0] = { { start - 5s, start - 4s } };
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.nodeFaults[0] = { { start - 9s, start - 8s } };
    BOOST_TEST(brokenCount(evidence) == 1u);
}

BOOST_AUTO_TEST_CASE(keys_that_were_taken_away_are_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.calls[0].usesSecondKey = true;
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.withoutSecondKey = { { start - 3s, start + 1s } };
    BOOST_TEST(brokenCount(evidence) == 1u);
    evidence.withoutSecondKey = { { start - 1s, start + 1s } };
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.calls[0].status = 401;
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.withoutSecondKey = { { start - 9s, start - 8s } };
    BOOST_TEST(brokenCount(evidence) == 1u);
    // Sent just before the key was taken away, taken up just after.
    evidence.withoutSecondKey = { { start + 50ms, start + 1s } };
    BOOST_TEST(brokenCount(evidence) == 0u);
    evidence.withoutSecondKey = { { start + 150ms, start + 1s } };
    BOOST_TEST(brokenCount(evidence) == 1u);
}

BOOST_AUTO_TEST_CASE(ends_and_lasting_failures_are_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.ownEnds.emplace_back("vm-1");
    evidence.notRecovered.emplace_back("vm-2");
    BOOST_TEST(brokenCount(evidence) == 2u);
}

BOOST_AUTO_TEST_CASE(retries_beyond_the_budget_are_seen)
{
    constexpr unsigned calls = 200;
    constexpr unsigned allowed = 118; // one for 20 calls, and 108
    soak_evidence evidence = soundEvidence();
    evidence.calls.clear();
    evidence.arrivals.clear();
    for (unsigned i = 0; i < calls; ++i) {
        const std::string id = std::to_string(i);
        const time_point sentAt = start + i * 10ms;
        evidence.calls.push_back(
            { id, call_kind::Payment, 0, false, sentAt, sentAt + 1s, 503, false, false, "", "" });
        evidence.arrivals.push_back(runAt("press-1", id, sentAt, false));
        if (i <= allowed)
            evidence.arrivals.push_back(runAt("press-2", id, sentAt + 100ms, false));
    }
    BOOST_TEST(brokenCount(evidence) == 1u);
    evidence.arrivals.pop_back();
    evidence.arrivals.erase(std::ranges::find(evidence.arrivals, "press-2", &arrival::server));
    BOOST_TEST(brokenCount(evidence) == 0u);
}

BOOST_AUTO_TEST_CASE(streams_of_two_versions_are_seen)
{
    soak_evidence evidence = soundEvidence();
    for (const std::string stream : { "b", "c", "d" }) {
        BOOST_TEST(brokenCount(evidence) == 0u);
        evidence.calls.push_back(chatCall(stream, { "v1" }));
        evidence.calls.push_back(chatCall(stream + "2", { "v2" }, stream));
    }
    BOOST_TEST(brokenCount(evidence) == 1u);
}

BOOST_AUTO_TEST_CASE(streams_that_do_not_go_on_are_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.dataCentres = { { "engine-1", "a" }, { "engine-2", "b" }, { "engine-3", "b" } };
    evidence.engines = { { "engine-1", { "v1" } }, { "engine-2", { "v1" } }, { "engine-3", { "v2" } } };
    for (unsigned i = 0; i < 12; ++i) {
        const std::string stream = "b" + std::to_string(i);
        evidence.calls.push_back(chatCall(stream, { "v1" }));
        BOOST_TEST(brokenCount(evidence) == 0u);
        evidence.calls.push_back(chatCall(stream + "2", i < 5 ? texts { "v1" } : texts {}, stream));
    }
    BOOST_TEST(brokenCount(evidence) == 1u);
    // A single server of the version is left.
    evidence.engines["engine-2"].to = start;
    BOOST_TEST(brokenCount(evidence) == 0u);
}

BOOST_AUTO_TEST_CASE(requests_with_a_crashing_part_that_go_on_are_seen)
{
    soak_evidence evidence = soundEvidence();
    for (unsigned i = 0; i < 5; ++i)
        evidence.partCrashes.push_back(start + i * 1s);
    evidence.partCrashesUntil = start + 30s;
    for (unsigned i = 0; i < 5; ++i) {
        const std::string id = "b" + std::to_string(i);
        soak::call_record call = chatCall(id, {});
        call.hasCrashingPart = true;
        call.status = 502;
        evidence.calls.push_back(call);
        // One is in time, and three may be late.
        evidence.arrivals.push_back(runAt("engine-1", id, start + 4s + (i == 0 ? 4s : 6s)));
        BOOST_TEST(brokenCount(evidence) == (i < 4 ? 0u : 5u)); // each arrival, and their number
    }
    evidence.nodeFaults[0].push_back({ start + 9s, start + 10s });
    BOOST_TEST(brokenCount(evidence) == 0u);
}

// Guards against answers cut, or replaced by a failure, though their server goes on with them.
BOOST_AUTO_TEST_CASE(cut_answers_of_servers_that_go_on_are_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.calls.push_back(cutCall("b"));
    evidence.reportedCuts.insert("b");
    BOOST_TEST(brokenCount(evidence) == 0u); // it reached no server
    evidence.arrivals.push_back(runAt("engine-1", "b", start + 5s));
    evidence.arrivals.back().request.act = replica_act::Stream;
    BOOST_TEST(brokenCount(evidence) == 1u);
    BOOST_TEST(brokenPromises(evidence, std::nullopt).size() == 1u);
    evidence.nodeFaults[0] = { { start + 5s, start + 6s } }; // as of a silent store
    BOOST_TEST(brokenCount(evidence) == 1u);
    for (const int status : { 0, 502, 504 }) {
        evidence.calls.back().status = status;
        evidence.calls.back().isMarked = false;
        BOOST_TEST(brokenCount(evidence) == 1u);
    }
    evidence.calls.back().status = 500;
    evidence.calls.back().isMarked = true;
    BOOST_TEST(brokenCount(evidence) == 0u);
}

// Guards against blaming the nodes for what servers, links, callers and kills cut.
BOOST_AUTO_TEST_CASE(answers_that_others_cut_are_excused)
{
    soak_evidence cut = soundEvidence();
    cut.calls.push_back(cutCall("b"));
    cut.reportedCuts.insert("b");
    cut.arrivals.push_back(runAt("engine-1", "b", start + 5s));
    cut.arrivals.back().request.act = replica_act::Stream;
    const auto isExcusedBy = [&](const auto& change) {
        soak_evidence evidence = cut;
        change(evidence);
        return brokenCount(evidence) == 0;
    };
    BOOST_TEST(!isExcusedBy([](soak_evidence&) {}));
    BOOST_TEST(isExcusedBy([](auto& each) { each.calls.back().hasTimedOut = true; }));
    BOOST_TEST(isExcusedBy([](auto& each) { each.calls.back().endedAt = start + 10600ms; }));
    BOOST_TEST(isExcusedBy([](auto& each) {
        each.calls.back().isWhole = true;
        each.calls.back().body = each.wholeStream;
    }));
    BOOST_TEST(isExcusedBy([](auto& each) { each.arrivals.back().request.act = replica_act::StreamCut; }));
    BOOST_TEST(isExcusedBy([](auto& each) { each.crashes["engine-1"] = { start + 5500ms }; }));
    BOOST_TEST(!isExcusedBy([](auto& each) { each.crashes["engine-1"] = { start + 4s, start + 7s }; }));
    BOOST_TEST(isExcusedBy([](auto& each) { each.linkFaults["engine-1"] = { { start, start + 1s } }; }));
    BOOST_TEST(!isExcusedBy([](auto& each) { each.linkFaults["engine-2"] = { { start, start + 9s } }; }));
    BOOST_TEST(isExcusedBy([](auto& each) {
        each.pathNodes = { 0 };
        each.nodePathFaults = { { start + 5s, start + 6s } };
    }));
    BOOST_TEST(!isExcusedBy([](auto& each) {
        each.pathNodes = { 1 };
        each.nodePathFaults = { { start + 5s, start + 6s } };
    }));
    BOOST_TEST(isExcusedBy([](auto& each) { each.nodeEnds[0] = { { start + 6s, start + 7s } }; }));
    BOOST_TEST(!isExcusedBy([](auto& each) { each.nodeEnds[0] = { { start + 7s, start + 8s } }; }));
    // The first server broke off, and the one that took over went on.
    BOOST_TEST(!isExcusedBy([](auto& each) {
        each.arrivals.push_back(runAt("engine-2", "b", start + 4900ms));
        each.arrivals.back().request.act = replica_act::StreamCut;
    }));
}

// Guards against answers cut without a trace.
BOOST_AUTO_TEST_CASE(cut_answers_that_no_log_names_are_seen)
{
    soak_evidence evidence = soundEvidence();
    evidence.calls.push_back(cutCall("b"));
    BOOST_TEST(brokenCount(evidence) == 1u);
    evidence.reportedCuts.insert("b");
    BOOST_TEST(brokenCount(evidence) == 0u);
}

BOOST_AUTO_TEST_CASE(last_event_is_the_last_whole_one)
{
    const std::string body = platform_standin::eventsUpTo(12);
    BOOST_TEST(soak::lastEvent(body) == 12u);
    BOOST_TEST(soak::lastEvent(body.substr(0, body.size() - 1)) == 11u);
    BOOST_TEST(soak::lastEvent("id: 1") == 0u);
    BOOST_TEST(soak::lastEvent("") == 0u);
}

// Guards against a soak that does not see requests to a server which has asked their node for rest.
BOOST_AUTO_TEST_CASE(requests_within_a_rest_break_a_promise)
{
    soak_evidence evidence = soundEvidence();
    const auto add = [&](const std::string& id, time_point at) {
        evidence.calls.push_back(
            { id, call_kind::Lookup, 0, false, at, at + 10ms, 503, true, false, id, "" });
        evidence.arrivals.push_back(runAt("press-1", id, at, false));
    };
    add("asks", start + 10s);
    evidence.arrivals.back().request.restAsked = "2.5";
    evidence.arrivals.back().request.answeredAt = start + 10s;
    for (const auto at : { 10100ms, 10900ms, 11100ms, 12400ms, 12600ms })
        add("at" + std::to_string(at.count()), start + at);
    BOOST_TEST(brokenCount(evidence) == 0u);
    add("third", start + 12s);
    BOOST_TEST(brokenCount(evidence) > 0u);
    evidence.nodeFaults[0].push_back({ start + 9s, start + 13s });
    BOOST_TEST(brokenCount(evidence) == 0u);
}

// Guards against a soak that does not see requests to a server after its own word that it leaves.
BOOST_AUTO_TEST_CASE(requests_after_the_word_of_a_leaving_server_break_a_promise)
{
    soak_evidence evidence = soundEvidence();
    evidence.arrivals.front().request.isLeavingSaid = true;
    const auto add = [&](const std::string& id, time_point at) {
        evidence.calls.push_back(
            { id, call_kind::Payment, 0, false, at, at + 10ms, 200, true, true, id, "press-1" });
        evidence.arrivals.push_back(runAt("press-1", id, at));
    };
    add("soon", start + 2s);
    BOOST_TEST(brokenCount(evidence) == 0u);
    add("late", start + 4s);
    BOOST_TEST(brokenCount(evidence) > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

#include "decisions/originsearch.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace std::chrono_literals;
using namespace decisions;

namespace {

constexpr version_key first = 11;
constexpr version_key second = 12;

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

/// A history in which the servers of "engines" have these versions.
version_history historyOf(const std::set<std::string>& versions)
{
    version_history history;
    history.observe({ { "engines", versions } }, at(0s));
    return history;
}

origin_query queryFor(stream_key stream)
{
    origin_query query;
    query.stream = stream;
    query.isNamed = true;
    query.service = "engines";
    query.isViewCurrent = true;
    return query;
}

} // namespace

BOOST_AUTO_TEST_SUITE(streamorigins)

BOOST_AUTO_TEST_CASE(origins_are_known_for_their_lifetime)
{
    stream_origins origins;
    origins.record({ 1, first }, true, at(0s));
    origins.record({ 2, second }, false, at(10s));
    origins.record({ 1, first }, false, at(20s));
    BOOST_TEST(origins.find(1, at(21s))->version == first);
    BOOST_TEST((origins.find(1, at(21s))->age == 1s));
    BOOST_TEST(origins.find(1, at(21s))->isOwn);
    BOOST_TEST(!origins.find(2, at(21s))->isOwn);
    BOOST_TEST(!origins.find(3, at(21s)).has_value());
    origins.expire(at(10s + stream_origins::lifetime + 1ms));
    BOOST_TEST(origins.size() == 1u);
    BOOST_TEST(!origins.find(1, at(20s + stream_origins::lifetime + 1ms)).has_value());
    BOOST_TEST(origins.ownSince(5s, at(21s)).size() == 1u);
    BOOST_TEST(origins.ownSince(5s, at(30s)).empty());
}

// Guards against a choice between two reports of which one must be wrong.
BOOST_AUTO_TEST_CASE(contradicting_reports_leave_the_origin_unknown)
{
    stream_origins origins;
    origins.record({ 1, first }, false, at(0s));
    origins.record({ 1, second }, false, at(1s));
    origins.record({ 1, second }, false, at(2s));
    BOOST_TEST(!origins.find(1, at(3s)).has_value());
    BOOST_TEST(origins.ownSince(10s, at(3s)).empty());
    origin_answers answers;
    answers.add(first, 1);
    answers.add(second, 1);
    version_history single = historyOf({ "v1" });
    single.applyRecord(service_versions { { "engines", { "v1" } } }, 7, at(0s));
    BOOST_TEST((findByAnswers(single, queryFor(1), answers, at(1s)).source == origin_source::Unknown));
}

// Guards against memory that grows with the traffic.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    stream_origins origins;
    for (stream_key stream = 0; stream < stream_origins::maxStreams + 10; ++stream)
        origins.record({ stream, first }, false, at(std::chrono::microseconds(stream)));
    BOOST_TEST(origins.size() == stream_origins::maxStreams);
    BOOST_TEST(origins.dropped() == 10u);
    BOOST_TEST(!origins.find(0, at(1s)).has_value());
}

// Guards against a caller that finds the stream of another workspace or service.
BOOST_AUTO_TEST_CASE(keys_hold_workspace_and_service)
{
    const std::set<stream_key> keys { streamKey("a", "w", "s"), streamKey("a", "w2", "s"),
        streamKey("a", "w", "s2"), streamKey("b", "w", "s"), streamKey("a", "s", "w") };
    BOOST_TEST(keys.size() == 5u);
    BOOST_TEST(versionKey("v1") != versionKey("v1.1"));
    BOOST_TEST(versionKey("") != 0u);
}

// Guards against origins that are lost with one data centre.
BOOST_AUTO_TEST_CASE(holders_stand_in_different_data_centres)
{
    const std::vector<holder_candidate> candidates { { "1", "a" }, { "2", "a" }, { "3", "a" }, { "4", "a" },
        { "5", "b" }, { "6", "b" }, { "7", "c" } };
    for (stream_key stream = 1; stream < 100; ++stream) {
        std::set<std::string_view> dataCentres;
        for (const std::size_t holder : rankHolders(stream, candidates, originHolders))
            dataCentres.insert(candidates[holder].dataCentre);
        BOOST_TEST(dataCentres.size() == 3u);
    }
    BOOST_TEST(rankHolders(1, candidates, 20).size() == candidates.size());
    BOOST_TEST(rankHolders(1, {}, originHolders).empty());
}

// Guards against holders that are not asked, since the asking node ranks other peers than the telling one.
BOOST_AUTO_TEST_CASE(most_holders_are_asked)
{
    std::vector<std::string> addresses;
    for (unsigned i = 0; i < 60; ++i)
        addresses.push_back("10.0.0." + std::to_string(i));
    const auto ranked = [&](stream_key stream, std::size_t without, std::size_t limit) {
        std::vector<holder_candidate> candidates;
        for (std::size_t i = 0; i < addresses.size(); ++i) {
            if (i != without)
                candidates.push_back({ addresses[i], i % 2 == 0 ? "even" : "odd" });
        }
        std::set<std::string_view> chosen;
        for (const std::size_t index : rankHolders(stream, candidates, limit))
            chosen.insert(candidates[index].address);
        return chosen;
    };
    for (stream_key stream = 1; stream < 200; ++stream) {
        const auto holders = ranked(stream, stream % 60, originHolders);
        const std::size_t asking = stream * 7 % 60;
        const auto asked = ranked(stream, asking, askedHolders);
        for (const std::string_view holder : holders)
            BOOST_TEST((holder == addresses[asking] || asked.contains(holder)));
    }
}

BOOST_AUTO_TEST_CASE(version_that_has_left_counts_for_its_lifetime)
{
    version_history history = historyOf({ "v1", "v2" });
    BOOST_TEST(history.mayHaveSeveral("engines", at(1s)));
    history.observe({ { "engines", { "v2" } } }, at(10s));
    history.applyRecord(service_versions { { "engines", { "v2" } } }, 7, at(10s));
    BOOST_TEST(!history.onlyVersion("engines", at(11s)).has_value());
    const utils::time_point later = at(10s + version_history::lifetime + 1ms);
    BOOST_TEST(history.onlyVersion("engines", later).value() == "v2");
    BOOST_TEST(!history.onlyVersion("press", later).has_value());
}

// Guards against a node that has just started and takes the versions of now for those of before.
BOOST_AUTO_TEST_CASE(recorded_versions_count_like_observed_ones)
{
    version_history history;
    history.applyRecord(service_versions { { "engines", { "v1", "v2" } } }, 7, at(0s));
    history.observe({ { "engines", { "v2" } } }, at(0s));
    BOOST_TEST(!history.onlyVersion("engines", at(1s)).has_value());
    BOOST_TEST(!history.missingRecord(at(1s)).has_value());
    const utils::time_point later = at(version_history::lifetime + 1ms);
    BOOST_TEST((history.missingRecord(later) == service_versions { { "engines", { "v2" } } }));
    // The record still says so.
    BOOST_TEST(!history.onlyVersion("engines", later).has_value());
    history.applyRecord(service_versions { { "engines", { "v2" } } }, 8, later);
    BOOST_TEST(history.onlyVersion("engines", later).value() == "v2");
    // An older one arrives late.
    history.applyRecord(service_versions { { "engines", { "v1" } } }, 7, later);
    BOOST_TEST(history.onlyVersion("engines", later).value() == "v2");
    BOOST_TEST(history.recordRevision() == 8u);
}

// Guards against a record that a node shortens by what another one has just added.
BOOST_AUTO_TEST_CASE(versions_that_others_recorded_stay_in_the_record)
{
    version_history history = historyOf({ "v1" });
    history.applyRecord(service_versions { { "engines", { "v1", "v2" } } }, 7, at(1s));
    BOOST_TEST(!history.missingRecord(at(2s)).has_value());
    BOOST_TEST(history.mayHaveSeveral("engines", at(2s)));
}

// Guards against a conclusion from a record that is missing, or has just been begun.
BOOST_AUTO_TEST_CASE(first_record_names_what_may_have_been_before)
{
    version_history history = historyOf({ "v1" });
    BOOST_TEST(!history.onlyVersion("engines", at(0s)).has_value());
    BOOST_TEST(history.mayHaveSeveral("engines", at(0s)));
    BOOST_TEST(!history.isRecorded("engines", "v1"));
    const std::string unknown(version_history::unknownVersion);
    const service_versions first { { "engines", { "v1", unknown } } };
    BOOST_TEST((history.missingRecord(at(0s)) == first));
    history.applyRecord(first, 7, at(1s));
    BOOST_TEST(history.isRecorded("engines", "v1"));
    BOOST_TEST(!history.onlyVersion("engines", at(2s)).has_value());
    BOOST_TEST(!history.missingRecord(at(2s)).has_value());
    const utils::time_point later = at(1s + version_history::lifetime + 1ms);
    const service_versions complete { { "engines", { "v1" } } };
    BOOST_TEST((history.missingRecord(later) == complete));
    BOOST_TEST(!history.onlyVersion("engines", later).has_value());
    history.applyRecord(complete, 8, later);
    BOOST_TEST(history.onlyVersion("engines", later).value() == "v1");
    BOOST_TEST(!history.mayHaveSeveral("engines", later));
    // A service of which only the past is known has no version that a stream could go on at.
    history.observe({}, later);
    history.applyRecord(service_versions { { "engines", { unknown } } }, 9, at(1h));
    BOOST_TEST(!history.onlyVersion("engines", at(1h)).has_value());
}

// Guards against a first record that is doubted, though nothing was served before it.
BOOST_AUTO_TEST_CASE(record_of_the_first_observer_is_complete)
{
    version_history history;
    history.setFirstObserver(true);
    history.observe({ { "engines", { "v1" } } }, at(0s));
    const service_versions complete { { "engines", { "v1" } } };
    BOOST_TEST((history.missingRecord(at(0s)) == complete));
    history.setFirstObserver(false);
    BOOST_TEST((history.missingRecord(at(0s)) != complete));
}

BOOST_AUTO_TEST_CASE(removed_record_is_written_anew)
{
    version_history history = historyOf({ "v1" });
    history.applyRecord(service_versions { { "engines", { "v1" } } }, 7, at(1s));
    BOOST_TEST(history.hasRecord());
    history.applyRecord(std::nullopt, 9, at(2s));
    BOOST_TEST(!history.hasRecord());
    BOOST_TEST(history.missingRecord(at(2s)).has_value());
}

BOOST_AUTO_TEST_CASE(records_round_trip)
{
    const service_versions record { { "engines", { "v1", "v1.1" } }, { "press", { "" } } };
    BOOST_TEST((decodeRecord(encodeRecord(record)) == record));
    BOOST_TEST(decodeRecord("no separator\n").empty());
    // A name that would read as two is never taken for the only one.
    version_history history = historyOf({ "v1\nengines\tv2" });
    BOOST_TEST(!history.onlyVersion("engines", at(0s)).has_value());
    BOOST_TEST(history.missingRecord(at(0s)).value_or(service_versions()).empty());
}

BOOST_AUTO_TEST_CASE(origin_is_found_by_report_before_the_only_version)
{
    stream_origins origins;
    origins.record({ 1, second }, true, at(0s));
    version_history single = historyOf({ "v1" });
    single.applyRecord(service_versions { { "engines", { "v1" } } }, 7, at(0s));
    const auto found = findHere(origins, single, queryFor(1), at(1s));
    BOOST_TEST((found->source == origin_source::OwnNode));
    BOOST_TEST(found->version == second);
    const auto other = findHere(origins, single, queryFor(2), at(1s));
    BOOST_TEST((other->source == origin_source::OnlyVersion));
    BOOST_TEST(other->version == versionKey("v1"));
    BOOST_TEST(!findHere(origins, historyOf({ "v1", "v2" }), queryFor(2), at(1s)).has_value());
}

// Guards against a node whose view is old and that nobody confirms.
BOOST_AUTO_TEST_CASE(only_version_needs_a_current_view_or_a_peer_that_confirms_it)
{
    version_history history = historyOf({ "v1" });
    history.applyRecord(service_versions { { "engines", { "v1" } } }, 7, at(0s));
    origin_query query = queryFor(1);
    query.isViewCurrent = false;
    BOOST_TEST(!findHere(stream_origins(), history, query, at(1s)).has_value());
    origin_answers none;
    BOOST_TEST((findByAnswers(history, query, none, at(1s)).source == origin_source::Unknown));
    origin_answers older;
    older.add(0, 7);
    BOOST_TEST((findByAnswers(history, query, older, at(1s)).source == origin_source::OnlyVersion));
    origin_answers newer = older;
    newer.add(0, 8);
    BOOST_TEST((findByAnswers(history, query, newer, at(1s)).source == origin_source::Unknown));
    query.isAlone = true;
    BOOST_TEST((findByAnswers(history, query, none, at(1s)).source == origin_source::OnlyVersion));
}

// Guards against a node that takes its view for current, though a peer knows a newer record: streams of a
// version that joined while the node was out of step go on at another one.
BOOST_AUTO_TEST_CASE(newer_record_of_a_peer_goes_before_a_view_that_seems_current)
{
    version_history history = historyOf({ "v1" });
    history.applyRecord(service_versions { { "engines", { "v1" } } }, 7, at(0s));
    origin_query query = queryFor(1);
    query.isViewCurrent = true;
    origin_answers newer;
    newer.add(0, 8);
    BOOST_TEST((findByAnswers(history, query, newer, at(1s)).source == origin_source::Unknown));
    origin_answers same;
    same.add(0, 7);
    BOOST_TEST((findByAnswers(history, query, same, at(1s)).source == origin_source::OnlyVersion));
}

// Guards against callers that do not name the stream and are given the answer to another one.
BOOST_AUTO_TEST_CASE(unnamed_stream_is_not_looked_up)
{
    stream_origins origins;
    origin_query query = queryFor(0);
    query.isNamed = false;
    origins.record({ 0, second }, true, at(0s));
    BOOST_TEST(!findHere(origins, historyOf({ "v1", "v2" }), query, at(1s)).has_value());
    origin_answers answers;
    answers.add(second, 1);
    BOOST_TEST(
        (findByAnswers(historyOf({ "v1", "v2" }), query, answers, at(1s)).source == origin_source::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

#include "decisions/crashingparts.h"
#include "decisions/suspectgate.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using decisions::crashing_parts;
using decisions::part_strike;
using decisions::part_verdict;
using decisions::prompt_part;

namespace {

constexpr std::uint32_t service = 7;
constexpr std::uint32_t otherService = 8;
const std::vector<prompt_part> prompt { { 1, 500 }, { 2, 300 } };
const std::vector<prompt_part> soundPrompt { { 1, 500 }, { 3, 300 } };

utils::time_point at(std::chrono::milliseconds time)
{
    return utils::time_point(1000s + time);
}

/// Crashes in a row, each of a request that was sent after the crash before was known.
void crashInRow(crashing_parts& parts, unsigned crashes, std::chrono::milliseconds from = 0ms)
{
    for (unsigned i = 0; i < crashes; ++i)
        parts.crashed(service, prompt, i + 1, at(from + i * 200ms + 1ms), at(from + (i + 1) * 200ms));
}

part_verdict verdictOn(const crashing_parts& parts, std::uint64_t part, std::chrono::milliseconds time)
{
    return parts.check(std::vector<prompt_part> { { part, 100 } }, at(time)).verdict;
}

part_verdict verdictOnPrompt(const crashing_parts& parts, std::chrono::milliseconds time)
{
    return parts.check(prompt, at(time)).verdict;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_part_rules)

BOOST_AUTO_TEST_CASE(three_crashes_in_a_row_convict)
{
    crashing_parts parts;
    BOOST_TEST((verdictOn(parts, 2, 0ms) == part_verdict::Sound));
    crashInRow(parts, 1);
    BOOST_TEST((verdictOn(parts, 2, 200ms) == part_verdict::Sound));
    crashInRow(parts, 2);
    BOOST_TEST((verdictOn(parts, 2, 400ms) == part_verdict::Suspect));
    crashInRow(parts, 3);
    BOOST_TEST((verdictOnPrompt(parts, 600ms) == part_verdict::Crashing));
    BOOST_TEST(parts.refused(at(600ms)) == 2u); // the first part had no answer in between either
    const auto finding = parts.check(prompt, at(1s));
    BOOST_TEST(finding.level == 3u);
    BOOST_TEST(finding.isOwn);
    BOOST_TEST((finding.age == 400ms));
}

// Guards against a part in use that is refused everywhere because all requests of a chain had it, beside the
// crashing one.
BOOST_AUTO_TEST_CASE(a_known_part_is_excused_by_a_crashing_companion)
{
    crashing_parts parts;
    parts.answered(service, soundPrompt, at(-200ms), at(-100ms));
    crashInRow(parts, 6);
    BOOST_TEST((verdictOnPrompt(parts, 1200ms) == part_verdict::Crashing));
    BOOST_TEST((verdictOn(parts, 2, 1200ms) == part_verdict::Crashing));
    BOOST_TEST((verdictOn(parts, 1, 1200ms) == part_verdict::Suspect));
    // Crashes without the companion count by themselves.
    const std::vector<prompt_part> alone { { 1, 500 } };
    for (unsigned i = 0; i < 5; ++i)
        parts.crashed(service, alone, 20 + i, at(1201ms + i * 200ms), at(1400ms + i * 200ms));
    BOOST_TEST((verdictOn(parts, 1, 2400ms) == part_verdict::Crashing));
}

// Guards against a request that its caller repeats, and that goes on because no part of a prompt names it.
BOOST_AUTO_TEST_CASE(a_whole_request_is_a_suspect_of_its_own)
{
    crashing_parts parts;
    const auto bad = decisions::suspectsOf({}, decisions::digestOf("bad"));
    const auto sound = decisions::suspectsOf({}, decisions::digestOf("sound"));
    BOOST_REQUIRE(bad.size() == 1u);
    BOOST_TEST(decisions::isWholeRequest(bad.front().id));
    for (unsigned i = 0; i < 3; ++i) {
        parts.crashed(service, bad, i + 1, at(i * 200ms + 1ms), at((i + 1) * 200ms));
        if (i == 1)
            parts.crashed(service, sound, i + 1, at(i * 200ms + 1ms), at((i + 1) * 200ms));
    }
    BOOST_TEST((parts.check(bad, at(600ms)).verdict == part_verdict::Crashing));
    BOOST_TEST((parts.check(sound, at(600ms)).verdict == part_verdict::Sound));
}

// Guards against a caller that names a part like somebody else's request, or so many that the request itself
// is not looked at.
BOOST_AUTO_TEST_CASE(no_part_stands_for_a_request)
{
    const auto request = decisions::suspectsOf({}, decisions::digestOf("bad")).front();
    const std::vector<prompt_part> made(100, prompt_part { request.id, 1 });
    const auto suspects = decisions::suspectsOf(made, decisions::digestOf("other"));
    BOOST_TEST(suspects.size() == decisions::maxSuspects);
    BOOST_TEST(suspects.front().id != request.id);
    BOOST_TEST(decisions::isWholeRequest(suspects.back().id));
}

// Guards against a chain that stays short because the news of its first crash comes after the second.
BOOST_AUTO_TEST_CASE(news_of_an_earlier_crash_makes_a_link_of_a_later_one)
{
    crashing_parts elsewhere;
    elsewhere.crashed(service, prompt, 1, at(0ms), at(100ms));
    crashing_parts parts;
    BOOST_TEST(parts.crashed(service, prompt, 2, at(150ms), at(300ms)) == 1u);
    parts.crashed(service, soundPrompt, 2, at(50ms), at(300ms)); // under way at both crashes
    parts.merge(elsewhere.takeNews(20, at(100ms)), at(1500ms) - 1400ms);
    BOOST_TEST((verdictOn(parts, 2, 400ms) == part_verdict::Suspect));
    BOOST_TEST((verdictOn(parts, 3, 400ms) == part_verdict::Sound));
    BOOST_TEST(parts.takeNews(20, at(400ms)).front().level == 2u);
}

// Guards against a crash that becomes known late and undoes the answers since.
BOOST_AUTO_TEST_CASE(a_crash_that_becomes_known_late_is_cleared_by_answers_since)
{
    crashing_parts parts;
    parts.answered(service, prompt, at(500ms), at(600ms));
    parts.crashed(service, prompt, 1, at(0ms), at(100ms));
    parts.crashed(service, prompt, 2, at(700ms), at(800ms));
    BOOST_TEST((verdictOn(parts, 2, 900ms) == part_verdict::Sound));
}

// Guards against the request that crashes servers being displaced by the many under way beside it.
BOOST_AUTO_TEST_CASE(thousands_under_way_do_not_displace_a_chain)
{
    crashing_parts parts;
    const auto bad = decisions::suspectsOf({}, decisions::digestOf("bad"));
    for (unsigned crash = 0; crash < 3; ++crash) {
        parts.crashed(service, bad, crash + 1, at(crash * 1s + 1ms), at((crash + 1) * 1s));
        for (unsigned i = 0; i < 5000; ++i) {
            const auto beside = decisions::suspectsOf(
                {}, decisions::digestOf(std::to_string(crash) + " " + std::to_string(i)));
            parts.crashed(service, beside, crash + 1, at(crash * 1s + 1ms), at((crash + 1) * 1s));
        }
    }
    BOOST_TEST(parts.size() <= decisions::crashing_part_limits().maxStrikes);
    BOOST_TEST((parts.check(bad, at(3s)).verdict == part_verdict::Crashing));
    BOOST_TEST(parts.takeNews(1, at(3s)).front().part == bad.front().id);
}

// Guards against a rack that fails and gets all parts that were in use there refused.
BOOST_AUTO_TEST_CASE(servers_that_fail_at_once_make_one_link)
{
    crashing_parts parts;
    for (decisions::crash_key crash = 1; crash <= 20; ++crash)
        parts.crashed(service, prompt, crash, at(0ms), at(100ms + crash * 1ms));
    BOOST_TEST((verdictOn(parts, 1, 200ms) == part_verdict::Sound));
}

// Guards against a server that stays down behind a balancer, and gets parts refused by each further request.
BOOST_AUTO_TEST_CASE(a_crash_that_several_nodes_see_makes_one_link)
{
    crashing_parts parts;
    for (unsigned i = 0; i < 5; ++i)
        parts.crashed(service, prompt, 1, at(i * 100ms + 1ms), at((i + 1) * 100ms));
    BOOST_TEST(parts.check(prompt, at(500ms)).level == 1u);
    // The server is back under its key.
    parts.crashed(service, prompt, 1, at(5s), at(6s));
    BOOST_TEST(parts.check(prompt, at(6s)).level == 2u);
}

// Guards against a sound part that is refused because it is used beside a crashing one.
BOOST_AUTO_TEST_CASE(an_answer_clears_what_was_known_when_it_began)
{
    crashing_parts parts;
    crashInRow(parts, 2);
    BOOST_TEST(parts.answered(service, soundPrompt, at(300ms), at(450ms)) == 1u);
    BOOST_TEST((verdictOn(parts, 1, 450ms) == part_verdict::Suspect)); // the second crash came later
    BOOST_TEST(parts.answered(service, soundPrompt, at(460ms), at(560ms)) == 2u);
    BOOST_TEST((verdictOn(parts, 1, 560ms) == part_verdict::Sound));
    BOOST_TEST((verdictOn(parts, 2, 560ms) == part_verdict::Suspect));
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_service_clears_nothing)
{
    crashing_parts parts;
    crashInRow(parts, 3);
    BOOST_TEST(parts.answered(otherService, prompt, at(700ms), at(800ms)) == 0u);
    BOOST_TEST((verdictOnPrompt(parts, 800ms) == part_verdict::Crashing));
}

// Guards against a part in steady use that is refused at few crashes, which other nodes then follow.
BOOST_AUTO_TEST_CASE(a_part_with_answers_takes_longer_to_convict)
{
    crashing_parts parts;
    parts.answered(service, prompt, at(-200ms), at(-100ms));
    crashInRow(parts, 4);
    BOOST_TEST((verdictOnPrompt(parts, 800ms) == part_verdict::Suspect));
    crashInRow(parts, 5);
    BOOST_TEST((verdictOnPrompt(parts, 1000ms) == part_verdict::Crashing));
}

// Guards against a part that is never tried again, and against one that is tried again and again.
BOOST_AUTO_TEST_CASE(a_refused_part_is_tried_at_growing_intervals)
{
    crashing_parts parts;
    crashInRow(parts, 3);
    BOOST_TEST((verdictOnPrompt(parts, 60s) == part_verdict::Crashing));
    BOOST_TEST((verdictOnPrompt(parts, 61s) == part_verdict::OnTrial));
    parts.crashed(service, prompt, 9, at(61s), at(62s));
    BOOST_TEST((verdictOnPrompt(parts, 541s) == part_verdict::Crashing));
    BOOST_TEST((verdictOnPrompt(parts, 543s) == part_verdict::OnTrial));
    parts.answered(service, prompt, at(543s), at(544s));
    BOOST_TEST((verdictOnPrompt(parts, 544s) == part_verdict::Sound));
}

BOOST_AUTO_TEST_CASE(peers_learn_strikes_and_what_cleared_them)
{
    crashing_parts here;
    crashing_parts peer;
    crashInRow(here, 3);
    peer.merge(here.takeNews(20, at(600ms)), at(605ms));
    BOOST_TEST((verdictOnPrompt(peer, 605ms) == part_verdict::Crashing));
    BOOST_TEST(!peer.check(prompt, at(605ms)).isOwn);
    peer.answered(service, prompt, at(700ms), at(800ms));
    here.merge(peer.takeNews(20, at(800ms)), at(805ms));
    BOOST_TEST((verdictOn(here, 2, 805ms) == part_verdict::Sound));
    // A strike that comes again does not count again, and its sender is told.
    (void)peer.takeNews(20, at(810ms));
    (void)peer.takeNews(20, at(820ms));
    BOOST_TEST(peer.takeNews(20, at(830ms)).empty());
    peer.merge(std::vector<part_strike> { { 2, 3, service, 3, 1, false, 10 } }, at(840ms));
    BOOST_TEST((verdictOn(peer, 2, 840ms) == part_verdict::Sound));
    BOOST_TEST(peer.takeNews(20, at(850ms)).size() == 1u);
}

// Guards against a sound part whose answer began between a crash and its news, and does not clear it.
BOOST_AUTO_TEST_CASE(an_answer_clears_a_crash_of_which_the_news_comes_later)
{
    crashing_parts parts;
    parts.answered(service, prompt, at(100ms), at(200ms));
    parts.merge(std::vector<part_strike> { { 2, 3, service, 1, 1, false, 150 } }, at(210ms));
    BOOST_TEST(parts.check(prompt, at(210ms)).level == 0u);
    BOOST_TEST(parts.takeNews(20, at(210ms)).size() == 1u); // the others hear of it
    parts.merge(std::vector<part_strike> { { 2, 4, service, 1, 1, false, 50 } }, at(210ms));
    BOOST_TEST(parts.check(prompt, at(210ms)).level == 1u);
}

// Guards against the innocents of one crash that displace what convicts.
BOOST_AUTO_TEST_CASE(news_begins_with_the_highest_level)
{
    crashing_parts parts;
    crashInRow(parts, 3);
    for (std::uint64_t part = 100; part < 200; ++part)
        parts.crashed(service, std::vector<prompt_part> { { part, 1 } }, 50, at(600ms), at(700ms));
    const auto news = parts.takeNews(4, at(700ms));
    BOOST_REQUIRE(news.size() == 4u);
    BOOST_TEST(unsigned(news.front().level) == 3u);
    BOOST_TEST(unsigned(news.back().level) == 2u);
}

BOOST_AUTO_TEST_CASE(a_day_without_a_crash_has_no_news)
{
    crashing_parts parts;
    parts.answered(service, prompt, at(0ms), at(100ms));
    parts.expire(at(5s));
    BOOST_TEST(parts.takeNews(20, at(5s)).empty());
    BOOST_TEST(!parts.missingRecord(at(5s)).has_value());
    BOOST_TEST(parts.size() == 0u);
}

// Guards against made-up parts that displace convictions, and against unbounded memory.
BOOST_AUTO_TEST_CASE(the_least_convicting_strikes_are_dropped_first)
{
    crashing_parts parts({ .maxStrikes = 100 });
    crashInRow(parts, 3);
    for (std::uint64_t part = 1000; part < 3000; ++part)
        parts.crashed(service, std::vector<prompt_part> { { part, 1 } }, 50, at(600ms), at(700ms));
    BOOST_TEST(parts.size() == 100u);
    BOOST_TEST((verdictOnPrompt(parts, 700ms) == part_verdict::Crashing));
}

BOOST_AUTO_TEST_CASE(a_record_keeps_convictions_over_a_restart)
{
    crashing_parts before;
    crashInRow(before, 3);
    const auto record = before.missingRecord(at(600ms));
    BOOST_REQUIRE(record.has_value());
    before.applyRecord(record, 5, at(610ms));
    BOOST_TEST(!before.missingRecord(at(620ms)).has_value());
    crashing_parts after;
    after.applyRecord(record, 5, at(1s));
    BOOST_TEST((verdictOnPrompt(after, 1s) == part_verdict::Crashing));
    BOOST_TEST(!after.missingRecord(at(1s)).has_value());
    // Nodes that know other levels do not write in turn.
    crashInRow(before, 5);
    BOOST_TEST(!before.missingRecord(at(1s)).has_value());
    // An answer on trial clears the part, also in the record.
    after.answered(service, prompt, at(62s), at(63s));
    BOOST_TEST(after.missingRecord(at(63s)).value_or("missing").empty());
    after.applyRecord(record, 5, at(64s));
    BOOST_TEST((verdictOn(after, 2, 64s) == part_verdict::Sound));
}

BOOST_AUTO_TEST_CASE(unreadable_lines_of_a_record_are_skipped)
{
    crashing_parts parts;
    parts.applyRecord("zz 0 3\n2 0 x\n\n2\n3 3 3 3\nff 0 4\n", 1, at(0ms));
    BOOST_TEST(parts.refused(at(0ms)) == 1u);
    BOOST_TEST((verdictOn(parts, 0xff, 0ms) == part_verdict::Crashing));
}

BOOST_AUTO_TEST_CASE(one_request_at_a_time_goes_on_with_a_suspect_part)
{
    decisions::suspect_gate gate;
    BOOST_TEST(gate.tryEnter(2, 1, at(0ms)));
    BOOST_TEST(gate.tryEnter(2, 1, at(10ms)));
    BOOST_TEST(!gate.tryEnter(2, 5, at(20ms)));
    BOOST_TEST(gate.tryEnter(3, 5, at(20ms)));
    gate.leave(1);
    BOOST_TEST(gate.tryEnter(2, 6, at(30ms)));
    BOOST_TEST(gate.tryEnter(2, 7, at(30ms) + decisions::suspect_gate::turn));
    gate.leave(6);
    BOOST_TEST(!gate.tryEnter(2, 8, at(40ms) + decisions::suspect_gate::turn));
}

BOOST_AUTO_TEST_SUITE_END()

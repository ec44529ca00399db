#include "decisions/recentanswers.h"
#include "decisions/undecidedlosses.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using decisions::crashKey;
using decisions::server_process;

namespace {

using losses = decisions::undecided_losses<int>;

const server_process first { utils::server_id("a"), 1 };
const server_process successor { utils::server_id("a"), 2 };
const server_process other { utils::server_id("b"), 1 };

decisions::crash_key keyOf(const server_process& process)
{
    return crashKey(process.id.str(), process.startedAtMs);
}

utils::time_point at(std::chrono::milliseconds time)
{
    return utils::time_point(1000s + time);
}

} // namespace

BOOST_AUTO_TEST_SUITE(undecided_losses)

// Guards against losses that are forgotten because the node doubts its own path when they happen.
BOOST_AUTO_TEST_CASE(losses_at_a_process_that_ended_come_back_in_their_order)
{
    losses undecided;
    undecided.add(first, 1, at(0ms));
    undecided.add(other, 2, at(10ms));
    undecided.add(first, 3, at(20ms));
    BOOST_TEST(undecided.takeEnded(keyOf(successor)).empty());
    BOOST_TEST(
        undecided.takeEnded(keyOf(first)) == (std::vector<int> { 1, 3 }), boost::test_tools::per_element());
    BOOST_TEST(undecided.takeEnded(keyOf(first)).empty());
    BOOST_REQUIRE(undecided.servers().size() == 1u);
    BOOST_TEST(undecided.servers().front().id.str() == "b");
}

// Guards against a node whose path was cut that takes servers which live for crashed ones.
BOOST_AUTO_TEST_CASE(a_server_that_is_heard_did_not_end)
{
    losses undecided;
    undecided.add(first, 1, at(0ms));
    undecided.add(other, 2, at(0ms));
    undecided.serverLives(first.id);
    BOOST_TEST(undecided.takeEnded(keyOf(first)).empty());
    BOOST_TEST(undecided.takeEnded(keyOf(other)).size() == 1u);
}

// Guards against a server that ends long after a lost attempt and makes a crash of it.
BOOST_AUTO_TEST_CASE(losses_that_nothing_decides_are_dropped)
{
    losses undecided;
    undecided.add(first, 1, at(0ms));
    undecided.expire(at(0ms) + losses::lifetime);
    BOOST_TEST(undecided.size() == 1u);
    undecided.expire(at(1ms) + losses::lifetime);
    BOOST_TEST(undecided.isEmpty());
}

// Guards against a node whose path stays cut under load and that fills its memory with losses.
BOOST_AUTO_TEST_CASE(the_oldest_losses_make_room)
{
    losses undecided;
    for (std::size_t i = 0; i <= losses::maxLosses; ++i)
        undecided.add(first, static_cast<int>(i), at(0ms));
    BOOST_TEST(undecided.size() == losses::maxLosses);
    BOOST_TEST(undecided.takeEnded(keyOf(first)).front() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(recent_answers)

// Guards against a request in steady use that is forgotten among those that are seen once.
BOOST_AUTO_TEST_CASE(keys_in_use_are_not_displaced)
{
    constexpr std::size_t capacity = 100;
    constexpr std::uint64_t hot = 1;
    decisions::recent_answers answers(60s, capacity);
    for (std::uint64_t i = 0; i < 50 * capacity; ++i) {
        const utils::time_point present = at(std::chrono::milliseconds(i));
        if (i % capacity == 0)
            answers.record(hot, present, present);
        answers.record(1000 + i, present, present);
        BOOST_REQUIRE(answers.isRecent(hot, present));
        BOOST_REQUIRE(answers.size() <= 2 * capacity);
    }
    BOOST_TEST(!answers.find(1000).has_value());
}

// Guards against answers that count for ever.
BOOST_AUTO_TEST_CASE(answers_lapse)
{
    decisions::recent_answers answers(60s, 100);
    answers.record(1, at(0ms), at(0ms));
    BOOST_TEST(answers.isRecent(1, at(60s)));
    BOOST_TEST(!answers.isRecent(1, at(61s)));
    answers.expire(at(61s));
    answers.expire(at(123s));
    BOOST_TEST(answers.size() == 0u);
}

// Guards against an answer that begins earlier than one already known and takes its place.
BOOST_AUTO_TEST_CASE(the_latest_answer_stays)
{
    decisions::recent_answers answers(60s, 100);
    answers.record(1, at(500ms), at(500ms));
    answers.record(1, at(100ms), at(600ms));
    BOOST_TEST((*answers.find(1) == at(500ms)));
    answers.expire(at(61s));
    answers.record(1, at(100ms), at(61s));
    BOOST_TEST((*answers.find(1) == at(500ms)));
}

BOOST_AUTO_TEST_SUITE_END()

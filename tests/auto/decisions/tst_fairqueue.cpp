#include "decisions/fairqueue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using decisions::fair_queue;
using decisions::fair_queue_limits;
using decisions::priority_class;
using decisions::queue_entry;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + std::chrono::hours(1) + since;
}

queue_entry makeEntry(decisions::entry_id id, const std::string& team, priority_class priority,
    utils::duration work, utils::time_point deadline = utils::time_point::max())
{
    queue_entry entry;
    entry.id = id;
    entry.team = utils::team_id(team);
    entry.priority = priority;
    entry.expectedWork = work;
    entry.deadline = deadline;
    entry.hash = id * 7919;
    return entry;
}

/// Runs the queue with one slot and returns how often each team was served in the first `count` runs.
std::map<std::string, int> servedByTeam(fair_queue& queue, int count)
{
    std::map<std::string, int> served;
    for (int i = 0; i < count; ++i) {
        const auto entry = queue.takeNext(at(0s));
        if (!entry)
            break;
        ++served[entry->team.str()];
        queue.finished(entry->id, at(0s) + entry->expectedWork);
    }
    return served;
}

fair_queue_limits oneSlot()
{
    fair_queue_limits limits;
    limits.slots = 1;
    limits.admission.maxWait.fill(24h);
    return limits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fairqueue)

// A heavy team sends 50 requests at once, then a light team sends 5. The light team's callers must not wait
// for the 50: both teams are owed the same share of the slot, so five of the first ten runs are the light
// team's. In order of arrival, the light team would come last.
BOOST_AUTO_TEST_CASE(heavy_team_does_not_delay_light_team)
{
    fair_queue queue(oneSlot());
    for (decisions::entry_id id = 1; id <= 50; ++id)
        BOOST_TEST(!queue.push(makeEntry(id, "heavy", priority_class::Chat, 1s), at(0s)).has_value());
    for (decisions::entry_id id = 51; id <= 55; ++id)
        BOOST_TEST(!queue.push(makeEntry(id, "light", priority_class::Chat, 1s), at(0s)).has_value());
    auto served = servedByTeam(queue, 10);
    BOOST_TEST(served.at("light") == 5);
}

// Two teams with a backlog, one of weight 3: it gets three runs for each run of the other team.
BOOST_AUTO_TEST_CASE(weights_divide_the_slots)
{
    fair_queue queue(oneSlot());
    for (decisions::entry_id id = 1; id <= 80; ++id) {
        queue_entry entry = makeEntry(id, id % 2 == 0 ? "three" : "one", priority_class::Chat, 1s);
        entry.weight = id % 2 == 0 ? 3 : 1;
        queue.push(entry, at(0s));
    }
    const auto served = servedByTeam(queue, 40);
    BOOST_TEST(served.at("three") == 30);
    BOOST_TEST(served.at("one") == 10);
}

// Drafts of one minute fill the queue, then a caller requests the state of an order. A slot that drafts may
// not occupy is free for it at once; without the ceiling, it would wait for the end of a draft.
BOOST_AUTO_TEST_CASE(status_check_starts_at_once_behind_long_drafts)
{
    fair_queue_limits limits;
    limits.slots = 4;
    fair_queue queue(limits);
    for (decisions::entry_id id = 1; id <= 20; ++id)
        queue.push(makeEntry(id, "writers", priority_class::Draft, 60s), at(0s));
    while (queue.takeNext(at(0s))) { }
    BOOST_TEST(queue.running() < limits.slots);

    const auto check = makeEntry(100, "dancers", priority_class::Interactive, 50ms, at(2s));
    BOOST_TEST(!queue.push(check, at(1s)).has_value());
    const auto next = queue.takeNext(at(1s));
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->id == 100);
}

// Lookups arrive continuously and would take every run. Drafts wait, but get their share of 300 seconds of
// work, so that none waits forever.
BOOST_AUTO_TEST_CASE(drafts_make_progress_under_continuous_lookups)
{
    fair_queue queue(oneSlot());
    queue.push(makeEntry(1, "writers", priority_class::Draft, 5s), at(0s));
    queue.push(makeEntry(2, "writers", priority_class::Draft, 5s), at(0s));
    int drafts = 0;
    for (decisions::entry_id id = 10; id < 310; ++id) {
        queue.push(makeEntry(id, "dancers", priority_class::Interactive, 1s), at(0s));
        const auto entry = queue.takeNext(at(0s));
        BOOST_REQUIRE(entry.has_value());
        drafts += entry->priority == priority_class::Draft ? 1 : 0;
        queue.finished(entry->id, at(0s) + entry->expectedWork);
    }
    BOOST_TEST(drafts == 2);
}

// The queue is full with one team's backlog when another team's first request arrives. The newest entry of
// the heavy team is evicted and refused at once with Retry-After; the light team's request is admitted.
BOOST_AUTO_TEST_CASE(full_queue_evicts_from_the_heaviest_team)
{
    fair_queue_limits limits = oneSlot();
    limits.maxEntries = 20;
    fair_queue queue(limits);
    for (decisions::entry_id id = 1; id <= 20; ++id)
        queue.push(makeEntry(id, "heavy", priority_class::Chat, 1s), at(0s));
    BOOST_TEST(!queue.push(makeEntry(21, "light", priority_class::Chat, 1s), at(0s)).has_value());
    const auto refused = queue.expire(at(0s));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused.front().entry.id == 20);
    BOOST_TEST((refused.front().reason.kind == utils::error_kind::QueueFull));
    BOOST_TEST((refused.front().reason.retryAfter >= 1s));

    const auto own = queue.push(makeEntry(22, "heavy", priority_class::Chat, 1s), at(0s));
    BOOST_REQUIRE(own.has_value());
    BOOST_TEST((own->kind == utils::error_kind::QueueFull));
    BOOST_TEST(queue.size() == 20U);
}

// The only slot is busy for ten seconds, and a request arrives that may wait five. It is refused at once
// with Retry-After, not after five seconds in the queue.
BOOST_AUTO_TEST_CASE(request_that_would_wait_too_long_is_refused_at_once)
{
    fair_queue_limits limits = oneSlot();
    limits.admission.maxWait.fill(5s);
    fair_queue queue(limits);
    queue.push(makeEntry(1, "a", priority_class::Chat, 10s), at(0s));
    BOOST_REQUIRE(queue.takeNext(at(0s)).has_value());
    const auto refused = queue.push(makeEntry(2, "b", priority_class::Chat, 1s), at(0s));
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->kind == utils::error_kind::DeadlineUnreachable));
    BOOST_TEST((refused->retryAfter >= 5s));
    BOOST_TEST(!queue.push(makeEntry(3, "b", priority_class::Chat, 1s), at(6s)).has_value());
}

// The server stops in the middle of a run, so that no run finishes. A queued request whose deadline can no
// longer be met is refused at that moment, and is never returned for dispatch.
BOOST_AUTO_TEST_CASE(entry_that_cannot_meet_its_deadline_is_refused)
{
    fair_queue queue(oneSlot());
    queue.push(makeEntry(1, "a", priority_class::Chat, 2s), at(0s));
    BOOST_REQUIRE(queue.takeNext(at(0s)).has_value());
    BOOST_TEST(!queue.push(makeEntry(2, "b", priority_class::Chat, 1s, at(8s)), at(0s)).has_value());
    BOOST_TEST(queue.expire(at(7s)).empty());
    BOOST_TEST((queue.nextExpiry() == at(7s) + 1us));
    const auto refused = queue.expire(queue.nextExpiry());
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused.front().reason.kind == utils::error_kind::DeadlineUnreachable));
    queue.finished(1, at(9s));
    BOOST_TEST(!queue.takeNext(at(9s)).has_value());
}

// A team's approval is withdrawn while its requests wait: they are removed from the queue and none runs.
BOOST_AUTO_TEST_CASE(revoked_team_leaves_the_queue)
{
    fair_queue queue(oneSlot());
    queue.push(makeEntry(1, "revoked", priority_class::Chat, 1s), at(0s));
    queue.push(makeEntry(2, "kept", priority_class::Chat, 1s), at(0s));
    const auto out
        = queue.removeIf([](const queue_entry& entry) { return entry.team == utils::team_id("revoked"); });
    BOOST_TEST(out.size() == 1U);
    const auto next = queue.takeNext(at(0s));
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->id == 2);
    BOOST_TEST(!queue.remove(2));
}

// The server's load bound turns out to be reached after the entry was taken. The entry keeps its place,
// before later arrivals, and is refused at its old latest start time, not at a new one.
BOOST_AUTO_TEST_CASE(entry_put_back_keeps_place_and_limit)
{
    fair_queue queue(oneSlot());
    queue.push(makeEntry(1, "a", priority_class::Chat, 1s, at(9s)), at(0s));
    queue.push(makeEntry(2, "a", priority_class::Chat, 1s), at(0s));
    BOOST_REQUIRE(queue.takeNext(at(0s)).has_value());
    queue.putBack(1);
    BOOST_TEST(queue.running() == 0U);
    BOOST_TEST((queue.nextExpiry() == at(8s) + 1us));
    const auto again = queue.takeNext(at(1s));
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->id == 1);
}

// A server becomes ten times slower. The running requests show this before any of them has finished, and
// requests that would wait too long are refused at once.
BOOST_AUTO_TEST_CASE(slow_server_is_detected_from_running_requests)
{
    fair_queue_limits limits = oneSlot();
    limits.admission.maxWait.fill(5s);
    fair_queue queue(limits);
    queue.push(makeEntry(1, "a", priority_class::Chat, 1s), at(0s));
    BOOST_REQUIRE(queue.takeNext(at(0s)).has_value());
    BOOST_TEST(!queue.push(makeEntry(2, "b", priority_class::Chat, 1s), at(500ms)).has_value());
    const auto refused = queue.push(makeEntry(3, "c", priority_class::Chat, 1s), at(8s));
    BOOST_TEST(refused.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/view/storewatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>

using namespace std::chrono_literals;
using gateway::store_changes;
using gateway::store_range;
using gateway::store_status;

namespace {

/// Answers calls from a list, and stops the watcher after the last one.
struct scripted_store {
    std::deque<store_changes> answers;
    std::vector<std::string> calls; ///< "range", or "watch" and the revision
    std::function<void()> onEmpty;

    boost::asio::awaitable<store_range> range(std::string)
    {
        calls.emplace_back("range");
        store_range range;
        range.status = store_status::Done;
        range.asOf = 10;
        co_return range;
    }
    static boost::asio::awaitable<gateway::store_read> item(std::string, gateway::read_freshness)
    {
        co_return gateway::store_read {};
    }
    boost::asio::awaitable<store_changes> watch(std::string, std::uint64_t after, utils::duration)
    {
        calls.push_back("watch " + std::to_string(after));
        store_changes answer;
        if (!answers.empty()) {
            answer = answers.front();
            answers.pop_front();
        }
        if (answers.empty())
            onEmpty();
        co_return answer;
    }
    static bool isReceiving(utils::time_point) { return false; }
    void close() { }
};
static_assert(gateway::watched_store<scripted_store>);

store_changes changesUpTo(std::uint64_t asOf)
{
    store_changes changes;
    changes.status = store_status::Done;
    changes.asOf = asOf;
    changes.changes.push_back({ { "servers/a", "x", asOf }, false });
    return changes;
}

store_changes failing(store_status status)
{
    store_changes changes;
    changes.status = status;
    return changes;
}

/// A watcher on a scripted store, with pauses of one millisecond.
struct watcher_fixture {
    boost::asio::io_context io;
    scripted_store store;
    bool mayCall = true;
    unsigned failures = 0;
    std::unique_ptr<gateway::store_watcher<scripted_store>> watcher;

    watcher_fixture()
    {
        gateway::watch_timing timing;
        timing.batchDelay = 1ms;
        timing.idleCheckInterval = 1h;
        gateway::watch_events events;
        events.onRange = [](const store_range&) {};
        events.onChanges = [](const store_changes&) {};
        events.onCallEnd = [](gateway::store_call, store_status, utils::time_point) {};
        events.mayCall = [this] { return mayCall; };
        events.backoffAfterFailure = [this] {
            ++failures;
            return utils::duration(1ms);
        };
        watcher = std::make_unique<gateway::store_watcher<scripted_store>>(
            io.get_executor(), store, "", timing, events);
        store.onEmpty = [this] { watcher->stop(); };
    }
    void run()
    {
        boost::asio::co_spawn(io, watcher->run(), boost::asio::detached);
        io.run();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(watcher_of_the_store)

BOOST_FIXTURE_TEST_CASE(it_reads_once_and_watches_from_each_answer, watcher_fixture)
{
    store.answers = { changesUpTo(12), failing(store_status::Refused), changesUpTo(15), changesUpTo(16) };
    run();
    BOOST_TEST(
        store.calls == (std::vector<std::string> { "range", "watch 10", "watch 12", "watch 12", "watch 15" }),
        boost::test_tools::per_element());
    BOOST_TEST(failures == 1u);
}

BOOST_FIXTURE_TEST_CASE(a_lost_history_causes_a_full_read, watcher_fixture)
{
    store.answers = { failing(store_status::HistoryGone), changesUpTo(12) };
    run();
    BOOST_TEST(store.calls == (std::vector<std::string> { "range", "watch 10", "range", "watch 10" }),
        boost::test_tools::per_element());
    BOOST_TEST(failures == 0u);
}

// A node that relies on its peers reads everything once and makes no further calls. When a heartbeat reports
// a new configuration it makes one call, from the last revision that its peers have delivered.
BOOST_FIXTURE_TEST_CASE(an_idle_watcher_calls_only_on_request, watcher_fixture)
{
    mayCall = false;
    store.answers = { changesUpTo(31), changesUpTo(32) };
    boost::asio::co_spawn(io, watcher->run(), boost::asio::detached);
    io.poll();
    watcher->wake();
    io.poll();
    BOOST_TEST(store.calls.size() == 1u);
    watcher->advance(30);
    watcher->callNow();
    io.run_for(20ms);
    BOOST_TEST(
        store.calls == (std::vector<std::string> { "range", "watch 30" }), boost::test_tools::per_element());
    mayCall = true;
    watcher->wake();
    io.run();
    BOOST_TEST(store.calls.back() == "watch 31");
}

BOOST_AUTO_TEST_SUITE_END()

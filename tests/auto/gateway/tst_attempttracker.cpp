#include "gateway/requests/attempttracker.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace {

const std::string service = "engines";
const utils::server_id engine("engine-1");

/// A request whose server had no free slot when it was sent.
struct queued_request {
    boost::asio::io_context io;
    gateway::node_context context { io.get_executor(), gateway::node_options() };
    utils::time_point now = context.startedAt + 11s;
    catalogue::route route;
    gateway::request_plan plan;
    gateway::attempt_tracker tracker { context, plan, 1 };

    queued_request()
    {
        route.kind = catalogue::request_kind::Stream;
        route.targetLatency = 1s;
        plan.service = service;
        plan.route = &route;
        plan.isEngine = true;
        context.responseTimes[service] = decisions::response_times(1s);
        catalogue::backend_server server;
        server.id = engine;
        server.service = service;
        server.slots = 8;
        server.startedAtMs = 1;
        context.servers.put(engine, server, now);
        for (unsigned i = 0; i < 10; ++i)
            context.loads.started(engine, 0);
        decisions::placement placement;
        placement.server = engine;
        placement.load = context.loads.total(engine, now);
        tracker.begin(server, 100, placement, now);
    }
    /// The server goes on with the requests that run there.
    void hearServer() { context.silence.dataReceived(engine, now); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_trackers)

// Guards against attempts that count as silent, and take the retries of others, while they wait in a queue
// that has become longer since they were sent.
BOOST_FIXTURE_TEST_CASE(waiting_in_a_queue_is_no_silence, queued_request)
{
    const utils::time_point sentAt = now;
    for (unsigned i = 0; i < 30; ++i)
        context.loads.started(engine, 0);
    now += 1800ms;
    hearServer();
    BOOST_TEST((tracker.timeoutAt(1500ms, now) > now));
    // The wait that the queue explains has an end.
    BOOST_TEST((tracker.timeoutAt(1500ms, now) < sentAt + 20s));
}

// Guards against attempts that are kept at a server that says nothing at all any more.
BOOST_FIXTURE_TEST_CASE(a_silent_server_ends_the_wait_in_its_queue, queued_request)
{
    hearServer();
    for (unsigned i = 0; i < 30; ++i)
        context.loads.started(engine, 0);
    const utils::time_point heardAt = now;
    now += 3s;
    BOOST_TEST((tracker.timeoutAt(1500ms, now) < heardAt + 3s));
}

// Guards against queues that excuse a server with free slots.
BOOST_FIXTURE_TEST_CASE(without_a_queue_the_usual_time_counts, queued_request)
{
    for (unsigned i = 0; i < 10; ++i)
        context.loads.finished(engine);
    now += 1800ms;
    hearServer();
    BOOST_TEST((tracker.timeoutAt(1500ms, now) <= now));
}

BOOST_AUTO_TEST_SUITE_END()

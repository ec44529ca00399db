#include "gateway/requests/replacementsearch.h"

#include "gateway/peers/crashdirectory.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using gateway::crash_admission;

namespace {

const std::string service = "engines";

/// One request whose attempt receives no data, on a node that has seen prompts like it crash two servers.
struct stalled_request {
    boost::asio::io_context io;
    gateway::node_context context { io.get_executor(), gateway::node_options() };
    gateway::peer_table peers { "vm-1", "10.0.0.1:7340", 1 };
    gateway::peer_forwarder forwarder { context, peers };
    gateway::crash_directory crashes { context, peers };
    utils::time_point now = context.startedAt + 11s;
    catalogue::route route;
    gateway::client_request request;
    gateway::request_plan plan;
    gateway::attempt_record record { true, 2 };
    gateway::flow_result result;
    std::set<utils::server_id> triedServers;
    std::set<std::string> triedPeers;

    stalled_request()
    {
        plan.service = service;
        plan.route = &route;
        plan.parts = { { 11, 1500 }, { 12, 500 } };
        plan.suspects = decisions::suspectsOf(plan.sharedParts(), decisions::digestOf("request"));
        for (unsigned i = 1; i <= 2; ++i) {
            const utils::time_point at = now + std::chrono::milliseconds(i);
            context.crashingParts.crashed(
                decisions::serviceKey(service), plan.suspects, decisions::crashKey("engine", i), at, at);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(search_for_replacements)

// Guards against a stalled attempt that takes the one place in which a suspect prompt is tried, and does not
// use it.
BOOST_FIXTURE_TEST_CASE(a_stalled_attempt_leaves_suspect_prompts_to_others, stalled_request)
{
    const gateway::attempt_tracker tracker(context, plan, 1);
    gateway::replacement_search search(gateway::replacement_search::dependencies {
        context, forwarder, request, plan, record, tracker, result, triedServers, triedPeers, 1 });
    (void)search.nextCheck(now + 10ms, now + 10ms);
    BOOST_TEST((crashes.admit(plan, 2, now + 20ms).admission == crash_admission::SendAlone));
}

BOOST_AUTO_TEST_SUITE_END()

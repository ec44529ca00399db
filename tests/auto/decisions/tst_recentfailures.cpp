#include "decisions/recentfailures.h"
#include "decisions/serverchoice.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <random>

using namespace std::chrono_literals;
using decisions::recent_failures;
using decisions::server_candidate;
using decisions::server_choice;
using decisions::server_loads;
using utils::server_id;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

/// Failures that the nodes of a fleet take into account.
enum class failure_sharing {
    None,
    Own, ///< each node counts only its own
    Shared ///< nodes exchange their failures four times a second
};

struct fleet_load {
    std::array<double, 3> failing { 0, 0, 0 }; ///< fraction of payments that each server loses
    int requests = 2000; ///< one every 50 ms, i.e. 20 per second over seven nodes
};

struct load_result {
    int failed = 0;
    std::map<std::string, int> sent;
};

load_result runPayments(const fleet_load& load, failure_sharing sharing)
{
    constexpr std::size_t nodes = 7;
    std::array<recent_failures, nodes> failures;
    const server_loads idle;
    const server_choice choice;
    std::mt19937 random(20261203);
    std::uniform_real_distribution<double> chance(0, 1);
    load_result result;
    for (int i = 0; i < load.requests; ++i) {
        const utils::time_point now = at(50ms * i);
        recent_failures& own = failures.at(random() % nodes);
        std::vector<server_candidate> candidates;
        for (int server = 0; server < 3; ++server) {
            const server_id id("press-" + std::to_string(server));
            const double known = sharing == failure_sharing::None ? 0 : own.countAt(id, now);
            candidates.push_back({ id, "a", 6, 1, 0, 1, known });
        }
        const auto placed = choice.choose(candidates, { {}, 0, "a", random() }, idle, now);
        const auto index = static_cast<std::size_t>(placed->server.str().back() - '0');
        const bool isFailure = chance(random) < load.failing.at(index);
        own.recordOutcome("pay", placed->server, isFailure, now);
        result.failed += isFailure ? 1 : 0;
        ++result.sent[placed->server.str()];
        if (sharing != failure_sharing::Shared || i % 5 != 0)
            continue;
        for (recent_failures& sender : failures) {
            for (const auto& note : sender.takeUpdates()) {
                for (recent_failures& other : failures) {
                    if (&other != &sender)
                        other.applyUpdate(note, now);
                }
            }
        }
    }
    return result;
}

/// How a load was distributed over the engines.
struct engine_result {
    double overLimit = 0; ///< fraction of requests sent to an engine above twice the mean plus three
    double atFailing = 0; ///< fraction of requests sent to engines with recent failures
};

double meanOf(std::size_t running, std::size_t engines)
{
    return static_cast<double>(running) / static_cast<double>(engines);
}

/// Places a hundred prompts a second of 0.6 s each, about thirty documents, over seven nodes that exchange
/// their loads four times a second. Eight of twelve engines have `failures` recent failures and the weight
/// `weight` after an ejection.
engine_result runPrompts(double failures, double weight)
{
    constexpr std::size_t nodes = 7;
    constexpr std::size_t engines = 12;
    constexpr int requests = 2000;
    constexpr auto gap = 10ms;
    std::array<server_loads, nodes> loads;
    std::array<server_choice, nodes> choices;
    std::vector<server_candidate> candidates;
    for (std::size_t i = 0; i < engines; ++i)
        candidates.push_back({ server_id("engine-" + std::to_string(i)), "a", 128, i < 8 ? weight : 1, 700000,
            1, i < 8 ? failures : 0 });
    std::map<server_id, int> running;
    std::vector<std::pair<std::size_t, server_id>> inFlight;
    std::mt19937 random(20261203);
    engine_result result;
    for (int i = 0; i < requests; ++i) {
        const utils::time_point now = at(i * gap);
        const std::size_t node = random() % nodes;
        const std::uint64_t document = random() % 30;
        const std::vector<decisions::prompt_part> parts { { document, 6000 }, { 1000U + i, 500 } };
        const auto placed
            = choices.at(node).choose(candidates, { parts, 6500, "a", random() }, loads.at(node), now);
        const auto chosen = std::ranges::find(candidates, placed->server, &server_candidate::id);
        result.overLimit += running[chosen->id] + 1 > 2 * meanOf(inFlight.size(), engines) + 3 ? 1 : 0;
        result.atFailing += chosen - candidates.begin() < 8 ? 1 : 0;
        choices.at(node).recordSent(*chosen, parts);
        for (const auto& note : choices.at(node).takeUpdates()) {
            for (std::size_t other = 0; other < nodes; ++other) {
                if (other != node)
                    choices.at(other).applyUpdate(note, chosen->cacheTokens);
            }
        }
        loads.at(node).started(chosen->id, 0);
        ++running[chosen->id];
        inFlight.emplace_back(node, chosen->id);
        if (inFlight.size() > 60) {
            const auto [from, server] = inFlight.front();
            loads.at(from).finished(server);
            --running[server];
            inFlight.erase(inFlight.begin());
        }
        const auto sender = static_cast<std::size_t>(i % 25);
        if (sender >= nodes)
            continue;
        for (std::size_t other = 0; other < nodes; ++other) {
            if (other != sender)
                loads.at(other).updatePeer(
                    utils::node_id("n" + std::to_string(sender)), loads.at(sender).ownShares(), now);
        }
    }
    result.overLimit /= requests;
    result.atFailing /= requests;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(recently_failed)

// Eight of twelve engines lose answers, then the fault ends, and for some seconds all nodes still prefer the
// four others. Each node sees the loads of its peers a quarter of a second late, so together they overload
// these four: requests queue there while eight engines are idle.
BOOST_AUTO_TEST_CASE(engines_without_failures_are_not_overloaded)
{
    const engine_result healthy = runPrompts(0, 1);
    const engine_result degraded = runPrompts(8, 0.3);
    BOOST_TEST_MESSAGE("above twice the mean: no failures "
        << healthy.overLimit << ", recent failures " << degraded.overLimit << "; at failing engines "
        << healthy.atFailing << ", " << degraded.atFailing);
    // Half of what the users accept without failures.
    BOOST_TEST(degraded.overLimit <= 0.015);
    BOOST_TEST(degraded.atFailing < healthy.atFailing);
}

// Two of three replicas lose the answers of every tenth payment, whose outcome must be reported to the caller
// as unknown. Their health checks pass and five requests in a row never fail. The third replica has room for
// all payments. A node that knows only its own failures sees one in five seconds; nodes that exchange theirs
// use the replica without failures.
BOOST_AUTO_TEST_CASE(payments_go_to_the_replica_without_failures)
{
    const fleet_load load { { 0.1, 0.1, 0 }, 2000 };
    const load_result unaware = runPayments(load, failure_sharing::None);
    const load_result own = runPayments(load, failure_sharing::Own);
    const load_result shared = runPayments(load, failure_sharing::Shared);
    BOOST_TEST_MESSAGE("payments lost of " << load.requests << ": " << unaware.failed
                                           << ", with own failures " << own.failed
                                           << ", with shared failures " << shared.failed);
    BOOST_TEST(shared.failed < own.failed);
    BOOST_TEST(own.failed < unaware.failed);
    BOOST_TEST(shared.failed * 3 < unaware.failed);
}

// All replicas fail alike: none is preferred for long, and each gets its share of the requests.
BOOST_AUTO_TEST_CASE(failures_on_all_replicas_shift_no_requests)
{
    const load_result shared = runPayments({ { 0.15, 0.15, 0.15 }, 2000 }, failure_sharing::Shared);
    for (const auto& [server, count] : shared.sent)
        BOOST_TEST(count > 2000 / 5, server);
}

// Every seventh request of a route fails on any server, and its replicas are equal.
BOOST_AUTO_TEST_CASE(the_baseline_failure_rate_of_a_route_is_learned)
{
    recent_failures failures;
    const server_id server("press-0");
    for (int i = 0; i < 700; ++i)
        failures.recordOutcome("look", server, i % 7 == 0, at(100ms * i));
    // Without the baseline, a seventh of the requests of some four seconds would count as 4 failures.
    BOOST_TEST(failures.countAt(server, at(70s)) < 2);
    for (int i = 0; i < 10; ++i)
        failures.recordOutcome("look", server, true, at(70s));
    BOOST_TEST(failures.countAt(server, at(70s)) > 6);
}

BOOST_AUTO_TEST_CASE(failures_are_sent_once_and_expire)
{
    recent_failures failures;
    recent_failures peer;
    const server_id server("press-0");
    failures.recordOutcome("pay", server, true, at(0s));
    const auto notes = failures.takeUpdates();
    BOOST_REQUIRE(notes.size() == 1u);
    BOOST_TEST(failures.takeUpdates().empty());
    peer.applyUpdate(notes.front(), at(0s));
    BOOST_TEST(peer.countAt(server, at(0s)) == 1.0);
    BOOST_TEST(peer.countAt(server, at(2s)) == 0.5);
    BOOST_TEST(peer.takeUpdates().empty());
    peer.applyUpdate({ server, std::numeric_limits<float>::quiet_NaN() }, at(2s));
    BOOST_TEST(peer.countAt(server, at(2s)) == 0.5);
    peer.expire(at(16s));
    BOOST_TEST(peer.countAt(server, at(16s)) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

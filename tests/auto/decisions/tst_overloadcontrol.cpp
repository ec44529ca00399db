#include "decisions/overloadcontrol.h"

#include "utils/hashing.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace std::chrono_literals;
using decisions::admission_bound;
using decisions::overload_control;
using decisions::service_room;

namespace {

constexpr double slots = 72;
constexpr double patience = 2;
constexpr double fullLoad = 1 + overload_control::mixedQueueShare * patience;

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

/// What one workspace offers of one urgency.
struct offer {
    std::uint64_t workspace = 1;
    int urgency = 0;
    double work = 0.3; ///< slot seconds of a request
    double perSecond = 10;
};

/// Offers these for five seconds, with full servers, and returns the time after that.
utils::time_point offerAll(overload_control& control, const std::vector<offer>& offers)
{
    constexpr auto step = 10ms;
    std::vector<double> due(offers.size());
    utils::duration since {};
    for (; since < 5s; since += step) {
        for (std::size_t i = 0; i < offers.size(); ++i) {
            for (due[i] += offers[i].perSecond * utils::toSeconds(step); due[i] >= 1; --due[i])
                control.record({ offers[i].workspace, offers[i].urgency, offers[i].work, 0 }, at(since));
        }
        if (control.isDue(at(since)))
            control.update({ slots, fullLoad * slots, 0, patience }, at(since));
    }
    control.update({ slots, fullLoad * slots, 0, patience }, at(since));
    return at(since);
}

double shareOf(const overload_control& control, const offer& one)
{
    return control.shareOf({ one.workspace, one.urgency, one.work, 0 }).share;
}

} // namespace

BOOST_AUTO_TEST_SUITE(overloadcontrol)

// Guards against refusals while there is room, also of a workspace that is alone in using it.
BOOST_AUTO_TEST_CASE(all_are_admitted_while_there_is_room)
{
    overload_control control;
    const std::vector<offer> offers { { 1, 0, 0.3, 200 }, { 2, 1, 0.3, 1 } };
    offerAll(control, offers);
    for (const offer& one : offers) {
        BOOST_TEST(shareOf(control, one) == 1.0);
        BOOST_TEST(
            (control.shareOf({ one.workspace, one.urgency, one.work, 0 }).bound == admission_bound::None));
    }
}

// Guards against less urgent work that takes the room of more urgent work, and against urgencies of which
// nothing is served: a quarter of what all requests get is the least.
BOOST_AUTO_TEST_CASE(urgencies_come_in_their_order_and_keep_a_share)
{
    std::mt19937_64 random(20261204);
    std::uniform_real_distribution<double> load(0.2, 4);
    for (int history = 0; history < 200; ++history) {
        std::vector<offer> offers;
        offers.reserve(3);
        for (int urgency = 0; urgency < 3; ++urgency) {
            const double work = 0.1 + load(random);
            offers.push_back({ 1, urgency, work, load(random) * slots / work / 3 });
        }
        overload_control control;
        offerAll(control, offers);
        double requests = 0;
        double admitted = 0;
        for (const offer& one : offers) {
            requests += one.perSecond;
            admitted += one.perSecond * shareOf(control, one);
        }
        for (std::size_t i = 0; i < offers.size(); ++i) {
            BOOST_TEST(shareOf(control, offers[i]) >= 0.25 * admitted / requests);
            if (i > 0)
                BOOST_TEST(shareOf(control, offers[i]) <= shareOf(control, offers[i - 1]) + 1e-9);
        }
    }
}

// Guards against urgent requests that get no more than the others where those need most of the work.
BOOST_AUTO_TEST_CASE(much_long_work_does_not_level_the_shares)
{
    overload_control control;
    const std::vector<offer> offers { { 1, 0, 0.2, 200 }, { 1, 1, 4.0, 100 } };
    offerAll(control, offers);
    const double urgent = shareOf(control, offers[0]);
    const double longOnes = shareOf(control, offers[1]);
    BOOST_TEST(longOnes >= 0.25 * (200 * urgent + 100 * longOnes) / 300);
    BOOST_TEST(urgent >= 2 * longOnes);
}

// Guards against refusals at the nodes that get all callers, while others say nothing and servers are idle.
BOOST_AUTO_TEST_CASE(nobody_is_refused_while_slots_are_idle)
{
    overload_control control;
    utils::duration since {};
    for (; since < 5s; since += 10ms) {
        control.record({ 1, 0, 0.3, 0 }, at(since));
        control.update({ slots, 0.45 * slots, 6, patience }, at(since));
    }
    BOOST_TEST(control.fill() > 1.0);
    BOOST_TEST(shareOf(control, { 1, 0, 0.3 }) == 1.0);
}

// Guards against a request that is admitted less often because it became more urgent, or needs less work.
BOOST_AUTO_TEST_CASE(more_urgency_and_less_work_never_lower_the_share)
{
    std::mt19937_64 random(20261204);
    std::uniform_real_distribution<double> load(0.3, 2);
    for (int history = 0; history < 100; ++history) {
        std::vector<offer> offers;
        offers.reserve(4);
        for (int urgency = 0; urgency < 4; ++urgency)
            offers.push_back({ 1, urgency, load(random), load(random) * slots / 4 });
        overload_control control;
        offerAll(control, offers);
        for (int urgency = 0; urgency < 4; ++urgency) {
            for (const double work : { 0.2, 0.5, 1.0, 2.0, 5.0 }) {
                const double share = shareOf(control, { 1, urgency, work });
                BOOST_TEST(shareOf(control, { 1, urgency, work / 2 }) >= share);
            }
            for (const double work : { 0.2, 1.0, 5.0 }) {
                if (urgency > 0)
                    BOOST_TEST(
                        shareOf(control, { 1, urgency - 1, work }) >= shareOf(control, { 1, urgency, work }));
            }
        }
    }
}

// Guards against the longest requests of an urgency that are shut out: they are served at least half as often
// as all of that urgency.
BOOST_AUTO_TEST_CASE(the_longest_requests_keep_half_of_the_share)
{
    overload_control control;
    const std::vector<offer> offers { { 1, 0, 0.3, 300 }, { 1, 1, 1.0, 60 }, { 1, 1, 10.0, 6 } };
    offerAll(control, offers);
    const double whole = (60 * shareOf(control, offers[1]) + 6 * shareOf(control, offers[2])) / 66;
    BOOST_TEST(whole < 1.0);
    BOOST_TEST(shareOf(control, offers[2]) >= 0.5 * whole);
}

// Guards against one workspace whose flood takes the room of the others.
BOOST_AUTO_TEST_CASE(a_heavy_workspace_is_bound_to_its_part)
{
    overload_control control;
    std::vector<offer> offers { { 1, 0, 0.4, 12 * 0.06 * slots / 0.4 } };
    offers.reserve(12);
    for (std::uint64_t workspace = 2; workspace <= 12; ++workspace)
        offers.push_back({ workspace, 1, 0.4, 0.06 * slots / 0.4 });
    offerAll(control, offers);
    BOOST_TEST(shareOf(control, offers[0]) < 0.6);
    BOOST_TEST((control.shareOf({ 1, 0, 0.4, 0 }).bound == admission_bound::Workspace));
    for (std::size_t i = 1; i < offers.size(); ++i)
        BOOST_TEST(shareOf(control, offers[i]) == 1.0);
    // What the others leave is not lost.
    const double admitted = shareOf(control, offers[0]) * 12 * 0.06 + 11 * 0.06;
    BOOST_TEST(admitted > 0.9);
}

// Guards against work that only one node sees: what peers tell counts, until they are dead for some seconds.
BOOST_AUTO_TEST_CASE(the_word_of_peers_counts_until_it_lapses)
{
    overload_control control;
    const auto end = offerAll(control, { { 1, 0, 0.3, 20 } });
    decisions::offered_work_update update;
    update.byUrgency[2] = 5 * slots;
    update.heaviest = { { 9, 5 * slots } };
    control.offered().updatePeer(utils::node_id("peer"), update, end);
    const service_room room { slots, fullLoad * slots, 1, patience };
    control.update(room, end);
    BOOST_TEST(shareOf(control, { 9, 2, 0.3 }) < 0.5);
    BOOST_TEST(shareOf(control, { 1, 0, 0.3 }) == 1.0);
    const auto later = end + decisions::offered_work::peerLifetime + 100ms;
    control.update({ slots, 0.1 * slots, 0, patience }, later);
    BOOST_TEST(shareOf(control, { 9, 2, 0.3 }) == 1.0);
}

// Guards against state and messages that grow with the number of workspaces.
BOOST_AUTO_TEST_CASE(many_workspaces_take_bounded_state)
{
    overload_control control;
    utils::duration since {};
    for (std::uint64_t i = 0; i < 8800; ++i, since += 1ms)
        control.record({ utils::hash64(std::to_string(i)), 1, 0.3, 0 }, at(since));
    const auto update = control.offered().update(at(since));
    BOOST_TEST(update.heaviest.size() <= decisions::offered_work::maxHeaviest);
    BOOST_TEST(update.otherWorkspaces <= decisions::offered_work::maxWorkspaces);
    // All of about the same size: none of them is bound apart from the others.
    control.update({ slots, fullLoad * slots, 0, patience }, at(since));
    BOOST_TEST((control.shareOf({ 1, 1, 0.3, 0 }).bound != admission_bound::Workspace));
}

BOOST_AUTO_TEST_SUITE_END()

#include "decisions/followrule.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace std::chrono_literals;
using decisions::shouldFollowStore;

namespace {

std::vector<std::string> names(std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back("vm-" + std::to_string(i));
    return result;
}

std::vector<std::string> without(std::vector<std::string> all, const std::string& name)
{
    std::erase(all, name);
    return all;
}

/// How many nodes follow when all hear all, and `changes` changes come in a minute, each waking a watch.
std::size_t callsOfAMinute(std::size_t nodes, std::size_t changes, bool allFollow)
{
    constexpr std::size_t quietCalls = 30; // a watch is asked again every 2 s
    const auto all = names(nodes);
    std::size_t calls = 0;
    for (const std::string& name : all) {
        const bool follows = allFollow || shouldFollowStore({ name, without(all, name), 8 });
        calls += follows ? quietCalls + changes : 0;
    }
    return calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(following_the_store)

// Eighty nodes and a release of half of 140 servers, three changes each. If all follow, each change wakes
// all.
BOOST_AUTO_TEST_CASE(few_nodes_follow_in_a_large_fleet)
{
    const std::size_t all = callsOfAMinute(80, 200, true);
    const std::size_t few = callsOfAMinute(80, 200, false);
    BOOST_TEST_MESSAGE("calls of a minute: " << all << " if all follow, " << few);
    BOOST_TEST(few * 10 == all);
    // A small fleet loses nothing by following with all its nodes.
    BOOST_TEST(callsOfAMinute(7, 200, false) == callsOfAMinute(7, 200, true));
}

// Nodes that see the same fleet agree on who follows; one that does not see all of it may follow beside them.
BOOST_AUTO_TEST_CASE(nodes_agree_on_the_followers)
{
    const auto all = names(80);
    std::set<std::string> followers;
    for (const std::string& name : all) {
        if (shouldFollowStore({ name, without(all, name), 2 }))
            followers.insert(name);
    }
    BOOST_TEST(followers.size() == decisions::targetFollowers);
    for (const std::string& gone : followers) {
        const auto left = without(all, gone);
        std::size_t count = 0;
        for (const std::string& name : left)
            count += shouldFollowStore({ name, without(left, name), 2 }) ? 1 : 0;
        BOOST_TEST(count == decisions::targetFollowers);
    }
}

// A node loses its followers, or hears only one, which may have lost the store without knowing: it would not
// hear of a key that is taken away. It follows itself at once, wherever it stands in the order.
BOOST_AUTO_TEST_CASE(a_node_that_hears_too_few_followers_follows)
{
    const auto all = names(80);
    for (const std::string& name : all) {
        BOOST_TEST(shouldFollowStore({ name, without(all, name), 1 }));
        BOOST_TEST(shouldFollowStore({ name, {}, 0 }));
    }
}

// The store is away for all. Eight hundred nodes must not ask it 2,700 times a second for as long.
BOOST_AUTO_TEST_CASE(the_pause_grows_with_the_fleet)
{
    BOOST_TEST((decisions::storeRetryDelay(1, 5) == 300ms));
    BOOST_TEST((decisions::storeRetryDelay(7, 5) == 300ms));
    BOOST_TEST((decisions::storeRetryDelay(16, 2) == 600ms));
    BOOST_TEST((decisions::storeRetryDelay(800, 2) == 2s));
}

// A waiting watch is cut, on all eight followers at once, and the store is well. With the pause of an outage
// a large fleet would not hear of a server that leaves for two seconds of the three that it has.
BOOST_AUTO_TEST_CASE(a_cut_watch_is_asked_again_soon)
{
    BOOST_TEST((decisions::storeRetryDelay(800, 1) == 300ms));
}

// The store turns some nodes away while a server leaves. These keep for 1.9 s what went, as in an outage; a
// node that hears followers must not take over their doubts, or callers are sent to the server after it has
// left.
BOOST_AUTO_TEST_CASE(only_followers_are_believed_where_there_are_some)
{
    BOOST_TEST(decisions::isTrustedSource(true, 0));
    BOOST_TEST(decisions::isTrustedSource(true, 8));
    BOOST_TEST(!decisions::isTrustedSource(false, 2));
    // Without followers anybody who knows more helps.
    BOOST_TEST(decisions::isTrustedSource(false, 1));
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/storeview.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace {

/// Items whose value is just a number: the version, or the port of a server.
struct plain_codec {
    static std::string_view configurationKey() { return "config"; }
    static std::string_view watchedPrefix() { return ""; }
    static std::string_view serverPrefix() { return "servers/"; }
    static utils::result<catalogue::configuration_ptr> decodeConfiguration(std::string_view bytes)
    {
        if (bytes.empty() || bytes.find_first_not_of("0123456789") != std::string_view::npos)
            return utils::fail(utils::error_kind::InvalidDocument, "no number");
        auto configuration = std::make_shared<catalogue::configuration>();
        configuration->version = std::stoull(std::string(bytes));
        return catalogue::configuration_ptr(configuration);
    }
    static utils::result<catalogue::backend_server> decodeServer(
        std::string_view id, std::string_view bytes, std::uint64_t revision)
    {
        if (bytes.empty())
            return utils::fail(utils::error_kind::InvalidDocument, "empty");
        catalogue::backend_server server;
        server.id = utils::server_id(std::string(id));
        server.service = "s";
        server.address = bytes;
        server.revision = revision;
        return server;
    }
};

struct view_fixture {
    boost::asio::io_context io;
    gateway::node_context context { io.get_executor(), gateway::node_options() };
    gateway::store_view<plain_codec> view { context };
    utils::time_point now = utils::time_point {} + 1h;

    std::uint64_t version() const { return context.configuration ? context.configuration->version : 0; }
};

} // namespace

BOOST_AUTO_TEST_SUITE(view_of_the_store)

// A version comes by two ways, the store and a peer, in any order. The newer one stays.
BOOST_FIXTURE_TEST_CASE(an_older_configuration_never_replaces_a_newer_one, view_fixture)
{
    BOOST_TEST(view.applyConfiguration({ "config", "5", 10 }, "store"));
    BOOST_TEST(!view.applyConfiguration({ "config", "4", 9 }, "peer"));
    BOOST_TEST(!view.applyConfiguration({ "config", "5", 10 }, "peer"));
    BOOST_TEST(version() == 5u);
    // Written later but numbered lower: an operator's mistake, and no way back.
    BOOST_TEST(!view.applyConfiguration({ "config", "3", 11 }, "store"));
    BOOST_TEST(version() == 5u);
    BOOST_TEST(view.applyConfiguration({ "config", "6", 12 }, "store"));
}

BOOST_FIXTURE_TEST_CASE(an_unreadable_configuration_changes_nothing, view_fixture)
{
    view.applyConfiguration({ "config", "5", 10 }, "store");
    BOOST_TEST(!view.applyConfiguration({ "config", "garbage", 11 }, "store"));
    BOOST_TEST(version() == 5u);
    BOOST_TEST(view.applyConfiguration({ "config", "6", 12 }, "store"));
}

// A server leaves. A peer whose copy is older still has it; the copy must not bring it back.
BOOST_FIXTURE_TEST_CASE(an_older_copy_brings_no_server_back, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 }, { "servers/b", "10.0.0.2:1", 4 } }, 5, now);
    const gateway::view_copy older = view.copy({}, now);
    view.applyServerChange({ { "servers/a", "", 6 }, true }, now);
    view.advanceServers(6);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
    view.applyCopy(older, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
}

// The store turns this node away; a peer's newer copy tells of a server that left and of one that came.
BOOST_FIXTURE_TEST_CASE(a_newer_copy_counts_whole, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 5, now);
    gateway::view_copy newer;
    newer.configuration.push_back({ { "config", "9", 8 } });
    newer.servers.push_back({ { "servers/b", "10.0.0.2:1", 7 } });
    newer.serversAsOf = 9;
    BOOST_TEST(view.applyCopy(newer, now));
    BOOST_TEST(version() == 9u);
    BOOST_REQUIRE(context.servers.usable("s").size() == 1u);
    BOOST_TEST(context.servers.usable("s").front()->id.str() == "b");
}

// The store turns this node away and serves its peer, where a server left for good. Kept here as one that
// lapsed in an outage, it would get requests for as long as this node is turned away. A peer that has just
// lost and regained the store itself knows no better, and nothing is dropped on its word.
BOOST_FIXTURE_TEST_CASE(a_settled_peer_ends_servers_that_an_outage_would_keep, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 5, now);
    context.servers.setStoreReachable(false, now);
    gateway::view_copy copy;
    copy.serversAsOf = 8;
    copy.settlesInMs = 1900;
    view.applyCopy(copy, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
    copy.serversAsOf = 9;
    copy.settlesInMs = 0;
    view.applyCopy(copy, now);
    BOOST_TEST(context.servers.usable("s").empty());
}

// Guards against requests to servers that have left while this node alone had lost the store: what it then
// hears from the store itself it would keep as lapsed for two seconds more.
BOOST_FIXTURE_TEST_CASE(a_settled_peer_confirms_what_the_store_says_has_gone, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 }, { "servers/b", "10.0.0.2:1", 4 } }, 5, now);
    context.servers.setStoreReachable(false, now);
    view.applyServerChange({ { "servers/a", "", 7 }, true }, now);
    view.applyServerChange({ { "servers/b", "", 9 }, true }, now);
    context.servers.setStoreReachable(true, now);
    BOOST_TEST(context.servers.usable("s").size() == 2u);
    view.confirmRemovals(6, now);
    BOOST_TEST(context.servers.usable("s").size() == 2u);
    view.confirmRemovals(8, now);
    BOOST_REQUIRE(context.servers.usable("s").size() == 1u);
    BOOST_TEST(context.servers.usable("s").front()->id.str() == "b");
}

// A node that relies on its peers fetches what has changed since it last knew everything: what was added,
// what was written anew, and what was removed. Without the removals it would send to servers that are gone.
BOOST_FIXTURE_TEST_CASE(a_peer_tells_only_what_has_changed, view_fixture)
{
    const std::vector<gateway::store_item> first { { "servers/a", "10.0.0.1:1", 3 },
        { "servers/b", "10.0.0.2:1", 4 }, { "servers/c", "10.0.0.3:1", 4 } };
    view.applyConfiguration({ "config", "5", 2 }, "store");
    view.applyServers(first, 5, now);
    view_fixture other;
    other.view.applyServers(first, 5, now);
    view.applyServerChange({ { "servers/a", "", 6 }, true }, now);
    view.applyServerChange({ { "servers/b", "10.0.0.2:2", 7 }, false }, now);
    view.applyServerChange({ { "servers/d", "10.0.0.4:1", 8 }, false }, now);
    view.advanceServers(9);
    const gateway::view_copy copy = view.copy(other.view.request(gateway::view_part::Servers), now);
    BOOST_TEST(!copy.isFull);
    BOOST_TEST(copy.servers.size() == 2u);
    BOOST_REQUIRE(copy.removed.size() == 1u);
    BOOST_TEST(copy.removed.front().revision == 6u);
    const auto carried = gateway::decodeView(gateway::encodeView(copy));
    BOOST_REQUIRE(carried.has_value());
    BOOST_TEST(copy.configuration.empty());
    other.view.applyCopy(*carried, now);
    BOOST_TEST(
        other.view.applyCopy(view.copy(other.view.request(gateway::view_part::Configuration), now), now));
    BOOST_TEST(other.version() == 5u);
    BOOST_TEST(other.view.serversAsOf() == 9u);
    const auto usable = other.context.servers.usable("s");
    BOOST_REQUIRE(usable.size() == 3u);
    BOOST_TEST(usable.at(0)->address == "10.0.0.2:2");
    BOOST_TEST(usable.at(2)->id.str() == "d");
    // Who knows it all is told nothing; who knows less than the removals go back is told everything.
    const gateway::view_copy nothing = view.copy(other.view.request(gateway::view_part::Servers), now);
    BOOST_TEST(nothing.configuration.empty());
    BOOST_TEST(nothing.servers.empty());
    BOOST_TEST(view.copy({ 2, 4 }, now).isFull);
    BOOST_TEST(view.copy({ 2, 4 }, now).servers.size() == 3u);
}

// The store forgets its history while a server leaves, so no change tells of the removal: the follower reads
// everything anew. A resting node that compared only the revisions of entries would take its own view for
// as new, and send to the server that is gone for as long as no other entry changes.
BOOST_FIXTURE_TEST_CASE(a_removal_behind_a_forgotten_history_is_told, view_fixture)
{
    const std::vector<gateway::store_item> all { { "servers/a", "10.0.0.1:1", 3 },
        { "servers/b", "10.0.0.2:1", 4 } };
    view.applyServers(all, 5, now);
    view_fixture resting;
    resting.view.applyServers(all, 6, now);
    view.applyServers({ all.back() }, 9, now);
    BOOST_TEST(resting.view.isBehind(
        gateway::view_part::Servers, view.configurationRevision(), view.serversRevision()));
    // What left before the follower read anew is not known one by one: only the whole tells of it.
    BOOST_TEST(view.copy({ 0, 6, false }, now).serversAsOf == 0u);
    resting.view.applyCopy(view.copy({ 0, 6, true }, now), now);
    BOOST_TEST(resting.context.servers.usable("s").size() == 1u);
    BOOST_TEST(!resting.view.isBehind(
        gateway::view_part::Servers, view.configurationRevision(), view.serversRevision()));
}

// A removal comes from a peer before this node's own watch tells of the entry's last change.
BOOST_FIXTURE_TEST_CASE(a_late_change_brings_no_removed_server_back, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 5, now);
    view.applyServerChange({ { "servers/a", "", 8 }, true }, now);
    view.applyServerChange({ { "servers/a", "10.0.0.1:1", 7 }, false }, now);
    BOOST_TEST(context.servers.usable("s").empty());
    view.applyServerChange({ { "servers/a", "10.0.0.1:1", 9 }, false }, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
}

// The store was away, and the followers have regained it: entries may be missing yet. A node that rests has
// not noticed the outage, and must keep as long as they do what lapsed in it, and no longer.
BOOST_FIXTURE_TEST_CASE(a_resting_node_keeps_what_its_peers_keep, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 5, now);
    view_fixture follower;
    follower.view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 5, now);
    follower.context.servers.setStoreReachable(false, now);
    follower.context.servers.setStoreReachable(true, now);
    follower.view.applyServerChange({ { "servers/a", "", 8 }, true }, now);
    follower.view.advanceServers(8);
    view.applyCopy(follower.view.copy(view.request(gateway::view_part::Servers), now + 400ms), now + 400ms);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
    context.servers.expire(now + 1899ms);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
    context.servers.expire(now + 1900ms);
    BOOST_TEST(context.servers.usable("s").empty());
}

BOOST_FIXTURE_TEST_CASE(an_entry_that_becomes_unreadable_names_no_server, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 5, now);
    view.applyServerChange({ { "servers/a", "", 6 }, false }, now);
    BOOST_TEST(context.servers.usable("s").empty());
    view.applyServerChange({ { "servers/a", "10.0.0.1:1", 7 }, false }, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

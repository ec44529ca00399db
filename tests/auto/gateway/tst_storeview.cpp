#include "gateway/view/storeview.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;

namespace {

/// Encodes an item as plain text: the version of a configuration, or the address of a server.
struct plain_codec {
    static std::string_view configurationKey() { return "config"; }
    static std::string_view watchedPrefix() { return ""; }
    static std::string_view serverPrefix() { return "servers/"; }
    static std::string_view evacuationPrefix() { return "evacuate/"; }
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
        server.dataCentre = "dc";
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

// A configuration arrives from the store and from a peer, in any order. The newer one stays in force.
BOOST_FIXTURE_TEST_CASE(an_older_configuration_never_replaces_a_newer_one, view_fixture)
{
    BOOST_TEST(view.applyConfiguration({ "config", "5", 10 }, "store"));
    BOOST_TEST(!view.applyConfiguration({ "config", "4", 9 }, "peer"));
    BOOST_TEST(!view.applyConfiguration({ "config", "5", 10 }, "peer"));
    BOOST_TEST(version() == 5u);
    // A later revision with a lower version, an operator's mistake, must not bring an old configuration back.
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

// Guards against an outdated copy: a peer that still has a removed server must not bring it back.
BOOST_FIXTURE_TEST_CASE(an_older_copy_does_not_bring_a_server_back, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 }, { "servers/b", "10.0.0.2:1", 4 } }, 5, now);
    const gateway::view_copy older = view.copy({}, now);
    view.applyServerChange({ { "servers/a", "", 6 }, true }, now);
    view.advanceServers(6);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
    view.applyCopy(older, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
}

// The store refuses this node; a newer copy from a peer removes one server and adds another.
BOOST_FIXTURE_TEST_CASE(a_newer_copy_replaces_the_view, view_fixture)
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

// The store refuses this node but serves its peer, and a server is removed for good. If this node kept it as
// lapsed in an outage, the server would get requests for as long as the store refuses this node. A peer that
// has itself just lost and regained the store does not know better, so its copy drops nothing.
BOOST_FIXTURE_TEST_CASE(a_settled_peer_removes_servers_kept_for_an_outage, view_fixture)
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

// Guards against requests to removed servers after an outage that affected only this node: without
// confirmation it would keep the removals that it reads from the store as lapsed entries for two more
// seconds.
BOOST_FIXTURE_TEST_CASE(a_settled_peer_confirms_removals, view_fixture)
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

// A node that relies on its peers fetches the changes since its last known revision: entries added, rewritten
// and removed. Without the removals it would send requests to servers that are gone.
BOOST_FIXTURE_TEST_CASE(a_peer_sends_only_changes, view_fixture)
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
    const auto decoded = gateway::decodeView(gateway::encodeView(copy));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(copy.configuration.empty());
    other.view.applyCopy(*decoded, now);
    BOOST_TEST(
        other.view.applyCopy(view.copy(other.view.request(gateway::view_part::Configuration), now), now));
    BOOST_TEST(other.version() == 5u);
    BOOST_TEST(other.view.serversAsOf() == 9u);
    const auto usable = other.context.servers.usable("s");
    BOOST_REQUIRE(usable.size() == 3u);
    BOOST_TEST(usable.at(0)->address == "10.0.0.2:2");
    BOOST_TEST(usable.at(2)->id.str() == "d");
    // A request at the latest revision gets no changes; one from before the start of the removal history gets
    // everything.
    const gateway::view_copy nothing = view.copy(other.view.request(gateway::view_part::Servers), now);
    BOOST_TEST(nothing.configuration.empty());
    BOOST_TEST(nothing.servers.empty());
    BOOST_TEST(view.copy({ 2, 4 }, now).isFull);
    BOOST_TEST(view.copy({ 2, 4 }, now).servers.size() == 3u);
}

// The store discards its history while a server is removed, so no change reports the removal, and the
// follower reads everything again. A node that does not follow the store and compares only the revisions of
// entries would take its view for current, and send requests to the removed server until another entry
// changes.
BOOST_FIXTURE_TEST_CASE(a_removal_lost_from_the_history_reaches_peers, view_fixture)
{
    const std::vector<gateway::store_item> all { { "servers/a", "10.0.0.1:1", 3 },
        { "servers/b", "10.0.0.2:1", 4 } };
    view.applyServers(all, 5, now);
    view_fixture passive;
    passive.view.applyServers(all, 6, now);
    view.applyServers({ all.back() }, 9, now);
    BOOST_TEST(passive.view.isBehind(
        gateway::view_part::Servers, view.configurationRevision(), view.serversRevision()));
    // Removals before the follower's full read are not known individually: only a full copy covers them.
    BOOST_TEST(view.copy({ 0, 6, false }, now).serversAsOf == 0u);
    passive.view.applyCopy(view.copy({ 0, 6, true }, now), now);
    BOOST_TEST(passive.context.servers.usable("s").size() == 1u);
    BOOST_TEST(!passive.view.isBehind(
        gateway::view_part::Servers, view.configurationRevision(), view.serversRevision()));
}

// A peer reports the removal before this node's own watch reports the last change of the entry.
BOOST_FIXTURE_TEST_CASE(a_late_change_does_not_bring_a_removed_server_back, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 5, now);
    view.applyServerChange({ { "servers/a", "", 8 }, true }, now);
    view.applyServerChange({ { "servers/a", "10.0.0.1:1", 7 }, false }, now);
    BOOST_TEST(context.servers.usable("s").empty());
    view.applyServerChange({ { "servers/a", "10.0.0.1:1", 9 }, false }, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
}

// The followers have regained the store after an outage, and entries may still be missing. A node that does
// not follow the store has not noticed the outage; it must keep lapsed entries exactly as long as the
// followers do.
BOOST_FIXTURE_TEST_CASE(a_node_not_following_keeps_lapsed_servers_like_its_peers, view_fixture)
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

BOOST_FIXTURE_TEST_CASE(an_entry_that_becomes_unreadable_removes_its_server, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 5, now);
    view.applyServerChange({ { "servers/a", "", 6 }, false }, now);
    BOOST_TEST(context.servers.usable("s").empty());
    view.applyServerChange({ { "servers/a", "10.0.0.1:1", 7 }, false }, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
}

// Operators evacuate a data centre and end that again. Guards against requests to its servers meanwhile.
BOOST_FIXTURE_TEST_CASE(an_evacuation_lasts_until_its_item_is_removed, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 5, now);
    view.applyServerChange({ { "evacuate/dc", "{}", 6 }, false }, now);
    BOOST_TEST(context.servers.usable("s").empty());
    BOOST_TEST(!context.servers.isUsable(utils::server_id("a")));
    BOOST_TEST(context.servers.present("s").size() == 1u);
    view.applyServerChange({ { "evacuate/dc", "", 9 }, true }, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
    // A peer reports the beginning after the end was known.
    view.applyServerChange({ { "evacuate/dc", "{}", 8 }, false }, now, false, "peer");
    BOOST_TEST(context.servers.usable("s").size() == 1u);
}

// Guards against a node that does not follow the store, or that starts meanwhile, and never learns of an
// evacuation or of its end.
BOOST_FIXTURE_TEST_CASE(an_evacuation_reaches_peers, view_fixture)
{
    const std::vector<gateway::store_item> first { { "servers/a", "10.0.0.1:1", 3 } };
    view.applyServers(first, 5, now);
    view_fixture passive;
    passive.view.applyServers(first, 5, now);
    const auto update = [&](view_fixture& node) {
        BOOST_TEST(node.view.isBehind(gateway::view_part::Servers, 0, view.serversRevision()));
        node.view.applyCopy(view.copy(node.view.request(gateway::view_part::Servers), now), now);
    };
    view.applyServerChange({ { "evacuate/dc", "{}", 7 }, false }, now);
    view.advanceServers(7);
    update(passive);
    BOOST_TEST(passive.context.servers.usable("s").empty());
    view_fixture started;
    update(started);
    BOOST_TEST(started.context.servers.isEvacuated("dc"));
    view.applyServerChange({ { "evacuate/dc", "", 8 }, true }, now);
    view.advanceServers(8);
    update(passive);
    update(started);
    BOOST_TEST(passive.context.servers.usable("s").size() == 1u);
    BOOST_TEST(started.context.servers.usable("s").size() == 1u);
}

// The store discards its history while an evacuation begins or ends, so that only a full read shows it.
BOOST_FIXTURE_TEST_CASE(a_full_read_shows_evacuations, view_fixture)
{
    const gateway::store_item server { "servers/a", "10.0.0.1:1", 3 };
    view.applyServers({ server, { "evacuate/dc", "{}", 6 } }, 7, now);
    BOOST_TEST(context.servers.usable("s").empty());
    // An older full copy does not end it.
    gateway::view_copy older;
    older.servers.push_back({ server });
    older.serversAsOf = 5;
    view.applyCopy(older, now);
    BOOST_TEST(context.servers.usable("s").empty());
    view.applyServers({ server }, 9, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
}

// An evacuation is no lease: an outage of the store does not prolong it.
BOOST_FIXTURE_TEST_CASE(the_end_of_an_evacuation_counts_after_an_outage, view_fixture)
{
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 }, { "evacuate/dc", "{}", 4 } }, 5, now);
    context.servers.setStoreReachable(false, now);
    context.servers.setStoreReachable(true, now);
    view.applyServers({ { "servers/a", "10.0.0.1:1", 3 } }, 8, now);
    BOOST_TEST(context.servers.usable("s").size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

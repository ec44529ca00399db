#include "catalogue/serverdirectory.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using catalogue::backend_server;
using catalogue::server_directory;
using utils::server_id;

namespace {

constexpr utils::duration settleTime = 2s;

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

backend_server serverOf(const std::string& id, std::uint64_t revision = 1, std::uint64_t startedAtMs = 1)
{
    backend_server server;
    server.id = server_id(id);
    server.service = "s";
    server.address = "10.0.0.1:80";
    server.revision = revision;
    server.startedAtMs = startedAtMs;
    return server;
}

struct directory_fixture {
    server_directory directory { settleTime };
    server_id a { "a" };

    directory_fixture() { directory.put(a, serverOf("a"), at(0s)); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(directory)

BOOST_FIXTURE_TEST_CASE(removed_server_is_unusable_at_once_while_store_is_reachable, directory_fixture)
{
    directory.remove(a, at(1s));
    BOOST_TEST(!directory.isUsable(a));
}

// During an outage of the store leases lapse although the servers are alive; the entries are renewed within
// two seconds of its end. Until then the servers must stay in use; one that is not renewed is removed.
BOOST_FIXTURE_TEST_CASE(entries_lapsed_in_outage_are_kept_while_settling, directory_fixture)
{
    const server_id b("b");
    directory.put(b, serverOf("b"), at(0s));
    directory.setStoreReachable(false, at(1s));
    directory.expire(at(60s));
    BOOST_TEST(directory.isUsable(a));
    directory.setStoreReachable(true, at(60s));
    directory.replaceAll({}, at(60s));
    BOOST_TEST(directory.isUsable(a));
    BOOST_TEST(directory.isUsable(b));
    directory.put(b, serverOf("b", 9), at(61s));
    directory.expire(at(61s + 900ms));
    BOOST_TEST(directory.isUsable(a));
    directory.expire(at(62s));
    BOOST_TEST(!directory.isUsable(a));
    BOOST_TEST(directory.isUsable(b));
}

// A draining server must not get requests again because of an outage.
BOOST_FIXTURE_TEST_CASE(draining_server_is_not_kept, directory_fixture)
{
    auto draining = serverOf("a", 2);
    draining.isDraining = true;
    directory.put(a, draining, at(0s));
    BOOST_TEST(!directory.isUsable(a));
    directory.setStoreReachable(false, at(1s));
    directory.remove(a, at(2s));
    BOOST_TEST(directory.find(a) == nullptr);
}

// Another server answers at the address of the entry, so the entry is not used until it shows a restart.
BOOST_FIXTURE_TEST_CASE(identity_mismatch_lasts_until_restart, directory_fixture)
{
    directory.markIdentityMismatch(a);
    BOOST_TEST(!directory.isUsable(a));
    directory.put(a, serverOf("a", 2), at(1s));
    BOOST_TEST(!directory.isUsable(a));
    directory.put(a, serverOf("a", 3, 77), at(2s));
    BOOST_TEST(directory.isUsable(a));
}

// Guards against an entry that undoes what its server has said later, and against a server that leaves for
// good because the one before it under its id did.
BOOST_FIXTURE_TEST_CASE(leaving_lasts_until_restart, directory_fixture)
{
    BOOST_TEST(directory.markLeaving(a, 1, at(0s)));
    BOOST_TEST(!directory.markLeaving(a, 1, at(1s)));
    BOOST_TEST(!directory.isUsable(a));
    BOOST_TEST(directory.isDraining(a));
    BOOST_TEST((directory.drainingFor(a, at(1s)) == 1s));
    directory.put(a, serverOf("a", 2), at(1s));
    BOOST_TEST(!directory.isUsable(a));
    directory.remove(a, at(2s));
    directory.expire(at(3s));
    directory.put(a, serverOf("a", 3), at(4s));
    BOOST_TEST(!directory.isUsable(a));
    BOOST_TEST((directory.drainingFor(a, at(4s)) == 4s));
    directory.put(a, serverOf("a", 4, 77), at(5s));
    BOOST_TEST(directory.isUsable(a));
    BOOST_TEST(!directory.drainingFor(a, at(5s)).has_value());
    BOOST_TEST(directory.markLeaving(a, 77, at(6s)));
    // A late answer of the process before.
    BOOST_TEST(!directory.markLeaving(a, 1, at(7s)));
    BOOST_TEST(!directory.isUsable(a));
}

// The entry may say it first, or the server.
BOOST_FIXTURE_TEST_CASE(draining_counts_from_the_earlier_news, directory_fixture)
{
    auto draining = serverOf("a", 2);
    draining.isDraining = true;
    directory.markLeaving(a, 1, at(0s));
    directory.put(a, draining, at(2s));
    BOOST_TEST((directory.drainingFor(a, at(3s)) == 3s));
    const server_id b("b");
    auto other = serverOf("b", 3);
    directory.put(b, other, at(0s));
    other.isDraining = true;
    directory.put(b, other, at(1s));
    directory.markLeaving(b, 1, at(2s));
    BOOST_TEST((directory.drainingFor(b, at(3s)) == 2s));
}

BOOST_FIXTURE_TEST_CASE(unreadable_entry_removes_server, directory_fixture)
{
    directory.put(a, std::nullopt, at(1s));
    BOOST_TEST(!directory.isUsable(a));
    BOOST_TEST(directory.usable("s").empty());
}

// A server tells how long it is cold; a later entry says that it no longer is.
BOOST_FIXTURE_TEST_CASE(an_entry_tells_until_when_its_server_is_cold, directory_fixture)
{
    backend_server cold = serverOf("a", 2, 2);
    cold.coldFor = 3s;
    directory.put(a, cold, at(10s));
    BOOST_TEST((directory.coldUntil(a, 3s) == at(13s)));
    // The same entry, read again later, does not begin anew.
    directory.replaceAll({ cold }, at(12s));
    BOOST_TEST((directory.coldUntil(a, 3s) == at(13s)));
    directory.put(a, serverOf("a", 3, 2), at(11s));
    BOOST_TEST((directory.coldUntil(a, 3s) <= at(11s)));
}

// The servers of an evacuated data centre may be cold when it ends, and their entries say so a second later.
// Guards against all nodes returning to them at full rate in that second.
BOOST_FIXTURE_TEST_CASE(servers_count_as_cold_after_an_evacuation, directory_fixture)
{
    backend_server elsewhere = serverOf("b");
    elsewhere.dataCentre = "dc-2";
    directory.put(server_id("b"), elsewhere, at(0s));
    directory.setEvacuated("", true, at(10s));
    BOOST_TEST(!directory.isUsable(a));
    BOOST_TEST(directory.isUsable(server_id("b")));
    BOOST_TEST(directory.usableCount() == 1u);
    BOOST_TEST((directory.coldUntil(a, 3s) <= at(0s)));
    directory.setEvacuated("", false, at(20s));
    BOOST_TEST(directory.isUsable(a));
    BOOST_TEST((directory.coldUntil(a, 3s) == at(23s)));
    BOOST_TEST((directory.coldUntil(server_id("b"), 3s) <= at(0s)));
    // The end of an evacuation that never began means nothing.
    directory.setEvacuated("dc-2", false, at(30s));
    BOOST_TEST((directory.coldUntil(server_id("b"), 3s) <= at(0s)));
}

// Guards against requests to a server that has drained for an unknown time.
BOOST_FIXTURE_TEST_CASE(drain_time_is_known_only_for_servers_seen_before, directory_fixture)
{
    BOOST_TEST(!directory.drainingFor(a, at(1s)).has_value());
    backend_server draining = serverOf("a", 2);
    draining.isDraining = true;
    directory.put(a, draining, at(1s));
    BOOST_TEST((directory.drainingFor(a, at(3s)).value() == 2s));
    directory.put(a, draining, at(4s));
    BOOST_TEST((directory.drainingFor(a, at(5s)).value() == 4s));
    backend_server restarted = serverOf("a", 3, 2);
    restarted.isDraining = true;
    directory.put(a, serverOf("a", 3), at(6s));
    directory.put(a, restarted, at(6s));
    BOOST_TEST(!directory.drainingFor(a, at(7s)).has_value());
    const server_id b("b");
    draining.id = b;
    directory.put(b, draining, at(1s));
    BOOST_TEST(!directory.drainingFor(b, at(2s)).has_value());
}

BOOST_FIXTURE_TEST_CASE(software_versions_are_those_of_all_entries, directory_fixture)
{
    backend_server draining = serverOf("b");
    draining.softwareVersion = "v2";
    draining.isDraining = true;
    directory.put(draining.id, draining, at(0s));
    BOOST_TEST(directory.softwareVersions().at("s").size() == 2u);
    directory.remove(draining.id, at(1s));
    BOOST_TEST(directory.softwareVersions().at("s").size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

#include "catalogue/configuration.h"

#include <boost/test/unit_test.hpp>

namespace {

catalogue::configuration withPrefixes(const std::vector<std::string>& prefixes)
{
    catalogue::configuration configuration;
    for (const std::string& prefix : prefixes) {
        catalogue::route route;
        route.name = prefix;
        route.host = "a.example";
        route.pathPrefix = prefix;
        configuration.routes.push_back(route);
    }
    configuration.buildIndex();
    return configuration;
}

std::string found(const catalogue::configuration& configuration, const std::string& path)
{
    const catalogue::route* route = configuration.findRoute("a.example", path);
    return route == nullptr ? "" : route->name;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

// 10,000 tokens of 18,432 bytes each over 130 Gbit/s.
BOOST_AUTO_TEST_CASE(copy_time_needs_cache_size_and_bandwidth)
{
    catalogue::engine_traits traits;
    BOOST_TEST(!traits.copyTime(10000).has_value());
    traits.cacheBytesPerToken = 18432;
    BOOST_TEST(!traits.copyTime(10000).has_value());
    traits.copyBitsPerSecond = 130e9;
    BOOST_TEST(traits.copyTime(10000)->count() == 11342);
}

BOOST_AUTO_TEST_CASE(longest_prefix_matches)
{
    const auto configuration = withPrefixes({ "/a/", "/a/b/", "/c/" });
    BOOST_TEST(found(configuration, "/a/x") == "/a/");
    BOOST_TEST(found(configuration, "/a/b/x") == "/a/b/");
    BOOST_TEST(found(configuration, "/a/b") == "/a/");
    BOOST_TEST(found(configuration, "/a/b/c/d/e") == "/a/b/");
    BOOST_TEST(found(configuration, "/a").empty());
    BOOST_TEST(found(configuration, "/").empty());
    BOOST_TEST(found(configuration, "").empty());
    BOOST_TEST(found(configuration, "/ab/x").empty());
}

// Guards against slashes in the query being taken for a part of the path.
BOOST_AUTO_TEST_CASE(query_is_not_matched)
{
    const auto configuration = withPrefixes({ "/a/", "/a/b?/c/" });
    BOOST_TEST(found(configuration, "/a/b?/c/d") == "/a/");
}

BOOST_AUTO_TEST_CASE(root_prefix_matches_one_host_only)
{
    const auto configuration = withPrefixes({ "/" });
    BOOST_TEST(found(configuration, "/x/y") == "/");
    BOOST_TEST(configuration.findRoute("b.example", "/x") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

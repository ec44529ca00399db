#include "config/settings.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace {

const char* const samplePath = LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/sample/settings.yaml";

std::string sampleWith(const std::string& from, const std::string& to)
{
    std::ifstream file(samplePath);
    std::ostringstream stream;
    stream << file.rdbuf();
    std::string text = stream.str();
    const std::size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string problemsOf(const std::string& yaml)
{
    return config::toString(config::parseSettings(yaml, "s.yaml").problems);
}

} // namespace

BOOST_AUTO_TEST_SUITE(process_settings)

BOOST_AUTO_TEST_CASE(sample_is_read_whole)
{
    const config::parsed_settings parsed = config::loadSettings(samplePath);
    BOOST_TEST_REQUIRE(config::toString(parsed.problems) == "");
    BOOST_TEST(parsed.value.node == utils::node_id("entry-1"));
    BOOST_TEST(parsed.value.peers.seeds.size() == 3u);
    BOOST_TEST(parsed.value.platform.endpoints.front() == "127.0.0.1:2379");
    BOOST_TEST(parsed.value.operators.firstKeyHash.size() == 64u);
    BOOST_TEST(!parsed.value.callers.tls.has_value());
    BOOST_TEST((parsed.value.callers.limits.idle == std::chrono::seconds(75)));
}

BOOST_AUTO_TEST_CASE(unknown_fields_and_wrong_values_are_refused_with_their_place)
{
    BOOST_TEST(problemsOf(sampleWith("log: {format: text", "log: {fromat: text"))
        == "s.yaml:25:7: log.fromat: there is no such field\n");
    BOOST_TEST(
        problemsOf(sampleWith("level: info", "level: loud")).find("expected debug, info, warning or error")
        != std::string::npos);
    BOOST_TEST(
        problemsOf(sampleWith("id: entry-2", "id: entry-1")).find("peers.seeds[1].id") != std::string::npos);
    BOOST_TEST(problemsOf("node: a").find("platform.endpoints: the field is missing") != std::string::npos);
    BOOST_TEST(config::loadSettings("/does/not/exist").problems.size() == 1u);
}

BOOST_AUTO_TEST_CASE(tls_needs_both_files)
{
    const std::string found = problemsOf(sampleWith("# tls: {certificate: /etc/lycheefront/callers.pem, key:"
                                                    " /etc/lycheefront/callers.key}",
        "tls: {certificate: a.pem}"));
    BOOST_TEST(found.find("callers.tls.key: the field is missing") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

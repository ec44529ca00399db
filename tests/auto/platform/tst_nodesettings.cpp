#include "platform/nodesettings.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace std::chrono_literals;

namespace {

const std::string settings = R"(node = "front-a-1"
zone = "a"
internalPorts = [7340,7355]
seeds = ["10.1.0.40:8229","10.2.0.29:8229"]
future = { x = 1 }
[zones]
a = "north"
b-1 = "south"
[listen]
front = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[bounds]
graceS = 9
retryBudgetRatio = 0.3
budgetExtra = 54
configApplyMs = 2500
drainMs = 3000
evacuateMs = 4000
[provider]
address = "10.200.1.7:8223"
)";

struct settings_file {
    std::string path
        = std::filesystem::temp_directory_path() / ("lycheefront-settings-" + std::to_string(getpid()));

    explicit settings_file(const std::string& text) { std::ofstream(path) << text; }
    ~settings_file() { std::filesystem::remove(path); }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;
};

std::string problemOf(const std::string& text)
{
    const settings_file file(text);
    return utils::valueOr(
        [&]() -> utils::result<std::string> {
            BOOST_LEAF_AUTO(options, platform::readSettings(file.path));
            return options.name.empty() ? std::string("no name") : std::string();
        },
        [](const utils::failure& failure) { return failure.detail; });
}

std::string replaced(std::string text, const std::string& what, const std::string& with)
{
    return text.replace(text.find(what), what.size(), with);
}

} // namespace

BOOST_AUTO_TEST_SUITE(node_settings)

BOOST_AUTO_TEST_CASE(settings_are_read)
{
    const settings_file file(settings);
    const auto options = utils::valueOr([&] { return platform::readSettings(file.path); },
        [](const utils::failure&) { return gateway::node_options(); });
    BOOST_TEST(options.name == "front-a-1");
    BOOST_TEST(options.peerAddress.port() == 7340);
    BOOST_TEST(options.seeds.size() == 2u);
    BOOST_TEST(options.seeds[1].port() == 7340);
    BOOST_TEST((options.stopGrace == 9s));
    BOOST_TEST(options.repeats.ratio == 0.3);
    BOOST_TEST((options.repeats.window == 10s));
    BOOST_TEST((options.applyTime == 2500ms));
    BOOST_TEST((options.drainTime == 3s));
    BOOST_TEST((options.evacuationTime == 4s));
    BOOST_TEST(options.regions.size() == 2u);
    BOOST_TEST(options.regions.at("b-1") == "south");
}

BOOST_AUTO_TEST_CASE(failure_names_field_or_line)
{
    BOOST_TEST(problemOf(settings).empty());
    BOOST_TEST(problemOf("node = \n").find(":1:") != std::string::npos);
    BOOST_TEST(problemOf(replaced(settings, "zone = \"a\"", "")).find("'zone'") != std::string::npos);
    BOOST_TEST(
        problemOf(replaced(settings, "10.1.0.40:8227", "nowhere")).find("listen.front") != std::string::npos);
    BOOST_TEST(
        problemOf(replaced(settings, "[7340,7355]", "[0]")).find("internalPorts") != std::string::npos);
    BOOST_TEST(problemOf(replaced(settings, "b-1 = \"south\"", "b-1 = 3")).find("b-1") != std::string::npos);
    BOOST_TEST(
        problemOf(replaced(settings, "graceS = 9", "graceS = \"long\"")).find("graceS") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

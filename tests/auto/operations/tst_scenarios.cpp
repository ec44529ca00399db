#include "scenarioplayer.h"

#include <boost/test/unit_test.hpp>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

BOOST_AUTO_TEST_CASE(every_scenario_meets_its_expectations)
{
    // Each file lists the events, what the caller sees and why. faultmatrix.yaml is a table, not a scenario.
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(LYCHEEFRONT_SOURCE_DIR "/tests/scenarios")) {
        if (entry.path().extension() == ".yaml" && entry.path().filename() != "faultmatrix.yaml")
            files.push_back(entry.path());
    }
    std::ranges::sort(files);
    BOOST_TEST(files.size() >= 12U);
    for (const std::filesystem::path& file : files) {
        BOOST_TEST_CONTEXT(file.filename())
        {
            const YAML::Node scenario = YAML::LoadFile(file.string());
            BOOST_TEST(!scenario["tells"].as<std::string>().empty());
            scenario_player(scenario).play();
        }
    }
}

#include "utils/eventcatalogue.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

BOOST_AUTO_TEST_SUITE(eventcatalogue)

BOOST_AUTO_TEST_CASE(numbers_and_names_are_unique_and_sorted)
{
    std::set<std::string_view> names;
    int last = 0;
    for (const utils::event_info& row : utils::eventCatalogue()) {
        BOOST_TEST(static_cast<int>(row.id) > last);
        last = static_cast<int>(row.id);
        BOOST_TEST(names.insert(row.name).second);
    }
}

BOOST_AUTO_TEST_CASE(docs_list_exactly_the_events_of_the_catalogue)
{
    std::ifstream file(LYCHEEFRONT_SOURCE_DIR "/docs/EVENTS.md");
    std::set<std::string> documented;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| ") && line.size() > 6
            && std::isdigit(static_cast<unsigned char>(line[2])) != 0)
            documented.insert(line.substr(2, line.find(" |", 9) - 2));
    }
    std::set<std::string> known;
    for (const utils::event_info& row : utils::eventCatalogue())
        known.insert(std::to_string(static_cast<int>(row.id)) + " | " + std::string(row.name));
    BOOST_TEST(documented == known, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

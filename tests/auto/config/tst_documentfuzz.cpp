#include "documentproperty.h"
#include "mutate.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace {

std::string readSample(const std::string& name)
{
    std::ifstream file(std::string(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/sample/") + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

const std::string marks = "{}[]:,-&*!|>'\"#\n\t \xff"
                          "0a";

} // namespace

BOOST_AUTO_TEST_SUITE(document_fuzz)

BOOST_AUTO_TEST_CASE(damaged_texts_are_refused_or_read_without_loss)
{
    constexpr unsigned seed = 20261202;
    constexpr int rounds = 1500;
    std::mt19937_64 random(seed);
    for (const char* name : { "document.yaml", "settings.yaml" }) {
        const std::string sample = readSample(name);
        for (int i = 0; i < rounds; ++i) {
            const std::string text = mutate(sample, marks, random);
            BOOST_TEST(holdsForDocument(text), text);
            BOOST_TEST(holdsForStoredText(text), text);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

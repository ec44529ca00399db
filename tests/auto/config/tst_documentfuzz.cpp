#include "documentproperty.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <random>
#include <sstream>

namespace {

std::string readSample(const std::string& name)
{
    std::ifstream file(std::string(LYCHEEFRONT_SOURCE_DIR "/share/lycheefront/sample/") + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The text with a few places deleted, doubled or overwritten.
std::string mutate(std::string text, std::mt19937_64& random)
{
    const std::string marks = "{}[]:,-&*!|>'\"#\n\t \xff"
                              "0a";
    const std::size_t times = 1 + random() % 4;
    for (std::size_t i = 0; i < times && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        const std::size_t length = 1 + random() % 12;
        switch (random() % 3) {
        case 0:
            text.erase(at, length);
            break;
        case 1:
            text.insert(at, text.substr(random() % text.size(), length));
            break;
        default:
            text[at] = marks[random() % marks.size()];
            break;
        }
    }
    return text;
}

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
            const std::string text = mutate(sample, random);
            BOOST_TEST(holdsForDocument(text), text);
            BOOST_TEST(holdsForStoredText(text), text);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

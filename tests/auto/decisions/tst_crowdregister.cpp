#include "decisions/crowdregister.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <map>

using namespace std::chrono_literals;
using decisions::crowd_register;

namespace {

utils::time_point at(utils::duration since)
{
    return utils::time_point {} + 1h + since;
}

constexpr std::uint64_t document = 7;
constexpr double share = 4;

/// Requests by place of a crowd that arrives evenly over `takes`.
std::map<std::uint32_t, unsigned> placesOf(crowd_register& crowds, unsigned requests, utils::duration takes)
{
    std::map<std::uint32_t, unsigned> places;
    for (unsigned i = 0; i < requests; ++i)
        ++places[crowds.place(document, share, at(i * takes / requests))];
    return places;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crowd_registers)

// Guards against a part in ordinary use that is read by a second engine.
BOOST_AUTO_TEST_CASE(few_requests_stay_at_the_first_place)
{
    crowd_register crowds;
    for (int i = 0; i < 100; ++i) {
        for (std::uint64_t part = 0; part < 20; ++part)
            BOOST_TEST(crowds.place(part, share, at(i * 300ms)) == 0u);
    }
}

// Guards against one engine that gets more than its share while a herd arrives.
BOOST_AUTO_TEST_CASE(a_herd_fills_one_place_after_the_other)
{
    crowd_register crowds;
    const auto places = placesOf(crowds, 200, 30ms);
    BOOST_TEST(places.size() > 50u);
    for (const auto& [place, requests] : places)
        BOOST_TEST(requests <= 4u);
}

// Guards against a lasting crowd whose later requests all get the last place.
BOOST_AUTO_TEST_CASE(a_lasting_crowd_uses_its_places_evenly)
{
    crowd_register crowds;
    const auto places = placesOf(crowds, 2000, 50s);
    BOOST_TEST(places.size() <= 16u);
    for (std::uint32_t place = 0; place < 10; ++place)
        BOOST_TEST(places.at(place) > 100u);
}

// Guards against a share that is no sensible figure, as a faulty peer may send it.
BOOST_AUTO_TEST_CASE(a_share_below_one_counts_as_one)
{
    crowd_register crowds;
    constexpr double badShares[] = { 0, -3, std::numeric_limits<double>::quiet_NaN() };
    std::uint32_t expected = 0;
    for (const double bad : badShares)
        BOOST_TEST(crowds.place(document, bad, at(0s)) == expected++);
    BOOST_TEST(crowds.place(document, std::numeric_limits<double>::infinity(), at(0s)) == 0u);
}

// Guards against memory that grows with the parts, or with the requests of one part.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    crowd_register crowds;
    for (std::uint64_t part = 0; part < 2 * crowd_register::maxParts; ++part)
        crowds.place(part, share, at(0s));
    BOOST_TEST(crowds.size() == crowd_register::maxParts);
    crowds.expire(at(crowd_register::window));
    BOOST_TEST(crowds.size() == 0u);
    std::uint32_t furthest = 0;
    for (std::size_t i = 0; i < 3 * crowd_register::maxRequests; ++i)
        furthest = std::max(furthest, crowds.place(document, 1, at(0s)));
    BOOST_TEST(furthest < crowd_register::maxRequests);
    BOOST_TEST(crowds.place(document, 1, at(crowd_register::window)) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

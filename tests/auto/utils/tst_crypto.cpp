#include "utils/crypto.h"
#include "utils/hashing.h"

#include <boost/test/unit_test.hpp>

#include <string>

BOOST_AUTO_TEST_SUITE(crypto)

BOOST_AUTO_TEST_CASE(sha256_of_known_text)
{
    BOOST_TEST(utils::sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(hmac_of_known_text)
{
    const auto digest = utils::hmacSha256("key", "The quick brown fox jumps over the lazy dog");
    BOOST_TEST(utils::toHex(digest) == "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
}

BOOST_AUTO_TEST_CASE(base64_round_trips_every_length)
{
    for (std::size_t size = 0; size < 50; ++size) {
        const std::string bytes = utils::randomBytes(size);
        BOOST_TEST(utils::fromBase64(utils::toBase64(bytes)) == bytes);
    }
    BOOST_TEST(utils::fromBase64("not base64!").empty());
}

BOOST_AUTO_TEST_CASE(constant_time_comparison_distinguishes_equal_and_different)
{
    BOOST_TEST(utils::equalConstantTime("same", "same"));
    BOOST_TEST(!utils::equalConstantTime("same", "Same"));
    BOOST_TEST(!utils::equalConstantTime("same", "same longer"));
}

BOOST_AUTO_TEST_CASE(hashes_are_deterministic_and_combine_in_order)
{
    BOOST_TEST(utils::hash64("lycheefront") == utils::hash64("lycheefront"));
    BOOST_TEST(utils::combineHashes(1, 2) != utils::combineHashes(2, 1));
    BOOST_TEST(utils::toUnitInterval(0) > 0.0);
    BOOST_TEST(utils::toUnitInterval(~0ULL) < 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

#include "serving/chatrequest.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace {

serving::chat_request parse(const std::string& body, const std::string& team = "counter-app")
{
    return serving::parseChatRequest(body, team).value();
}

std::string errorOf(const std::string& body)
{
    return utils::valueOr(
        [&]() -> utils::result<std::string> {
            BOOST_LEAF_CHECK(serving::parseChatRequest(body, "counter-app"));
            return std::string();
        },
        [](const utils::failure& f) { return f.detail; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(chatrequest)

BOOST_AUTO_TEST_CASE(each_turn_of_a_chat_has_the_same_hash)
{
    const auto first = parse(R"({"model":"m","messages":[{"role":"system","content":"s"},
        {"role":"user","content":"hola"}]})");
    const auto second = parse(R"({"model":"m","stream":true,"messages":[{"role":"system","content":"s"},
        {"role":"user","content":"hola"},{"role":"assistant","content":"a"},{"role":"user","content":"more"}]})");
    BOOST_TEST(first.chat == second.chat);
    BOOST_TEST(!first.isStreamed);
    BOOST_TEST(second.isStreamed);
}

BOOST_AUTO_TEST_CASE(chats_of_two_teams_and_two_cache_keys_differ)
{
    const std::string body = R"({"model":"m","messages":[{"role":"user","content":"hola"}]})";
    BOOST_TEST(parse(body, "a").chat != parse(body, "b").chat);
    const auto one
        = parse(R"({"model":"m","prompt_cache_key":"1","messages":[{"role":"user","content":"x"}]})");
    const auto same
        = parse(R"({"model":"m","prompt_cache_key":"1","messages":[{"role":"user","content":"y"}]})");
    const auto two
        = parse(R"({"model":"m","prompt_cache_key":"2","messages":[{"role":"user","content":"x"}]})");
    BOOST_TEST(one.chat == same.chat);
    BOOST_TEST(one.chat != two.chat);
}

BOOST_AUTO_TEST_CASE(bad_bodies_are_named_by_field)
{
    BOOST_TEST(errorOf("{").starts_with("the body is not JSON"));
    BOOST_TEST(errorOf("[]") == "the body is not a JSON object");
    BOOST_TEST(errorOf("{}") == "`model`: expected a string");
    BOOST_TEST(errorOf(R"({"model":"m","messages":[]})")
        == "`messages`: expected an array with at least one message");
    BOOST_TEST(
        errorOf(R"({"model":"m","messages":[1],"stream":"yes"})") == "`stream`: expected true or false");
}

BOOST_AUTO_TEST_SUITE_END()

#include "keyvalue/kvjson.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(kv_json)

BOOST_AUTO_TEST_CASE(transaction_is_written_as_the_gateway_documents_it)
{
    const keyvalue::kv_transaction transaction { { { "a", 0 } }, { keyvalue::kv_put { "a", "1", 7 } },
        { keyvalue::kv_get { "a", {}, 0 } } };
    BOOST_TEST(keyvalue::encodeTransaction(transaction)
        == R"({"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"0"}],)"
           R"("success":[{"request_put":{"key":"YQ==","value":"MQ==","lease":"7"}}],)"
           R"("failure":[{"request_range":{"key":"YQ=="}}]})");
}

BOOST_AUTO_TEST_CASE(answer_without_succeeded_means_the_compares_failed)
{
    const auto reply = keyvalue::decodeTransaction(
        R"({"header":{"revision":"12"},"responses":[{"response_range":{"kvs":[)"
        R"({"key":"YQ==","create_revision":"3","mod_revision":"9","value":"MQ=="}],"count":"1"}}]})");
    BOOST_TEST_REQUIRE(reply.has_value());
    BOOST_TEST(!reply->succeeded);
    BOOST_TEST(reply->revision == 12);
    BOOST_TEST_REQUIRE(reply->entries.size() == 1u);
    BOOST_TEST(reply->entries[0].modRevision == 9);
    BOOST_TEST(reply->entries[0].value == "1");
}

BOOST_AUTO_TEST_CASE(bodies_of_another_form_are_rejected)
{
    for (const char* body :
        { "", "{}", "[]", "null", "<html>", R"({"header":3})", R"({"succeeded":true})" }) {
        BOOST_TEST(!keyvalue::decodeTransaction(body).has_value());
        BOOST_TEST(!keyvalue::decodeRange(body).has_value());
        BOOST_TEST(!keyvalue::decodeWatch(body).has_value());
        BOOST_TEST(!keyvalue::decodeLeaseKeep(body).has_value());
    }
}

BOOST_AUTO_TEST_CASE(prefix_end_is_the_next_key)
{
    BOOST_TEST(keyvalue::prefixEnd("/a/") == "/a0");
    BOOST_TEST(keyvalue::prefixEnd("a\xff") == "b");
    BOOST_TEST(keyvalue::prefixEnd("\xff") == std::string(1, '\0'));
}

BOOST_AUTO_TEST_SUITE_END()

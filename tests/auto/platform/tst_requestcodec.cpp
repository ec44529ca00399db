#include "platform/requestcodec.h"

#include "gateway/requests/wireprotocol.h"

#include <boost/beast/http/fields.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace std::chrono_literals;
using platform::request_codec;
static_assert(gateway::wire_protocol<request_codec>);

namespace {

request_codec::request_head headOf(const std::vector<std::pair<std::string, std::string>>& lines)
{
    request_codec::request_head head;
    head.method_string("POST");
    head.target("/chat/1?x=y");
    head.version(11);
    for (const auto& [name, value] : lines)
        head.insert(name, value);
    return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_wire)

BOOST_AUTO_TEST_CASE(prompt_is_decoded_into_parts)
{
    const auto request
        = request_codec::decodeRequest(headOf({ { "Host", "a.example" }, { "Lycheefront-Attempt-Id", "9c41" },
            { "Lycheefront-Deadline-Ms", "1500" }, { "Authorization", "Token secret" },
            { "Last-Event-Id", "12" }, { "Lycheefront-Token-Usage", "1460,80" },
            { "Lycheefront-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410" } }));
    BOOST_TEST(request.requestId == "9c41");
    BOOST_TEST((request.callerTimeout == std::optional<utils::duration>(1500ms)));
    BOOST_TEST(request.key == "secret");
    BOOST_TEST(request.lastEventId.value() == 12u);
    BOOST_TEST(request.promptTokens == 1460u);
    BOOST_REQUIRE(request.prompt.size() == 2u);
    BOOST_TEST(request.prompt[0].id == 0x5c1e07a2u);
    BOOST_TEST(request.prompt[1].tokens == 410u);
}

// Guards against forwarding reserved headers set by a caller, its API key, and hop-by-hop headers.
BOOST_AUTO_TEST_CASE(reserved_secret_and_hop_by_hop_headers_are_not_forwarded)
{
    const auto request = request_codec::decodeRequest(headOf({ { "Host", "a.example" },
        { "Authorization", "Token secret" }, { "Connection", "keep-alive, X-Mine" }, { "X-Mine", "1" },
        { "Lycheefront-Tenant", "other" }, { "lycheefront-hold", "7" }, { "Kv-From", "10.0.0.1:1/h" },
        { "Kv-Fetch", "10.0.0.1:1" }, { "Lycheefront-Request-Priority", "0" },
        { "Transfer-Encoding", "chunked" }, { "Lycheefront-Model", "m" }, { "X-Other", "kept" } }));
    gateway::server_request call;
    call.serverId = "i-1";
    call.workspace = "team";
    call.callerTimeLeft = 1200ms;
    call.priority = 12;
    call.isPrompt = true;
    const std::string head = request_codec::encodeRequest(request, call);
    BOOST_TEST(head.starts_with("POST /chat/1?x=y HTTP/1.1\r\nHost: a.example\r\n"));
    BOOST_TEST(head.ends_with("\r\n\r\n"));
    for (const std::string kept :
        { "Lycheefront-Model: m\r\n", "X-Other: kept\r\n", "Lycheefront-Tenant: team\r\n",
            "Lycheefront-Expect-Instance: i-1\r\n", "Lycheefront-Deadline-Ms: 1200\r\n",
            "Lycheefront-Request-Priority: 9\r\n", "Content-Length: 0\r\n" })
        BOOST_TEST(head.find(kept) != std::string::npos, kept);
    BOOST_TEST(head.find("Kv-Fetch") == std::string::npos);
    call.copyFrom = "10.0.0.9:8080";
    BOOST_TEST(request_codec::encodeRequest(request, call).find("\r\nKv-Fetch: 10.0.0.9:8080\r\n")
        != std::string::npos);
    for (const std::string gone : { "secret", "X-Mine", "other", "hold", "Kv-From", "chunked", "Connection" })
        BOOST_TEST(head.find(gone) == std::string::npos, gone);
}

BOOST_AUTO_TEST_CASE(the_rejections_that_a_server_bears_are_read_and_not_passed_on)
{
    request_codec::answer_head head;
    head.result(200);
    head.insert("Server-Brittle", "6");
    const auto response = request_codec::decodeResponse(head);
    BOOST_TEST(response.rejectionsPerSecond.value() == 6u);
    BOOST_TEST(response.forwardedHeaders.empty());
    BOOST_TEST(!request_codec::decodeResponse({}).rejectionsPerSecond.has_value());
}

// Guards against a server's wish for rest that is misread: as another time, or as one that was never asked
// for.
BOOST_AUTO_TEST_CASE(the_rest_that_a_server_asks_for_is_read)
{
    const auto responseWith = [](int status, const std::string& retryAfter) {
        request_codec::answer_head head;
        head.result(status);
        head.insert("Retry-After", retryAfter);
        return request_codec::decodeResponse(head);
    };
    const std::map<std::string, utils::duration> readable { { "3", 3s }, { "2.5", 2500ms }, { "0.3", 300ms },
        { "0", 0s }, { "7200", 2h } };
    for (const auto& [text, rest] : readable) {
        const auto response = responseWith(503, text);
        BOOST_TEST((response.restFor == rest), text);
        BOOST_TEST(!response.isRestUnreadable, text);
    }
    for (const std::string text : { "", "soon", "-1", "3s", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
        const auto response = responseWith(503, text);
        BOOST_TEST(!response.restFor.has_value(), text);
        BOOST_TEST(response.isRestUnreadable, text);
    }
    BOOST_TEST((responseWith(503, "1e300").restFor.value() > 1h));
    BOOST_TEST(!responseWith(500, "3").restFor.has_value());
    BOOST_TEST(!request_codec::decodeResponse({}).isRestUnreadable);
}

BOOST_AUTO_TEST_CASE(leaving_servers_are_recognized_and_the_mark_is_not_passed_on)
{
    request_codec::answer_head head;
    head.result(200);
    BOOST_TEST(!request_codec::decodeResponse(head).isLeaving);
    head.insert("Server-Leaving", "1");
    const auto response = request_codec::decodeResponse(head);
    BOOST_TEST(response.isLeaving);
    BOOST_TEST(response.forwardedHeaders.empty());
}

// Guards against a peer that plans a forwarded request otherwise than the node that its caller has asked.
BOOST_AUTO_TEST_CASE(forwarded_requests_are_decoded_as_the_caller_sent_them)
{
    const auto request = request_codec::decodeRequest(headOf(
        { { "Host", "a.example" }, { "Lycheefront-Attempt-Id", "9c41" }, { "Authorization", "Token secret" },
            { "Lycheefront-Token-Usage", "1460,80" }, { "Lycheefront-Prompt-Prefix", "5c1e07a2:800" },
            { "Lycheefront-Tenant", "other" }, { "X-Other", "kept" } }));
    gateway::server_request call;
    call.callerTimeLeft = 900ms;
    call.lastEventId = 7;
    const std::string head = request_codec::encodeForward(request, call, { "Forward-Hop", "1-2-3" });
    for (const std::string kept : { "POST /chat/1?x=y HTTP/1.1\r\n", "Lycheefront-Attempt-Id: 9c41\r\n",
             "Authorization: Token secret\r\n", "Lycheefront-Token-Usage: 1460,80\r\n",
             "Lycheefront-Prompt-Prefix: 5c1e07a2:800\r\n", "X-Other: kept\r\n", "Last-Event-Id: 7\r\n",
             "Lycheefront-Deadline-Ms: 900\r\n", "Forward-Hop: 1-2-3\r\n" })
        BOOST_TEST(head.find(kept) != std::string::npos, kept);
    for (const std::string gone : { "other", "Expect-Instance", "Priority" })
        BOOST_TEST(head.find(gone) == std::string::npos, gone);
}

BOOST_AUTO_TEST_CASE(malformed_numbers_count_as_absent)
{
    const auto request = request_codec::decodeRequest(
        headOf({ { "Lycheefront-Deadline-Ms", "-5" }, { "Last-Event-Id", "twelve" },
            { "Lycheefront-Token-Usage", "many" }, { "Lycheefront-Prompt-Prefix", "zz:1,:,5:,6:7" },
            { "Authorization", "Basic abc" }, { "Lycheefront-Length-Hint", "long" } }));
    BOOST_TEST(!request.outputHint.has_value());
    BOOST_TEST(!request.callerTimeout.has_value());
    BOOST_TEST(!request.lastEventId.has_value());
    BOOST_TEST(request.promptTokens == 0u);
    BOOST_REQUIRE(request.prompt.size() == 1u);
    BOOST_TEST(request.prompt[0].id == 6u);
    BOOST_TEST(request.key.empty());
}

BOOST_AUTO_TEST_CASE(answer_head_is_decoded)
{
    request_codec::answer_head head;
    head.result(200);
    head.insert("Lycheefront-Attempt-Id", "9c41");
    head.insert("Lycheefront-Response-Signature", "3e1b");
    head.insert("Lycheefront-Server-Load", "3,1,8");
    head.insert("Keep-Alive", "timeout=5, max=3");
    head.insert("Content-Length", "3");
    const auto answer = request_codec::decodeResponse(head);
    BOOST_TEST(answer.isSigned);
    BOOST_TEST(!answer.isNotExecuted);
    BOOST_TEST(answer.load->waiting == 1u);
    BOOST_TEST((answer.idleLimit == std::optional<utils::duration>(5s)));
    BOOST_TEST(answer.forwardedHeaders.size() == 2u);
}

// Guards against a pace that cannot be read and takes the other figures of a server's load with it.
BOOST_AUTO_TEST_CASE(the_pace_of_a_server_is_decoded_beside_its_load)
{
    const auto loadOf = [](const std::string& text) {
        request_codec::answer_head head;
        head.result(200);
        head.insert("Lycheefront-Server-Load", text);
        return request_codec::decodeResponse(head).load;
    };
    BOOST_TEST(loadOf("3,1,8,250")->slowdown.value() == 2.5);
    BOOST_TEST(loadOf("3, 1, 8, 100")->slowdown.value() == 1.0);
    for (const std::string unreadable : { "", ",", ",slow", ",0", ",-5", ",nan", ",inf" }) {
        const auto load = loadOf("3,1,8" + unreadable);
        BOOST_REQUIRE(load.has_value());
        BOOST_TEST(load->slots == 8u);
        BOOST_TEST(!load->slowdown.has_value());
    }
}

BOOST_AUTO_TEST_CASE(only_not_executed_header_and_421_mean_not_run)
{
    request_codec::answer_head head;
    head.result(503);
    BOOST_TEST(!request_codec::decodeResponse(head).isNotExecuted);
    head.insert("Lycheefront-Not-Executed", "1");
    BOOST_TEST(request_codec::decodeResponse(head).isNotExecuted);
    request_codec::answer_head misdirected;
    misdirected.result(421);
    BOOST_TEST(request_codec::decodeResponse(misdirected).isNotExecuted);
}

BOOST_AUTO_TEST_SUITE_END()

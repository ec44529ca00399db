#include "platform/configdecoder.h"
#include "platform/serverdecoder.h"
#include "platform/storemessages.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace {

const std::string document
    = R"({"resourceVersion":7,"routes":[{"name":"r1","hostname":"a.example","pathPrefix":"/chat/","kind":"streaming",
"timeoutMs":12000,"targetLatencyMs":1000,"priority":0,"trafficSplit":[{"backend":"e","weight":90},{"backend":"p","weight":10}],
"maxAttempts":2,"allowedRegions":["north","south"],"public":false,"sticky":true,"resumable":true,"gapAimMs":500},
{"name":"r2","hostname":"a.example","pathPrefix":"/pay/","kind":"new_kind","timeoutMs":800,"backend":"p","future":1}],
"services":[{"name":"e","healthPath":"/healthz","maxConns":360,"engine":{"slots":64,"kvCapacity":498762,"kvBytes":18432,"linkMbps":130000.0}},
{"name":"p","healthPath":"/healthz","maxConns":100,"coldStartS":3.5,"coldPerS":8.7}],"limits":{"maxHeaderBytes":16384,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"allowedRegions":["north"]},{"name":"t2","apiKeys":[]}]})";

std::string replaced(std::string text, const std::string& what, const std::string& with)
{
    return text.replace(text.find(what), what.size(), with);
}

/// Returns the failure's detail, empty if the configuration was decoded.
std::string problemOf(const std::string& bytes)
{
    return utils::valueOr(
        [&]() -> utils::result<std::string> {
            BOOST_LEAF_AUTO(configuration, platform::decodeConfiguration(bytes));
            return configuration == nullptr ? std::string("null") : std::string();
        },
        [](const utils::failure& failure) { return failure.detail; });
}

std::optional<catalogue::backend_server> serverOf(const std::string& bytes)
{
    return utils::valueOr(
        [&]() -> utils::result<std::optional<catalogue::backend_server>> {
            BOOST_LEAF_AUTO(server, platform::decodeServer("i-1", bytes, 5));
            return std::optional(server);
        },
        [](const utils::failure&) -> std::optional<catalogue::backend_server> { return std::nullopt; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(decoders)

BOOST_AUTO_TEST_CASE(configuration_is_decoded_completely)
{
    const auto configuration = utils::valueOr([] { return platform::decodeConfiguration(document); },
        [](const utils::failure&) { return catalogue::configuration_ptr(); });
    BOOST_REQUIRE(configuration);
    BOOST_TEST(configuration->version == 7u);
    const auto& chat = configuration->routes.at(0);
    BOOST_TEST((chat.kind == catalogue::request_kind::Stream));
    BOOST_TEST(chat.mayRepeat());
    BOOST_TEST((chat.targetGap == 500ms));
    BOOST_TEST(chat.shares.size() == 2u);
    BOOST_TEST(configuration->findService("e")->engine->slots == 64u);
    BOOST_TEST(configuration->findService("e")->engine->cacheBytesPerToken == 18432);
    BOOST_TEST(configuration->findService("e")->engine->copyBitsPerSecond == 130e9);
    BOOST_TEST(!configuration->findService("p")->engine.has_value());
    BOOST_TEST((configuration->limits.idleTimeout == 15s));
    BOOST_TEST(configuration->findWorkspace("k2")->name == "t1");
    BOOST_TEST(configuration->findWorkspace("k2")->priority.value() == 1);
    BOOST_TEST(configuration->findWorkspace("k3") == nullptr);
    BOOST_TEST(configuration->needsKeys);
    BOOST_TEST(chat.regions.size() == 2u);
    BOOST_TEST(configuration->routes.at(1).regions.empty());
    BOOST_TEST(configuration->findWorkspace("k1")->regions.front() == "north");
    BOOST_TEST(!configuration->findService("e")->coldStart.has_value());
    BOOST_TEST((configuration->findService("p")->coldStart->length == 3500ms));
    BOOST_TEST(configuration->findService("p")->coldStart->requestsPerSecond == 8.7);
}

// Guards against all requests of a workspace with its own priority getting the same urgency: engines and load
// shedding then treat its urgent and less urgent requests alike.
BOOST_AUTO_TEST_CASE(route_priority_orders_requests_within_workspace)
{
    catalogue::configuration configuration;
    for (const int priority : { 0, 1, 2 }) {
        catalogue::route route;
        route.priority = priority;
        configuration.routes.push_back(route);
    }
    configuration.workspaces = { { "first", 0 }, { "second", 1 }, { "plain", {} } };
    configuration.buildIndex();
    const auto urgency = [&](std::size_t route, std::size_t workspace) {
        return configuration.urgencyOf(configuration.routes[route], &configuration.workspaces[workspace]);
    };
    BOOST_TEST(urgency(0, 0) < urgency(1, 0));
    BOOST_TEST(urgency(1, 0) < urgency(2, 0));
    BOOST_TEST(urgency(2, 0) < urgency(0, 1));
    BOOST_TEST(urgency(0, 1) < urgency(2, 1));
    BOOST_TEST(urgency(0, 2) < urgency(1, 2));
    BOOST_TEST(urgency(0, 2) == urgency(0, 0));
    BOOST_TEST(urgency(2, 2) < catalogue::configuration::urgencyLevels);
    BOOST_TEST(configuration.urgencyOf(configuration.routes[1], nullptr) == urgency(1, 2));
}

// Guards against repeating requests of a kind that this version does not know.
BOOST_AUTO_TEST_CASE(unknown_kind_runs_at_most_once)
{
    const auto configuration = utils::valueOr([] { return platform::decodeConfiguration(document); },
        [](const utils::failure&) { return catalogue::configuration_ptr(); });
    BOOST_REQUIRE(configuration);
    BOOST_TEST(!configuration->routes.at(1).mayRepeat());
}

BOOST_AUTO_TEST_CASE(failure_names_invalid_field)
{
    BOOST_TEST(problemOf(document).empty());
    BOOST_TEST(problemOf("{").find("JSON") != std::string::npos);
    BOOST_TEST(problemOf("[]").find("JSON") != std::string::npos);
    BOOST_TEST(
        problemOf(replaced(document, "\"timeoutMs\":12000", "\"timeoutMs\":\"soon\"")).find("timeoutMs")
        != std::string::npos);
    BOOST_TEST(problemOf(replaced(document, "[\"north\",\"south\"]", "[7]")).find("allowedRegions")
        != std::string::npos);
    BOOST_TEST(problemOf(replaced(document, "\"coldPerS\":8.7", "\"coldPerS\":[]")).find("coldPerS")
        != std::string::npos);
    BOOST_TEST(problemOf(replaced(document, "\"hostname\":\"a.example\",", "")).find("hostname")
        != std::string::npos);
    BOOST_TEST(problemOf(replaced(document, "\"resourceVersion\":7", "\"resourceVersion\":-7"))
                   .find("resourceVersion")
        != std::string::npos);
}

// Other programs may write entries too. One without a required field must not become a server.
BOOST_AUTO_TEST_CASE(incomplete_entry_is_rejected)
{
    const std::string entry
        = R"({"backend":"e","address":"10.0.0.9:80","zone":"a","resourceVersion":"v1","slots":64,"state":"ready","born":1700})";
    const auto server = serverOf(entry);
    BOOST_REQUIRE(server.has_value());
    BOOST_TEST(server->service == "e");
    BOOST_TEST(server->startedAtMs == 1700u);
    BOOST_TEST(!server->isDraining);
    BOOST_TEST((server->coldFor == 0s));
    BOOST_TEST(
        (serverOf(replaced(entry, "\"born\"", "\"coldRemainingMs\":2750,\"born\""))->coldFor == 2750ms));
    BOOST_TEST(serverOf(replaced(entry, "ready", "draining"))->isDraining);
    BOOST_TEST(!serverOf(replaced(entry, "ready", "asleep")).has_value());
    BOOST_TEST(!serverOf(replaced(entry, "\"slots\":64", "\"slots\":\"64\"")).has_value());
    BOOST_TEST(server->softwareVersion == "v1");
    BOOST_TEST(!serverOf(replaced(entry, "\"address\":\"10.0.0.9:80\",", "")).has_value());
    BOOST_TEST(!serverOf(replaced(entry, "\"resourceVersion\":\"v1\",", "")).has_value());
    BOOST_TEST(!serverOf(replaced(entry, "\"v1\"", "1")).has_value());
    BOOST_TEST(!serverOf("\xff").has_value());
    BOOST_TEST(!serverOf("").has_value());
}

// Guards against a server that is chosen again and again and can never be called.
BOOST_AUTO_TEST_CASE(entry_without_a_usable_address_is_rejected)
{
    const std::string entry
        = R"({"backend":"e","address":"10.0.0.9:80","zone":"a","resourceVersion":"v1","slots":64,"state":"ready"})";
    const auto withAddress
        = [&](const std::string& address) { return serverOf(replaced(entry, "10.0.0.9:80", address)); };
    for (const std::string address :
        { "10.0.0.9:80", "127.0.0.1:1", "127.0.0.1:65535", "[::1]:80", "[2001:db8::1]:80" })
        BOOST_TEST(withAddress(address).has_value(), address);
    for (const std::string address : { "", ":", ":80", "10.0.0.9", "10.0.0.9:", "10.0.0.9: 80",
             " 10.0.0.9:80", "10.0.0.9:80 ", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:+80", "10.0.0.9:65536",
             "10.0.0.9:99999", "10.0.0.9:18446744073709551696", "10.0.0.9:80x", "10.0.0.9:80:80", "10.0.0:80",
             "10.0.0.256:80", "localhost:80", "http://10.0.0.9:80", "0.0.0.0:80", "[::]:80", "224.0.0.1:80",
             "[ff02::1]:80", "255.255.255.255:80" })
        BOOST_TEST(!withAddress(address).has_value(), address);
    BOOST_TEST(!withAddress(std::string(100'000, '1') + ":80").has_value());
}

// Guards against a number that its type cannot hold: converted all the same, it is another one on each kind
// of processor.
BOOST_AUTO_TEST_CASE(entry_with_a_number_out_of_range_is_rejected)
{
    const std::string entry
        = R"({"backend":"e","address":"10.0.0.9:80","zone":"a","resourceVersion":"v1","slots":64,"state":"ready","born":1700,"coldRemainingMs":2750})";
    BOOST_TEST(serverOf(entry).has_value());
    BOOST_TEST(serverOf(replaced(entry, "1700", "1700000000000"))->startedAtMs == 1'700'000'000'000U);
    for (const std::string number : { "4294967296", "4611686018427387904", "18446744073709551616",
             "1180591620717411303424", "-1", "-9223372036854775808", "1e400", "9e400", "64.5" })
        BOOST_TEST(!serverOf(replaced(entry, "\"slots\":64", "\"slots\":" + number)).has_value(), number);
    BOOST_TEST(serverOf(replaced(entry, "\"slots\":64", "\"slots\":4294967295")).has_value());
    for (const std::string number :
        { "4611686018427387904", "18446744073709551616", "1e300", "9e400", "-1", "-1e300" })
        BOOST_TEST(!serverOf(replaced(entry, "2750", number)).has_value(), number);
    BOOST_TEST(serverOf(replaced(entry, "2750", "86400000")).has_value());
    for (const std::string number : { "-1", "1.5", "18446744073709551616", "1e400" })
        BOOST_TEST(!serverOf(replaced(entry, "1700", number)).has_value(), number);
}

// Guards against a process that ends by an entry of another writer.
BOOST_AUTO_TEST_CASE(entry_nested_too_deeply_is_rejected)
{
    constexpr std::size_t levels = 100'000;
    for (const std::string open : { "[", "{\"a\":" }) {
        std::string nested;
        for (std::size_t i = 0; i < levels; ++i)
            nested += open;
        BOOST_TEST(!serverOf(nested).has_value());
        BOOST_TEST(!serverOf(R"({"backend":)" + nested).has_value());
        BOOST_TEST(problemOf(nested).find("JSON") != std::string::npos);
        BOOST_TEST((platform::decodeRange(nested).range.status == gateway::store_status::Unreadable));
        BOOST_TEST((platform::decodeChanges(nested).status == gateway::store_status::Unreadable));
    }
}

// Guards against the same in a configuration.
BOOST_AUTO_TEST_CASE(configuration_with_a_number_out_of_range_is_rejected)
{
    const std::vector<std::pair<std::string, std::string>> fields { { "\"timeoutMs\":12000", "timeoutMs" },
        { "\"targetLatencyMs\":1000", "targetLatencyMs" }, { "\"gapAimMs\":500", "gapAimMs" },
        { "\"maxAttempts\":2", "maxAttempts" }, { "\"weight\":90", "weight" }, { "\"slots\":64", "slots" },
        { "\"kvCapacity\":498762", "kvCapacity" }, { "\"kvBytes\":18432", "kvBytes" },
        { "\"linkMbps\":130000.0", "linkMbps" }, { "\"coldStartS\":3.5", "coldStartS" },
        { "\"coldPerS\":8.7", "coldPerS" }, { "\"idleTimeoutMs\":15000", "idleTimeoutMs" },
        { "\"priority\":1", "priority" } };
    for (const auto& [text, name] : fields) {
        for (const std::string number : { "-1", "1e300", "9e400" }) {
            const bool isQuantity = name == "kvBytes" || name == "linkMbps" || name == "coldPerS";
            if (isQuantity && number == "1e300")
                continue; // a number that its type holds
            const std::string field = text.substr(0, text.find(':') + 1).append(number);
            BOOST_TEST(!problemOf(replaced(document, text, field)).empty(), field);
        }
    }
}

// Guards against a limit on requests that turns into a small one, so that all requests are refused.
BOOST_AUTO_TEST_CASE(greatest_limits_stay_limits)
{
    const std::string number = "18446744073709551615";
    const std::string limits = R"({"maxHeaderBytes":)" + number + R"(,"maxBodyBytes":)" + number + "}";
    const std::string text = replaced(document, R"({"maxHeaderBytes":16384,"idleTimeoutMs":15000})", limits);
    const auto configuration = utils::valueOr([&] { return platform::decodeConfiguration(text); },
        [](const utils::failure&) { return catalogue::configuration_ptr(); });
    BOOST_REQUIRE(configuration);
    BOOST_TEST(configuration->limits.headerBytes == 1U << 30U);
    BOOST_TEST(configuration->limits.bodyBytes == 1U << 30U);
}

BOOST_AUTO_TEST_CASE(write_names_the_revision_that_it_replaces)
{
    BOOST_TEST(platform::encodeWrite("versions", "node-1", 412)
        == R"({"expectedRev":[{"key":"versions","revision":412}],)"
           R"("puts":[{"key":"versions","value":"bm9kZS0x","lease":0}],"remove":[]})");
}

BOOST_AUTO_TEST_CASE(store_answers_are_decoded_or_unreadable)
{
    const auto page = platform::decodeRange(
        R"({"items":[{"key":"op/config","value":"bm9kZS0x","revision":412,"createRev":4,"lease":0}],"hasMore":true,"asOf":530})");
    BOOST_TEST((page.range.status == gateway::store_status::Done));
    BOOST_TEST(page.range.items.front().value == "node-1");
    BOOST_TEST(page.range.asOf == 530u);
    BOOST_TEST(page.hasMore);
    const auto changes = platform::decodeChanges(
        R"({"events":[{"key":"a","value":"","revision":2},{"key":"b","revision":3,"removed":true}],"asOf":3})");
    BOOST_REQUIRE(changes.changes.size() == 2u);
    BOOST_TEST(!changes.changes[0].isRemoved);
    BOOST_TEST(changes.changes[1].isRemoved);
    for (const std::string bad :
        { "", "{}", "[]", R"({"items":[1],"asOf":1})", R"({"events":{},"asOf":1})" }) {
        BOOST_TEST((platform::decodeRange(bad).range.status == gateway::store_status::Unreadable));
        BOOST_TEST((platform::decodeChanges(bad).status == gateway::store_status::Unreadable));
    }
}

BOOST_AUTO_TEST_SUITE_END()
